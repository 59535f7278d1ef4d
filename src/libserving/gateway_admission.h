#ifndef CORNELTRAY_GATEWAY_ADMISSION_H_
#define CORNELTRAY_GATEWAY_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "corneltray/admission_mode.h"
#include "corneltray/admission_queue.h"
#include "corneltray/gateway_request.h"
#include "corneltray/http_listener.h"
#include "corneltray/metrics.h"
#include "corneltray/route_table.h"

namespace corneltray {

// Admission of the requests for services with engines: keeps an AdmissionQueue for each service and
// the calls that wait in it, and logs and counts its decisions. Runs on the thread of the gateway.
class GatewayAdmission {
 public:
  struct Handlers {
    std::function<ServiceRoom(TimePoint now, const std::string& service)> room;
    std::function<void(const HttpCall& call, GatewayRequest request)> start;
    std::function<void(const HttpCall& call, const GatewayRequest& request,
                       std::chrono::milliseconds retry_after)>
        refuse;
  };

  // `seed` must differ between hosts. `metrics` must outlive this object.
  GatewayAdmission(AdmissionMode mode, std::uint64_t seed, Metrics* metrics, Handlers handlers);

  void SetRouteTable(const RouteTable& table);
  // Whether the requests for a service are held back under load.
  bool Controls(const std::string& service) const { return m_services.count(service) > 0; }

  // Starts a request, keeps it, or refuses it.
  void Offer(TimePoint now, const HttpCall& call, GatewayRequest request);
  // Returns what Offer() would decide with this room, without any effect.
  AdmissionDecision Preview(TimePoint now, const GatewayRequest& request,
                            const ServiceRoom& room) const;
  // Drops calls whose callers have left, starts or refuses those whose wait is over.
  void Tick(TimePoint now);
  // Takes the tokens of an attempt after the first one of a request.
  void ChargeRepeat(const std::string& service, double tokens);
  // Starts all waiting requests, because the process is shutting down.
  void StartAll();
  // Forgets the waiting calls.
  void Clear();

  std::size_t WaitingCount() const { return m_calls.size(); }
  // Adds the present waiting requests and paces to the gauges of the process.
  void AddGauges(TimePoint now, std::map<std::string, double>* gauges) const;

 private:
  struct WaitingCall {
    HttpCall call;
    GatewayRequest request;
    TimePoint since{};
  };
  // A decision about one request, for the log.
  struct LoggedDecision {
    std::string_view outcome;
    std::string_view reason;
    std::chrono::milliseconds time{0};  // expected wait, wait or Retry-After
  };

  AdmissionQueue& QueueOf(const std::string& service);
  void UpdateRoom(TimePoint now, const std::string& service, AdmissionQueue* queue);
  void DropLeft();
  void Start(TimePoint now, std::uint64_t id);
  void Reject(TimePoint now, const HttpCall& call, const GatewayRequest& request,
              const corneltray::Reject& reject);
  void Log(TimePoint now, const GatewayRequest& request, const LoggedDecision& decision);

  AdmissionMode m_mode;
  std::uint64_t m_seed;
  Metrics* m_metrics;
  Handlers m_handlers;
  std::set<std::string> m_services;                // that are controlled
  std::map<std::string, AdmissionQueue> m_queues;  // by service
  std::map<std::uint64_t, WaitingCall> m_calls;    // by id of the AdmissionRequest
  std::uint64_t m_next_id = 1;
};

}  // namespace corneltray

#endif  // CORNELTRAY_GATEWAY_ADMISSION_H_
