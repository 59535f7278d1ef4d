#include "corneltray/metrics.h"

#include <boost/histogram.hpp>
#include <cstdio>
#include <mutex>
#include <utility>
#include <vector>

namespace corneltray {
namespace {

namespace bh = boost::histogram;

// Bucket bounds in seconds. They lie close together around the targets: 59 ms between tokens and
// 0.62 s to the first token.
const std::vector<double>& Bounds() {
  static const std::vector<double> bounds = {0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.04, 0.05,
                                             0.059, 0.07,   0.1,   0.2,  0.3,  0.4,  0.5,  0.62,
                                             0.8,   1.0,    2.0,   5.0,  10.0, 30.0, 60.0};
  return bounds;
}

using NameAxis = bh::axis::category<std::string, bh::use_default, bh::axis::option::growth_t>;
using StatusAxis = bh::axis::category<int, bh::use_default, bh::axis::option::growth_t>;
using LatencyAxis = bh::axis::variable<double>;

std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.10g", value);
  return text;
}

double Seconds(Duration latency) { return std::chrono::duration<double>(latency).count(); }

// Writes one histogram: a cumulative count for each bound, the sum and the number of values.
template <class CountAt>
void WriteHistogram(const std::string& name, const std::string& labels, double sum,
                    CountAt count_at, std::string* text) {
  const std::string separator = labels.empty() ? "" : ",";
  double total = count_at(-1);  // values below the first bound
  for (std::size_t i = 0; i < Bounds().size(); ++i) {
    *text += name + "_bucket{" + labels + separator + "le=\"" + Number(Bounds()[i]) + "\"} " +
             Number(total) + "\n";
    total += count_at(static_cast<int>(i));  // the last one is the overflow bin
  }
  *text += name + "_bucket{" + labels + separator + "le=\"+Inf\"} " + Number(total) + "\n";
  const std::string braces = labels.empty() ? "" : "{" + labels + "}";
  *text += name + "_sum" + braces + " " + Number(sum) + "\n";
  *text += name + "_count" + braces + " " + Number(total) + "\n";
}

}  // namespace

class Metrics::Impl {
 public:
  using Plain = decltype(bh::make_histogram(LatencyAxis()));
  using ByKind = decltype(bh::make_histogram(NameAxis(), LatencyAxis()));
  using Counts = decltype(bh::make_histogram(NameAxis(), StatusAxis()));

  struct Latency {
    Plain histogram = bh::make_histogram(LatencyAxis(Bounds()));
    double sum = 0.0;

    void Add(Duration latency) {
      histogram(Seconds(latency));
      sum += Seconds(latency);
    }
  };

  std::mutex mutex;
  Counts responses = bh::make_histogram(NameAxis(), StatusAxis());
  ByKind response_latency = bh::make_histogram(NameAxis(), LatencyAxis(Bounds()));
  std::map<std::string, double> response_sum;
  Latency first_token;
  Latency token_gap;
  std::map<std::pair<std::string, std::string>, std::uint64_t> counters;
};

