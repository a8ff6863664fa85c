#include "admission/wait_estimator.h"

#include <algorithm>
#include <cmath>

namespace comfreyspring::admission {
namespace {

/** Share of the batch that deferrable work gets at least. */
constexpr double kMayWaitShare = 0.05;

lane_load Sum(const batch_view& view, std::initializer_list<lane> lanes) {
  lane_load sum;
  for (const lane value : lanes) {
    const lane_load& load = view.waiting[static_cast<std::size_t>(value)];
    sum.count += load.count;
    sum.tokens += load.tokens;
  }
  return sum;
}

core::milliseconds Spread(const lane_load& load, double places,
                          const work_estimator& estimator) {
  const auto work = estimator.ServiceTime(load.count, load.tokens);
  return core::milliseconds(
      std::llround(static_cast<double>(work.count()) / std::max(1.0, places)));
}

std::size_t Minus(std::size_t left, std::size_t right) {
  return left > right ? left - right : 0;
}

core::milliseconds UrgentWait(bool long_work, const batch_view& view,
                              const work_estimator& estimator) {
  const lane_load ahead =
      long_work ? Sum(view, {lane::urgent_short, lane::urgent_long})
                : Sum(view, {lane::urgent_short});
  std::size_t free =
      Minus(view.batch_limit, view.running.Total()) + view.preemptible;
  if (long_work) {
    free = std::min(free, Minus(view.long_limit, view.running.urgent_long));
  }
  if (ahead.count < free) return core::milliseconds(0);
  const std::size_t places =
      long_work ? view.long_limit
                : Minus(view.batch_limit, view.running.urgent_long);
  return view.next_release +
         Spread(ahead, static_cast<double>(places), estimator);
}

core::milliseconds MayWaitWait(bool long_work, const batch_view& view,
                               const work_estimator& estimator) {
  const lane_load urgent = Sum(view, {lane::urgent_short, lane::urgent_long});
  const lane_load ahead =
      long_work ? Sum(view, {lane::may_wait_short, lane::may_wait_long})
                : Sum(view, {lane::may_wait_short});
  std::size_t free =
      std::min(Minus(view.batch_limit, view.running.Total()),
               Minus(view.may_wait_limit, view.running.MayWait()));
  if (long_work) {
    free = std::min(free, Minus(view.long_limit, view.running.Long()));
  }
  if (urgent.count + ahead.count < free) return core::milliseconds(0);
  const auto batch = static_cast<double>(view.batch_limit);
  const double places = std::max(
      kMayWaitShare * batch, std::min(static_cast<double>(view.may_wait_limit),
                                      batch - view.urgent_average));
  return view.next_release + Spread(urgent, batch, estimator) +
         Spread(ahead, places, estimator);
}

}  // namespace

core::milliseconds ExpectedWait(lane value, const batch_view& view,
                                const work_estimator& estimator) {
  if (view.batch_limit == 0) return core::milliseconds(0);
  if (!view.shares_batch) {
    const lane_load ahead =
        Sum(view, {lane::urgent_short, lane::urgent_long, lane::may_wait_short,
                   lane::may_wait_long});
    if (ahead.count + view.running.Total() < view.batch_limit) {
      return core::milliseconds(0);
    }
    return view.next_release +
           Spread(ahead, static_cast<double>(view.batch_limit), estimator);
  }
  const bool long_work =
      value == lane::urgent_long || value == lane::may_wait_long;
  const bool urgent = value == lane::urgent_short || value == lane::urgent_long;
  return urgent ? UrgentWait(long_work, view, estimator)
                : MayWaitWait(long_work, view, estimator);
}

core::milliseconds RemainingTime(const running_item& running,
                                 const work_estimator& estimator,
                                 core::time_point now) {
  if (running.state != running_state::running) return core::milliseconds(1);
  const auto total = estimator.ServiceTime(running.item.estimate);
  const auto elapsed = core::ToMilliseconds(now - running.dispatched);
  // Work beyond its estimate is expected to need a tenth of it more.
  return std::max({total - elapsed, total / 10, core::milliseconds(1)});
}

}  // namespace comfreyspring::admission
