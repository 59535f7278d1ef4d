#include "corneltray/router.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

#include "corneltray/chain_search.h"
#include "corneltray/flow_sampler.h"
#include "corneltray/placement.h"
#include "corneltray/range_layout.h"

namespace corneltray {
namespace {

constexpr double kHopSeconds = 0.0002;
constexpr double kOtherZoneHopSeconds = 0.001;
// Candidates named in an explanation, so that a log line stays short.
constexpr std::size_t kMaxExplained = 8;
constexpr double kLeastUsed = 1e-6;
// The cost of each engine is multiplied by a random factor up to 1 plus this. Routers that see the
// same old reports then do not all choose the same engine.
constexpr double kCostNoise = 0.5;

// Draws from the division of the flow until a second chain avoids the most loaded engine of the
// first.
constexpr int kMaxDraws = 6;
// The second chain is taken if its load is under this part of the first one's. Without a margin,
// routers that see the same old reports all move to the same engines (bench/, lag 5 s).
constexpr double kSecondChoiceGain = 0.6;

class RouterCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "router"; }
  std::string message(int code) const override {
    switch (static_cast<RouterErrc>(code)) {
      case RouterErrc::kNoPipeline:
        return "no chain of ready engines covers the layers of the model";
      case RouterErrc::kNoReplica:
        return "no replica of the service is ready";
      case RouterErrc::kInvalidChain:
        return "the stages do not cover each layer once in order";
    }
    return "unknown router error";
  }
};

struct KeyLess {
  bool operator()(const ModelKey& a, const ModelKey& b) const {
    return std::tie(a.model, a.version, a.adapter) < std::tie(b.model, b.version, b.adapter);
  }
};

struct Member {
  std::string name;
  std::string address;
  std::uint64_t incarnation = 0;
  UpstreamId id = 0;
  bool own_zone = false;
  bool suspect = false;
  double layers_per_s = 0.0;
  double link_tokens_per_s = 0.0;
};

// Engines of one model, with the ranges that they hold.
struct ModelIndex {
  std::vector<Member> members;
  std::vector<ChainSlot> slots;
  std::vector<double> hop_cost_s;
  ChainSearch search;
  FlowSampler flow;          // over the ready engines of the own zone
  std::uint32_t layers = 0;  // for which `search` and `flow` were prepared
  std::uint64_t turn = 0;
};

struct ServiceIndex {
  std::vector<Member> members;
  std::uint64_t turn = 0;
};

// Which upstreams may be used. Each later one adds some that are worse.
enum class Tier { kOwnZone, kOtherZones, kSuspects, kEjected };
constexpr Tier kTiers[] = {Tier::kOwnZone, Tier::kOtherZones, Tier::kSuspects, Tier::kEjected};

bool InTier(const Member& member, Tier tier) {
  if (member.suspect && tier < Tier::kSuspects) return false;
  return member.own_zone || tier >= Tier::kOtherZones;
}

double Uniform(std::mt19937_64* random) {
  return static_cast<double>((*random)() >> 11) * 0x1.0p-53;
}

}  // namespace

std::error_code make_error_code(RouterErrc errc) {
  static const RouterCategory category;
  return {static_cast<int>(errc), category};
}

Status ValidateChain(const Chain& chain, std::uint32_t layers) {
  const auto invalid = [](std::string detail) {
    return Error{make_error_code(RouterErrc::kInvalidChain), std::move(detail)};
  };
  std::uint32_t next = 0;
  std::set<std::string> names;
  for (const Stage& stage : chain.stages) {
    if (stage.first_layer != next) {
      return invalid(stage.name + " starts at layer " + std::to_string(stage.first_layer) +
                     ", not " + std::to_string(next));
    }
    if (stage.last_layer < stage.first_layer) return invalid(stage.name + " runs no layer");
    if (!names.insert(stage.name).second) return invalid(stage.name + " appears twice");
    next = stage.last_layer + 1;
  }
  if (next != layers) return invalid("ends before layer " + std::to_string(next));
  return {};
}

