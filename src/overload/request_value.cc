#include "overload/request_value.h"

#include <algorithm>
#include <tuple>

namespace comfreyspring::overload {
namespace {

constexpr double kOutputTokenWork = 10.0;
/** Part of a request's worth that does not depend on its size. */
constexpr double kFixedWorth = 0.3;
/** Typical worth of a late answer, relative to one on time. */
constexpr double kLateWorth = 0.6;
/**
 * Another request is refused only if that costs less than this share: it has
 * waited already, and estimates err.
 */
constexpr double kClearlyLess = 0.8;

}  // namespace

double WorkOf(std::int64_t prompt_tokens, std::int64_t output_tokens) {
  return std::max(1.0,
                  static_cast<double>(prompt_tokens) +
                      kOutputTokenWork * static_cast<double>(output_tokens));
}

bool ServesBefore(const request_prospect& left, const request_prospect& right) {
  if (left.priority != right.priority) return left.priority < right.priority;
  if (left.can_be_on_time != right.can_be_on_time) return left.can_be_on_time;
  if (left.can_be_on_time) {
    return std::tie(left.due, left.key) < std::tie(right.due, right.key);
  }
  return std::tie(left.work, left.key) < std::tie(right.work, right.key);
}

double RefusalCost(const request_prospect& request, double mean_work) {
  const double worth = kFixedWorth / request.work +
                       (1.0 - kFixedWorth) / std::max(1.0, mean_work);
  return request.can_be_on_time ? worth : kLateWorth * worth;
}

std::size_t CheapestToRefuse(const std::vector<request_prospect>& order,
                             std::size_t last, double mean_work) {
  std::size_t best = last;
  double lowest = kClearlyLess * RefusalCost(order[last], mean_work);
  for (std::size_t index = 0; index < last; ++index) {
    const request_prospect& each = order[index];
    if (each.priority != order[last].priority || each.is_promised) continue;
    const double cost = RefusalCost(each, mean_work);
    if (cost >= lowest) continue;
    best = index;
    lowest = cost;
  }
  return best;
}

}  // namespace comfreyspring::overload
