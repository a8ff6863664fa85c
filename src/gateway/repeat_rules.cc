#include "gateway/repeat_rules.h"

#include <algorithm>

namespace comfreyspring::gateway {
namespace {

/** Attempts per request, including those that were not sent. */
constexpr int kMaximumAttempts = 4;
/** Shortest remaining time in which another attempt can succeed. */
constexpr core::milliseconds kShortestAttempt{60};
/** Callers abandon a stream after the longest of these silences. */
constexpr core::milliseconds kShortestSilence{2000};
constexpr int kGoalsOfSilence = 4;
constexpr int kGapsOfSilence = 8;
/**
 * Share of the caller's idle timeout that may be spent on waiting for a grant;
 * the rest is left for the start of the response.
 */
constexpr double kWaitShareOfSilence = 0.85;
/** Share of a request's time that may be spent on waiting for a grant. */
constexpr double kWaitShareOfTime = 0.5;
constexpr core::milliseconds kShortestStall{300};
constexpr int kGoalsUntilStall = 2;

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

repeat_decision DecideRepeat(const catalog::route& route,
                             const repeat_situation& situation) {
  if (situation.attempts >= kMaximumAttempts ||
      situation.time_left < kShortestAttempt) {
    return repeat_decision::give_up;
  }
  const bool surely_not_run = situation.failure == attempt_failure::not_sent ||
                              situation.failure == attempt_failure::not_run;
  if (!surely_not_run && !route.MayRepeat()) return repeat_decision::give_up;
  // Events that were forwarded to the caller cannot be taken back.
  if (situation.answer_begun && !route.resumable) {
    return repeat_decision::give_up;
  }
  return situation.endpoints_used < route.maximum_endpoints
             ? repeat_decision::anywhere
             : repeat_decision::same_endpoint;
}

request_patience PatienceFor(const catalog::route& route,
                             core::milliseconds time_limit) {
  request_patience patience;
  if (!route.streams) {
    patience.caller_leaves = time_limit;
    patience.longest_wait = Scaled(time_limit, kWaitShareOfTime);
    patience.stall = std::max(kShortestStall, route.goal * kGoalsUntilStall);
    return patience;
  }
  patience.caller_leaves =
      std::max({kShortestSilence, route.goal * kGoalsOfSilence,
                route.event_gap * kGapsOfSilence});
  patience.longest_wait =
      std::min(Scaled(patience.caller_leaves, kWaitShareOfSilence),
               Scaled(time_limit, kWaitShareOfTime));
  patience.stall = patience.caller_leaves / 2;
  return patience;
}

}  // namespace comfreyspring::gateway