class Router::Impl {
 public:
  Impl(RouterOptions options, LoadTable* load, const PrefixIndex* prefixes,
       const OutlierDetector* outliers, std::mt19937_64* random)
      : m_options(std::move(options)),
        m_load(load),
        m_prefixes(prefixes),
        m_outliers(outliers),
        m_random(random) {}

  void SetUpstreams(const std::vector<UpstreamView>& upstreams);
  Result<Route> ChooseChain(TimePoint now, const ModelKey& key, std::uint32_t layers,
                            std::uint64_t prefix_hash, const std::set<std::string>& excluded);
  Result<ReplicaRoute> ChooseReplica(TimePoint now, const std::string& service,
                                     const std::set<std::string>& excluded);
  double ReadyPipelines(const ModelKey& key, std::uint32_t layers) const;

  RouterOptions m_options;

 private:
  // The members that this request may use, as flags beside ModelIndex::members.
  std::size_t MarkBarred(TimePoint now, const std::vector<Member>& members,
                         const std::set<std::string>& excluded);
  bool IsUsable(const Member& member, std::size_t i, Tier tier) const {
    return !m_excluded[i] && InTier(member, tier) && (!m_ejected[i] || tier == Tier::kEjected);
  }

  void Prepare(ModelIndex* index, std::uint32_t layers) const;
  struct ChainLoad {
    double value = 0.0;
    std::uint32_t slot = 0;
  };
  ChainLoad LoadOf(TimePoint now, const ModelIndex& index,
                   const std::vector<ChainPart>& chain) const;
  void PrepareSearch(TimePoint now, ModelIndex* index, Tier tier);
  const std::vector<ChainPart>* DrawChain(TimePoint now, ModelIndex* index, int first_slot);
  const std::vector<ChainPart>* FindChain(TimePoint now, ModelIndex* index, Tier tier,
                                          std::uint64_t prefix_hash, RouteReason* reason);
  const std::vector<ChainPart>* FindGreedy(ModelIndex* index, Tier tier, bool least_outstanding);
  int AffinityHolder(TimePoint now, const ModelIndex& index, Tier tier, std::uint64_t prefix_hash,
                     double load_factor);
  Route MakeRoute(TimePoint now, const ModelKey& key, const ModelIndex& index,
                  const std::vector<ChainPart>& parts, Tier tier, RouteReason reason,
                  std::size_t barred) const;
  std::size_t PickReplica(TimePoint now, ServiceIndex* index,
                          const std::vector<std::size_t>& usable);

  LoadTable* m_load;
  const PrefixIndex* m_prefixes;
  const OutlierDetector* m_outliers;
  std::mt19937_64* m_random;
  std::map<ModelKey, ModelIndex, KeyLess> m_models;
  std::map<std::string, ServiceIndex> m_services;
  std::vector<char> m_excluded;
  std::vector<char> m_ejected;
  std::vector<ChainPart> m_greedy;
  std::vector<ChainPart> m_drawn;
};

void Router::Impl::SetUpstreams(const std::vector<UpstreamView>& upstreams) {
  for (auto& [key, index] : m_models) {
    index.members.clear();
    index.slots.clear();
    index.hop_cost_s.clear();
    index.layers = 0;
  }
  for (auto& [name, index] : m_services) index.members.clear();
  for (const UpstreamView& view : upstreams) {
    if (view.status == UpstreamStatus::kLeaving) continue;
    const Announcement& a = view.announcement;
    Member member{a.name,
                  a.address,
                  a.incarnation,
                  m_load->Intern(a.name),
                  a.availability_zone == m_options.availability_zone,
                  view.status == UpstreamStatus::kSuspect,
                  std::max(a.layers_per_s, 1e-3),
                  std::max(a.link_mbps, 0.1) / kActivationMegabits};
    if (a.kind == UpstreamKind::kService) {
      m_services[a.service].members.push_back(std::move(member));
      continue;
    }
    const double transfer_s = kActivationMegabits / std::max(a.link_mbps, 0.1);
    for (const Holding& holding : a.holdings) {
      if (holding.state != HoldingState::kReady || holding.last_layer < holding.first_layer) {
        continue;
      }
      ModelIndex& index = m_models[holding.key];
      index.members.push_back(member);
      index.slots.push_back({holding.first_layer, holding.last_layer + 1, 0.0, 0.0, true});
      index.hop_cost_s.push_back(transfer_s +
                                 (member.own_zone ? kHopSeconds : kOtherZoneHopSeconds));
    }
  }
}