Metrics::Metrics() : m_impl(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::RecordResponse(std::string_view kind, int status, Duration latency) {
  const std::string name(kind);
  const std::lock_guard<std::mutex> lock(m_impl->mutex);
  m_impl->responses(name, status);
  m_impl->response_latency(name, Seconds(latency));
  m_impl->response_sum[name] += Seconds(latency);
}

void Metrics::RecordFirstToken(Duration latency) {
  const std::lock_guard<std::mutex> lock(m_impl->mutex);
  m_impl->first_token.Add(latency);
}

void Metrics::RecordTokenGap(Duration latency) {
  const std::lock_guard<std::mutex> lock(m_impl->mutex);
  m_impl->token_gap.Add(latency);
}

void Metrics::Count(std::string_view name, std::string_view label, std::uint64_t number) {
  const std::lock_guard<std::mutex> lock(m_impl->mutex);
  m_impl->counters[{std::string(name), std::string(label)}] += number;
}

std::string Metrics::Text(const std::map<std::string, double>& gauges) const {
  std::string text;
  const std::lock_guard<std::mutex> lock(m_impl->mutex);
  text += "# TYPE corneltray_responses_total counter\n";
  const auto& names = m_impl->responses.axis(std::integral_constant<unsigned, 0>());
  const auto& statuses = m_impl->responses.axis(std::integral_constant<unsigned, 1>());
  for (int kind = 0; kind < names.size(); ++kind) {
    for (int status = 0; status < statuses.size(); ++status) {
      const double number = m_impl->responses.at(kind, status);
      if (number == 0) continue;
      text += "corneltray_responses_total{kind=\"" + names.bin(kind) + "\",status=\"" +
              std::to_string(statuses.bin(status)) + "\"} " + Number(number) + "\n";
    }
  }
  text += "# TYPE corneltray_response_seconds histogram\n";
  const auto& by_kind = m_impl->response_latency;
  const auto& kinds = by_kind.axis(std::integral_constant<unsigned, 0>());
  for (int kind = 0; kind < kinds.size(); ++kind) {
    const std::string& name = kinds.bin(kind);
    WriteHistogram(
        "corneltray_response_seconds", "kind=\"" + name + "\"", m_impl->response_sum[name],
        [&](int bin) { return static_cast<double>(by_kind.at(kind, bin)); }, &text);
  }
  const std::pair<const char*, const Impl::Latency*> plain[] = {
      {"corneltray_first_token_seconds", &m_impl->first_token},
      {"corneltray_token_gap_seconds", &m_impl->token_gap}};
  for (const auto& [name, latency] : plain) {
    text += "# TYPE " + std::string(name) + " histogram\n";
    WriteHistogram(
        name, "", latency->sum,
        [latency = latency](int bin) { return static_cast<double>(latency->histogram.at(bin)); },
        &text);
  }
  std::string last;
  for (const auto& [key, number] : m_impl->counters) {
    const std::string name = "corneltray_" + key.first + "_total";
    if (name != last) text += "# TYPE " + name + " counter\n";
    last = name;
    text += name + "{reason=\"" + key.second + "\"} " + std::to_string(number) + "\n";
  }
  for (const auto& [name, value] : gauges) {
    text += "# TYPE corneltray_" + name + " gauge\ncorneltray_" + name + " " + Number(value) + "\n";
  }
  return text;
}

std::string PeerMetricsText(const PeerCounters& counters) {
  const std::pair<std::string_view, std::uint64_t> rows[] = {
      {"frames_malformed", counters.malformed},
      {"frames_oversized", counters.oversized},
      {"frames_unauthenticated", counters.unauthenticated},
      {"frames_replayed", counters.replayed},
      {"links_replaced", counters.links_replaced},
      {"requests_expired", counters.expired},
      {"bytes_sent", counters.bytes_sent},
      {"bytes_received", counters.bytes_received},
  };
  std::string text;
  for (const auto& [name, value] : rows) {
    const std::string metric = "corneltray_peer_" + std::string(name) + "_total";
    text += "# TYPE " + metric + " counter\n" + metric + " " + std::to_string(value) + "\n";
  }
  return text;
}

std::string PeerMessageMetricsText(const std::map<MessageType, PeerMessageCounters>& by_type) {
  using Value = double (*)(const PeerMessageCounters&);
  const std::pair<const char*, Value> metrics[] = {
      {"messages_encoded_total",
       [](const PeerMessageCounters& c) { return static_cast<double>(c.encoded); }},
      {"messages_sent_total",
       [](const PeerMessageCounters& c) { return static_cast<double>(c.sent); }},
      {"message_bytes_sent_total",
       [](const PeerMessageCounters& c) { return static_cast<double>(c.bytes_sent); }},
      {"message_sending_seconds_total",
       [](const PeerMessageCounters& c) { return Seconds(c.sending_time); }},
      {"messages_received_total",
       [](const PeerMessageCounters& c) { return static_cast<double>(c.received); }},
      {"message_bytes_received_total",
       [](const PeerMessageCounters& c) { return static_cast<double>(c.bytes_received); }},
      {"message_handling_seconds_total",
       [](const PeerMessageCounters& c) { return Seconds(c.handling_time); }},
  };
  std::string text;
  for (const auto& [name, value] : metrics) {
    const std::string metric = "corneltray_peer_" + std::string(name);
    text += "# TYPE " + metric + " counter\n";
    for (const auto& [type, counters] : by_type) {
      text +=
          metric + "{type=\"" + std::string(NameOf(type)) + "\"} " + Number(value(counters)) + "\n";
    }
  }
  return text;
}

}  // namespace corneltray
