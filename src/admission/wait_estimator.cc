#include "admission/wait_estimator.h"

#include <algorithm>
#include <cmath>

namespace comfreyspring::admission {
namespace {

/** Minimum share of the batch that `may_wait` work gets. */
constexpr double kMayWaitShare = 0.05;

work_class_load Sum(const batch_snapshot& snapshot,
                    std::initializer_list<work_class> classes) {
  work_class_load sum;
  for (const work_class value : classes) {
    const work_class_load& load =
        snapshot.waiting[static_cast<std::size_t>(value)];
    sum.count += load.count;
    sum.tokens += load.tokens;
  }
  return sum;
}

core::milliseconds QueueingDelay(const work_class_load& load,
                                 double concurrency,
                                 const work_estimator& estimator) {
  const auto work = estimator.ServiceTime(load.count, load.tokens);
  return core::milliseconds(std::llround(static_cast<double>(work.count()) /
                                         std::max(1.0, concurrency)));
}

std::size_t SaturatingSubtract(std::size_t left, std::size_t right) {
  return left > right ? left - right : 0;
}

core::milliseconds UrgentDelay(bool long_work, const batch_snapshot& snapshot,
                               const work_estimator& estimator) {
  const work_class_load ahead =
      long_work
          ? Sum(snapshot, {work_class::urgent_short, work_class::urgent_long})
          : Sum(snapshot, {work_class::urgent_short});
  std::size_t free =
      SaturatingSubtract(snapshot.batch_limit, snapshot.running.Total()) +
      snapshot.preemptible;
  if (long_work) {
    free = std::min(free, SaturatingSubtract(snapshot.long_limit,
                                             snapshot.running.urgent_long));
  }
  if (ahead.count < free) return core::milliseconds(0);
  const std::size_t concurrency =
      long_work ? snapshot.long_limit
                : SaturatingSubtract(snapshot.batch_limit,
                                     snapshot.running.urgent_long);
  return snapshot.next_release +
         QueueingDelay(ahead, static_cast<double>(concurrency), estimator);
}

core::milliseconds MayWaitDelay(bool long_work, const batch_snapshot& snapshot,
                                const work_estimator& estimator) {
  const work_class_load urgent =
      Sum(snapshot, {work_class::urgent_short, work_class::urgent_long});
  const work_class_load ahead =
      long_work ? Sum(snapshot,
                      {work_class::may_wait_short, work_class::may_wait_long})
                : Sum(snapshot, {work_class::may_wait_short});
  std::size_t free = std::min(
      SaturatingSubtract(snapshot.batch_limit, snapshot.running.Total()),
      SaturatingSubtract(snapshot.may_wait_limit, snapshot.running.MayWait()));
  if (long_work) {
    free = std::min(
        free, SaturatingSubtract(snapshot.long_limit, snapshot.running.Long()));
  }
  if (urgent.count + ahead.count < free) return core::milliseconds(0);
  const auto batch = static_cast<double>(snapshot.batch_limit);
  const double concurrency =
      std::max(kMayWaitShare * batch,
               std::min(static_cast<double>(snapshot.may_wait_limit),
                        batch - snapshot.mean_urgent_running));
  return snapshot.next_release + QueueingDelay(urgent, batch, estimator) +
         QueueingDelay(ahead, concurrency, estimator);
}

}  // namespace

core::milliseconds ExpectedWait(work_class value,
                                const batch_snapshot& snapshot,
                                const work_estimator& estimator) {
  if (snapshot.batch_limit == 0) return core::milliseconds(0);
  if (!snapshot.shares_batch) {
    const work_class_load ahead =
        Sum(snapshot, {work_class::urgent_short, work_class::urgent_long,
                       work_class::may_wait_short, work_class::may_wait_long});
    if (ahead.count + snapshot.running.Total() < snapshot.batch_limit) {
      return core::milliseconds(0);
    }
    return snapshot.next_release +
           QueueingDelay(ahead, static_cast<double>(snapshot.batch_limit),
                         estimator);
  }
  const bool long_work =
      value == work_class::urgent_long || value == work_class::may_wait_long;
  const bool urgent =
      value == work_class::urgent_short || value == work_class::urgent_long;
  return urgent ? UrgentDelay(long_work, snapshot, estimator)
                : MayWaitDelay(long_work, snapshot, estimator);
}

core::milliseconds RemainingTime(const running_item& running,
                                 const work_estimator& estimator,
                                 core::time_point now) {
  if (running.state != running_state::running) return core::milliseconds(1);
  const auto total = estimator.ServiceTime(running.item.estimate);
  const auto elapsed = core::ToMilliseconds(now - running.dispatched);
  // Work that exceeds its estimate is expected to need another tenth of it.
  return std::max({total - elapsed, total / 10, core::milliseconds(1)});
}

}  // namespace comfreyspring::admission