std::size_t Router::Impl::MarkBarred(TimePoint now, const std::vector<Member>& members,
                                     const std::set<std::string>& excluded) {
  m_excluded.assign(members.size(), 0);
  m_ejected.assign(members.size(), 0);
  const bool any_ejected = m_outliers != nullptr && !m_outliers->Ejected(now).empty();
  if (excluded.empty() && !any_ejected) return 0;
  std::size_t barred = 0;
  for (std::size_t i = 0; i < members.size(); ++i) {
    m_excluded[i] = excluded.count(members[i].name) != 0 ? 1 : 0;
    m_ejected[i] = any_ejected && m_outliers->IsEjected(now, members[i].name) ? 1 : 0;
    barred += m_excluded[i] != 0 || m_ejected[i] != 0 ? 1 : 0;
  }
  return barred;
}

// Returns the slot of the engine that has the prefix, if it holds layer 0 and is not much more
// loaded than the other engines that do; otherwise -1.
int Router::Impl::AffinityHolder(TimePoint now, const ModelIndex& index, Tier tier,
                                 std::uint64_t prefix_hash, double load_factor) {
  if (prefix_hash == 0 || m_prefixes == nullptr) return -1;
  const std::string& holder = m_prefixes->Find(now, prefix_hash);
  if (holder.empty()) return -1;
  int found = -1;
  double total = 0.0;
  std::size_t count = 0;
  for (std::size_t i = 0; i < index.members.size(); ++i) {
    if (index.slots[i].first != 0 || !IsUsable(index.members[i], i, tier)) continue;
    total += m_load->Queue(now, index.members[i].id);
    ++count;
    if (index.members[i].name == holder) found = static_cast<int>(i);
  }
  if (found < 0) return -1;
  const double queue = m_load->Queue(now, index.members[static_cast<std::size_t>(found)].id);
  const double mean = total / static_cast<double>(count);
  return queue < load_factor * mean + 1.0 ? found : -1;
}

void Router::Impl::Prepare(ModelIndex* index, std::uint32_t layers) const {
  index->layers = layers;
  index->search.SetRanges(index->slots, layers);
  std::vector<LayoutEngine> engines;
  std::vector<std::uint32_t> slots;
  Layout layout;
  for (std::uint32_t i = 0; i < index->members.size(); ++i) {
    const ChainSlot& slot = index->slots[i];
    const std::uint32_t end = std::min(slot.end, layers);
    if (!InTier(index->members[i], Tier::kOwnZone) || slot.first >= end) continue;
    engines.push_back(
        {index->members[i].layers_per_s, index->members[i].link_tokens_per_s, layers});
    slots.push_back(i);
    layout.push_back({slot.first, end});
  }
  std::vector<std::vector<FlowSampler::Share>> division;
  for (const auto& works : RangeLayout(engines, layers).Division(layout)) {
    auto& shares = division.emplace_back();
    for (const RangeLayout::Work& work : works) {
      shares.push_back({slots[work.engine], work.tokens_per_s});
    }
  }
  index->flow = FlowSampler(std::move(division));
}

// Returns how loaded the most loaded engine of a chain is for the part of the chains that use it,
// with that engine's slot; infinity if the chain uses an engine that is barred.
Router::Impl::ChainLoad Router::Impl::LoadOf(TimePoint now, const ModelIndex& index,
                                             const std::vector<ChainPart>& chain) const {
  ChainLoad load;
  if (chain.empty()) load.value = std::numeric_limits<double>::infinity();
  for (const ChainPart& part : chain) {
    const Member& member = index.members[part.slot];
    if (!IsUsable(member, part.slot, Tier::kOwnZone)) {
      load.value = std::numeric_limits<double>::infinity();
      return load;
    }
    const double used = std::max(index.flow.UsedBy(part.slot), kLeastUsed);
    const double value = (m_load->Queue(now, member.id) + 1.0) / used;
    if (value > load.value) load = {value, part.slot};
  }
  return load;
}

