#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fleet_under_test.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "promise_record.h"

namespace comfreyspring::soak {

/**
 * Generates open-loop load through a simulated load balancer that checks the
 * readiness of each gateway every second. Callers reuse connections, retry once
 * after a 429 or 503, and cancel some of their requests.
 */
class callers {
 public:
  callers(net::event_loop& loop, fleet_under_test& fleet,
          promise_record& promises, unsigned seed, double requests_per_second);
  ~callers();
  callers(const callers&) = delete;
  callers& operator=(const callers&) = delete;

  void Start();
  void Stop();
  /** Requests sent from now on are not cancelled. */
  void DisableCancellation() { cancel_probability_ = 0; }
  /** Share of the streams whose prompts end engines. */
  void SetDeadlyShare(double share) { deadly_share_ = share; }
  /** Streams that end engines are few requests that come again and again. */
  void RepeatDeadlyRequests() { repeats_ = true; }
  /**
   * Calls a route of the newest configuration that must be in force, at each
   * gateway.
   */
  void StartProbes();
  void SetRate(double requests_per_second) { rate_ = requests_per_second; }
  std::size_t Open() const { return open_; }

 private:
  void ScheduleNext();
  void Send(const request_kind& kind, bool is_retry,
            std::optional<int> gateway = std::nullopt);
  /** Makes it one of the requests that come again. */
  void MakeRepeated(request_record& request, net::http_call& call);
  void CancelRequest(const std::string& id, net::http_call_id call);
  void OnAnswer(const std::string& id, const request_kind& kind, bool is_retry,
                const net::http_result& result);
  int PickGateway();
  void CheckReadiness();

  net::event_loop& loop_;
  fleet_under_test& fleet_;
  promise_record& promises_;
  net::http_client http_;
  net::http_client readiness_http_;
  std::mt19937 random_;
  double rate_;
  double cancel_probability_;
  double deadly_share_ = 0;
  bool repeats_ = false;
  std::size_t open_ = 0;
  std::int64_t last_id_ = 0;
  bool stopped_ = false;
  std::map<int, int> failed_checks_;
  net::timer_id readiness_timer_ = 0;
  net::timer_id probe_timer_ = 0;
};

}  // namespace comfreyspring::soak
