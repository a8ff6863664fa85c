#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace comfreyspring::process_test {

/**
 * Requests that arrive at endpoints, checked against the request rate limits
 * that the endpoints name: from 3 s after the first naming on, no more than one
 * and a half times the limit plus 5 requests in any 4 s.
 *
 * Counted are requests from gateways to which the endpoint has named its limit
 * half a second before or earlier. A fault of a gateway excuses it until the
 * limit is named to it again.
 */
class arrival_record {
 public:
  static constexpr core::milliseconds kSpan{4000};

  // Observations.

  /** The endpoint names this limit from now on; nothing: it names none. */
  void LimitSet(const std::string& instance, std::optional<double> per_second,
                core::time_point now);
  /** A response that goes to this gateway names the limit. */
  void Named(const std::string& instance, int gateway, core::time_point now);
  void Arrived(const std::string& instance, int gateway, core::time_point now);
  void GatewayDisturbed(int gateway, core::time_point until);

  // Results.

  /** A span in which requests arrived at an endpoint that names a limit. */
  struct span {
    std::string instance;
    core::time_point begin;
    int arrivals = 0;
    double allowed = 0.0;
    double Ratio() const { return arrivals / allowed; }
    std::string ToString() const;
  };
  /** For each incarnation and period with a limit, the worst span. */
  std::vector<span> WorstSpans(core::time_point end) const;
  /** All arrivals at the endpoint in this time, counted by the rule or not. */
  int ArrivedBetween(const std::string& instance, core::time_point begin,
                     core::time_point end) const;

 private:
  struct arrival {
    core::time_point time;
    bool is_counted = false;
  };
  struct naming {
    core::time_point time;
    std::optional<double> per_second;
  };
  struct endpoint {
    std::vector<naming> namings;
    std::vector<arrival> arrivals;
    /** When the limit was first named to a gateway. */
    std::map<int, core::time_point> named_to;
  };

  static double HighestLimit(const endpoint& target, core::time_point begin,
                             core::time_point end);
  static span WorstSpan(const endpoint& target, core::time_point begin,
                        core::time_point end);

  std::map<std::string, endpoint> endpoints_;
  std::map<int, core::time_point> disturbed_until_;
};

}  // namespace comfreyspring::process_test