// Two random choices from the division of the flow. Returns no chain if every draw uses an engine
// that is barred.
const std::vector<ChainPart>* Router::Impl::DrawChain(TimePoint now, ModelIndex* index,
                                                      int first_slot) {
  m_drawn.clear();
  ChainLoad first;
  first.value = std::numeric_limits<double>::infinity();
  for (int draw = 0; draw < kMaxDraws; ++draw) {
    const auto& chain = index->flow.Draw(first_slot, m_random);
    const ChainLoad load = LoadOf(now, *index, chain);
    if (std::isinf(load.value)) continue;
    if (m_drawn.empty()) {
      m_drawn = chain;
      first = load;
      continue;
    }
    const bool avoids = std::none_of(
        chain.begin(), chain.end(), [&](const ChainPart& part) { return part.slot == first.slot; });
    if (!avoids) continue;
    if (load.value < kSecondChoiceGain * first.value) m_drawn = chain;
    return &m_drawn;
  }
  if (m_drawn.empty() || first_slot >= 0) return &m_drawn;
  // Most of the flow goes through that engine. Other engines may still be able to replace it.
  PrepareSearch(now, index, Tier::kOwnZone);
  index->slots[first.slot].usable = false;
  const auto& other = index->search.Find(index->slots, -1);
  if (LoadOf(now, *index, other).value < kSecondChoiceGain * first.value) m_drawn = other;
  return &m_drawn;
}

void Router::Impl::PrepareSearch(TimePoint now, ModelIndex* index, Tier tier) {
  for (std::size_t i = 0; i < index->members.size(); ++i) {
    const Member& member = index->members[i];
    ChainSlot& slot = index->slots[i];
    slot.usable = IsUsable(member, i, tier);
    if (!slot.usable) continue;
    const double noise = 1.0 + kCostNoise * Uniform(m_random);
    slot.layer_cost_s = (m_load->Queue(now, member.id) + 1.0) / member.layers_per_s * noise;
    slot.hop_cost_s = index->hop_cost_s[i];
  }
}

const std::vector<ChainPart>* Router::Impl::FindChain(TimePoint now, ModelIndex* index, Tier tier,
                                                      std::uint64_t prefix_hash,
                                                      RouteReason* reason) {
  int holder = -1;
  if (const auto* affinity = std::get_if<PrefixAffinity>(&m_options.policy)) {
    holder = AffinityHolder(now, *index, tier, prefix_hash, affinity->load_factor);
  }
  const bool has_flow = tier == Tier::kOwnZone && !index->flow.empty();
  for (const int first : {holder, -1}) {
    *reason = first >= 0 ? RouteReason::kPrefixAffinity : RouteReason::kCheapest;
    if (has_flow) {
      const auto* drawn = DrawChain(now, index, first);
      if (!drawn->empty()) return drawn;
    }
    PrepareSearch(now, index, tier);
    const auto& chain = index->search.Find(index->slots, first);
    if (!chain.empty() || first < 0) return &chain;
  }
  return &index->search.Find(index->slots, -1);
}

