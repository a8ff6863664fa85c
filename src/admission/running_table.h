#pragma once

#include <map>
#include <optional>
#include <vector>

#include "admission/batch_shares.h"
#include "admission/queue_order.h"
#include "core/ids.h"
#include "core/time.h"

namespace comfreyspring::admission {

/** Whether the engine was asked to cancel a dispatched attempt, and why. */
enum class running_state { running, preempting, withdrawing };

/** An attempt that was dispatched to the endpoint. */
struct running_item {
  queued_item item;
  core::time_point dispatched;
  std::optional<core::time_point> first_output;
  running_state state = running_state::running;
  /** The attempt holds a pin on the slot of its adapter. */
  bool pinned = false;
};

/** Attempts between dispatch and their end or confirmed cancellation. */
class running_table {
 public:
  void Add(running_item item);
  /** @returns nullptr if the attempt is not running. */
  running_item* Find(const core::attempt_id& attempt);
  std::optional<running_item> Take(const core::attempt_id& attempt);
  void Clear();

  std::size_t Size() const { return items_.size(); }
  const running_counts& Counts() const { return counts_; }
  /** Ordered by attempt id, so that runs are reproducible. */
  const std::map<core::attempt_id, running_item>& Items() const {
    return items_;
  }
  /** Whether a long attempt is running with the adapter. */
  bool RunsLong(const core::adapter_reference& adapter) const;
  /** Number of adapters with running long attempts. */
  std::size_t LongAdapters() const;
  /** Number of attempts whose preemption is not confirmed yet. */
  std::size_t Preempting() const;

  /** Reclassifies all attempts as short or long by `is_long(item)`. */
  template <class IsLong>
  void Reclassify(const IsLong& is_long) {
    for (auto& [attempt, running] : items_) {
      UpdateCounts(running, -1);
      running.item.long_work = is_long(running.item);
      UpdateCounts(running, 1);
    }
  }

 private:
  void UpdateCounts(const running_item& running, int change);

  std::map<core::attempt_id, running_item> items_;
  running_counts counts_;
};

}  // namespace comfreyspring::admission
