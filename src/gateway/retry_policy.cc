#include "gateway/retry_policy.h"

#include <algorithm>

namespace comfreyspring::gateway {
namespace {

/** Attempts per request, including those that were not sent. */
constexpr int kMaximumAttempts = 4;
/** Shortest remaining time in which another attempt can succeed. */
constexpr core::milliseconds kShortestAttempt{60};
/** Callers abandon a stream after the longest of these silences. */
constexpr core::milliseconds kShortestSilence{2000};
constexpr int kSilenceGoals = 4;
constexpr int kSilenceGaps = 8;
/**
 * Share of the caller's idle timeout that may be spent on waiting for a grant;
 * the rest is left for the start of the response.
 */
constexpr double kGrantWaitShareOfSilence = 0.85;
/** Share of a request's time that may be spent on waiting for a grant. */
constexpr double kGrantWaitShareOfTime = 0.5;
constexpr core::milliseconds kShortestStall{300};
constexpr int kStallGoals = 2;

core::milliseconds Scaled(core::milliseconds time, double factor) {
  return core::milliseconds(
      static_cast<std::int64_t>(factor * static_cast<double>(time.count())));
}

}  // namespace

const char* ToString(attempt_failure failure) {
  switch (failure) {
    case attempt_failure::not_sent:
      return "not_sent";
    case attempt_failure::not_run:
      return "not_run";
    case attempt_failure::unknown:
      return "unknown";
    case attempt_failure::failed:
      return "failed";
    case attempt_failure::stalled:
      return "stalled";
  }
  return "unknown";
}

retry_decision DecideRetry(const catalog::route& route,
                           const retry_context& context) {
  if (context.attempts >= kMaximumAttempts ||
      context.time_left < kShortestAttempt) {
    return retry_decision::give_up;
  }
  const bool certainly_not_run = context.failure == attempt_failure::not_sent ||
                                 context.failure == attempt_failure::not_run;
  if (!certainly_not_run && !route.MayRetry()) return retry_decision::give_up;
  // Events that were forwarded to the caller cannot be taken back.
  if (context.response_started && !route.resumable) {
    return retry_decision::give_up;
  }
  return context.endpoints_used < route.maximum_endpoints
             ? retry_decision::anywhere
             : retry_decision::same_endpoint;
}

request_timeouts TimeoutsFor(const catalog::route& route,
                             core::milliseconds time_limit) {
  request_timeouts timeouts;
  if (!route.streams) {
    timeouts.caller_idle_timeout = time_limit;
    timeouts.maximum_grant_wait = Scaled(time_limit, kGrantWaitShareOfTime);
    timeouts.stall_timeout =
        std::max(kShortestStall, route.first_output_target * kStallGoals);
    return timeouts;
  }
  timeouts.caller_idle_timeout =
      std::max({kShortestSilence, route.first_output_target * kSilenceGoals,
                route.event_gap_target * kSilenceGaps});
  timeouts.maximum_grant_wait =
      std::min(Scaled(timeouts.caller_idle_timeout, kGrantWaitShareOfSilence),
               Scaled(time_limit, kGrantWaitShareOfTime));
  timeouts.stall_timeout = timeouts.caller_idle_timeout / 2;
  return timeouts;
}

}  // namespace comfreyspring::gateway