// The baselines: from each layer on, an engine chosen by turn or by this process's own work runs
// everything up to the end of its range.
const std::vector<ChainPart>* Router::Impl::FindGreedy(ModelIndex* index, Tier tier,
                                                       bool least_outstanding) {
  m_greedy.clear();
  // A layer is finishable if some sequence of full ranges leads from it to the end.
  std::vector<char> finishable(index->layers + 1, 0);
  finishable[index->layers] = 1;
  for (std::uint32_t layer = index->layers; layer-- > 0;) {
    for (std::size_t i = 0; i < index->slots.size() && finishable[layer] == 0; ++i) {
      const ChainSlot& slot = index->slots[i];
      const std::uint32_t end = std::min(slot.end, index->layers);
      if (slot.first <= layer && end > layer && IsUsable(index->members[i], i, tier)) {
        finishable[layer] = finishable[end];
      }
    }
  }
  ++index->turn;
  for (std::uint32_t layer = 0; layer < index->layers;) {
    std::vector<std::uint32_t> choices;
    for (std::uint32_t i = 0; i < index->slots.size(); ++i) {
      const ChainSlot& slot = index->slots[i];
      const std::uint32_t end = std::min(slot.end, index->layers);
      if (slot.first <= layer && end > layer && finishable[end] != 0 &&
          IsUsable(index->members[i], i, tier)) {
        choices.push_back(i);
      }
    }
    if (choices.empty()) {
      m_greedy.clear();
      return &m_greedy;
    }
    std::uint32_t chosen = choices[index->turn % choices.size()];
    if (least_outstanding) {
      for (std::size_t k = 0; k < choices.size(); ++k) {
        const std::uint32_t other = choices[(index->turn + k) % choices.size()];
        if (m_load->InFlight(index->members[other].id) <
            m_load->InFlight(index->members[chosen].id)) {
          chosen = other;
        }
      }
    }
    const std::uint32_t end = std::min(index->slots[chosen].end, index->layers);
    m_greedy.push_back({chosen, layer, end});
    layer = end;
  }
  return &m_greedy;
}

Route Router::Impl::MakeRoute(TimePoint now, const ModelKey& key, const ModelIndex& index,
                              const std::vector<ChainPart>& parts, Tier tier, RouteReason reason,
                              std::size_t barred) const {
  Route route;
  route.chain.key = key;
  route.explanation.excluded = barred;
  route.explanation.reason = tier == Tier::kOwnZone      ? reason
                             : tier == Tier::kOtherZones ? RouteReason::kOtherZone
                                                         : RouteReason::kOnlySuspectsLeft;
  route.chain.stages.reserve(parts.size());
  std::set<std::uint32_t> chosen;
  const auto explain = [&](std::uint32_t slot, double layers, bool is_chosen) {
    const Member& member = index.members[slot];
    const double queue = m_load->Queue(now, member.id);
    route.explanation.candidates.push_back(
        {member.name, queue, (queue + 1.0) * layers / member.layers_per_s, is_chosen});
  };
  for (const ChainPart& part : parts) {
    const Member& member = index.members[part.slot];
    route.chain.stages.push_back(
        {member.name, member.address, member.incarnation, part.first, part.end - 1});
    const double layers = part.end - part.first;
    route.expected_wait_s += m_load->Queue(now, member.id) * layers / member.layers_per_s;
    if (!m_options.explain) continue;
    chosen.insert(part.slot);
    explain(part.slot, layers, true);
  }
  for (std::uint32_t i = 0; m_options.explain && i < index.members.size(); ++i) {
    if (route.explanation.candidates.size() >= kMaxExplained) break;
    if (chosen.count(i) != 0 || !IsUsable(index.members[i], i, tier)) continue;
    explain(i, index.slots[i].end - index.slots[i].first, false);
  }
  return route;
}

Result<Route> Router::Impl::ChooseChain(TimePoint now, const ModelKey& key, std::uint32_t layers,
                                        std::uint64_t prefix_hash,
                                        const std::set<std::string>& excluded) {
  const auto none = Error{make_error_code(RouterErrc::kNoPipeline), key.model};
  const auto it = m_models.find(key);
  if (it == m_models.end() || it->second.members.empty() || layers == 0) return none;
  ModelIndex& index = it->second;
  if (index.layers != layers) {
    Prepare(&index, layers);
  }
  const std::size_t barred = MarkBarred(now, index.members, excluded);
  for (const Tier tier : kTiers) {
    RouteReason reason = RouteReason::kNextInTurn;
    const std::vector<ChainPart>* parts = nullptr;
    if (std::holds_alternative<RoundRobin>(m_options.policy)) {
      parts = FindGreedy(&index, tier, false);
    } else if (std::holds_alternative<LeastOutstanding>(m_options.policy)) {
      parts = FindGreedy(&index, tier, true);
    } else {
      parts = FindChain(now, &index, tier, prefix_hash, &reason);
    }
    if (!parts->empty()) return MakeRoute(now, key, index, *parts, tier, reason, barred);
  }
  return none;
}

