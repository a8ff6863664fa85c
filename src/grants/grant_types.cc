#include "grants/grant_types.h"

#include <algorithm>
#include <array>

namespace comfreyspring::grants {
namespace {

constexpr std::array kReasons = {
    refusal_reason::wait_too_long,       refusal_reason::wait_expired,
    refusal_reason::engine_down,         refusal_reason::model_absent,
    refusal_reason::adapter_unavailable, refusal_reason::stopping,
    refusal_reason::fuller_than_known,   refusal_reason::cannot_finish,
    refusal_reason::rate_limited};

}  // namespace

std::string_view ToString(order_result result) {
  switch (result) {
    case order_result::accepted:
      return "accepted";
    case order_result::done:
      return "done";
    case order_result::conflict:
      return "conflict";
    case order_result::stale_fencing:
      return "stale_fencing";
    case order_result::impossible:
      return "impossible";
    case order_result::unknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ToString(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::wait_too_long:
      return "wait_too_long";
    case refusal_reason::wait_expired:
      return "wait_expired";
    case refusal_reason::engine_down:
      return "engine_down";
    case refusal_reason::model_absent:
      return "model_absent";
    case refusal_reason::adapter_unavailable:
      return "adapter_unavailable";
    case refusal_reason::stopping:
      return "stopping";
    case refusal_reason::fuller_than_known:
      return "fuller_than_known";
    case refusal_reason::cannot_finish:
      return "cannot_finish";
    case refusal_reason::rate_limited:
      return "rate_limited";
  }
  return "unknown";
}

double LoadOf(const engine_status& status, std::size_t batch_slots,
              std::size_t more) {
  const double requests =
      static_cast<double>(status.running + status.waiting + more);
  double load =
      requests / static_cast<double>(std::max<std::size_t>(1, batch_slots)) +
      static_cast<double>(status.prefill_wait.count()) / kPrefillWaitAtFullLoad;
  if (status.limit) {
    constexpr double kSlowestPerMs = 1e-6;
    const double per_ms =
        std::max(kSlowestPerMs, status.limit->PerSecond() / 1e3);
    const double wait_ms = static_cast<double>(status.limit_wait.count()) +
                           static_cast<double>(more) / per_ms;
    load += std::min(kMaximumLimitLoad, wait_ms / kPrefillWaitAtFullLoad);
  }
  return load;
}

std::optional<refusal_reason> ParseRefusalReason(std::string_view text) {
  for (const refusal_reason reason : kReasons) {
    if (ToString(reason) == text) return reason;
  }
  return std::nullopt;
}

}  // namespace comfreyspring::grants