std::size_t Router::Impl::PickReplica(TimePoint now, ServiceIndex* index,
                                      const std::vector<std::size_t>& usable) {
  const std::size_t count = usable.size();
  const std::size_t turn = index->turn++ % count;
  if (std::holds_alternative<RoundRobin>(m_options.policy)) return usable[turn];
  if (std::holds_alternative<LeastOutstanding>(m_options.policy)) {
    std::size_t best = usable[turn];
    for (const std::size_t i : usable) {
      if (m_load->InFlight(index->members[i].id) < m_load->InFlight(index->members[best].id)) {
        best = i;
      }
    }
    return best;
  }
  const std::size_t a = usable[(*m_random)() % count];
  if (count == 1) return a;
  std::size_t b = usable[(*m_random)() % (count - 1)];
  if (b == a) b = usable[count - 1];
  const double queue_a = m_load->Queue(now, index->members[a].id);
  return m_load->Queue(now, index->members[b].id) < queue_a ? b : a;
}

Result<ReplicaRoute> Router::Impl::ChooseReplica(TimePoint now, const std::string& service,
                                                 const std::set<std::string>& excluded) {
  const auto none = Error{make_error_code(RouterErrc::kNoReplica), service};
  const auto it = m_services.find(service);
  if (it == m_services.end()) return none;
  ServiceIndex& index = it->second;
  const std::size_t barred = MarkBarred(now, index.members, excluded);
  for (const Tier tier : kTiers) {
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < index.members.size(); ++i) {
      if (IsUsable(index.members[i], i, tier)) usable.push_back(i);
    }
    if (usable.empty()) continue;
    const std::size_t chosen = PickReplica(now, &index, usable);
    ReplicaRoute route;
    const Member& member = index.members[chosen];
    route.replica = {member.name, member.address, member.incarnation};
    route.explanation.excluded = barred;
    route.explanation.reason = tier == Tier::kOwnZone      ? RouteReason::kCheapest
                               : tier == Tier::kOtherZones ? RouteReason::kOtherZone
                                                           : RouteReason::kOnlySuspectsLeft;
    for (const std::size_t i : usable) {
      if (!m_options.explain || route.explanation.candidates.size() >= kMaxExplained) break;
      const double queue = m_load->Queue(now, index.members[i].id);
      route.explanation.candidates.push_back({index.members[i].name, queue, 0.0, i == chosen});
    }
    return route;
  }
  return none;
}

double Router::Impl::ReadyPipelines(const ModelKey& key, std::uint32_t layers) const {
  const auto it = m_models.find(key);
  if (it == m_models.end() || layers == 0) return 0.0;
  double held = 0.0;
  for (std::size_t i = 0; i < it->second.members.size(); ++i) {
    const Member& member = it->second.members[i];
    if (member.own_zone && !member.suspect) {
      held += it->second.slots[i].end - it->second.slots[i].first;
    }
  }
  return held / layers;
}

Router::Router(RouterOptions options, LoadTable* load, const PrefixIndex* prefixes,
               const OutlierDetector* outliers, std::mt19937_64* random)
    : m_impl(std::make_unique<Impl>(std::move(options), load, prefixes, outliers, random)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::SetPolicy(RoutingPolicy policy) { m_impl->m_options.policy = policy; }

void Router::SetUpstreams(const std::vector<UpstreamView>& upstreams) {
  m_impl->SetUpstreams(upstreams);
}

// The priority orders requests inside an engine and does not change which engine is chosen.
Result<Route> Router::ChooseChain(TimePoint now, const ModelKey& key, std::uint32_t layers,
                                  std::uint64_t prefix_hash, const std::set<std::string>& excluded,
                                  std::uint32_t /*priority*/) {
  return m_impl->ChooseChain(now, key, layers, prefix_hash, excluded);
}

Result<ReplicaRoute> Router::ChooseReplica(TimePoint now, const std::string& service,
                                           const std::set<std::string>& excluded) {
  return m_impl->ChooseReplica(now, service, excluded);
}

double Router::ReadyPipelines(const ModelKey& key, std::uint32_t layers) const {
  return m_impl->ReadyPipelines(key, layers);
}

}  // namespace corneltray
