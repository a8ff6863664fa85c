#pragma once

#include <map>
#include <optional>
#include <vector>

#include "admission/batch_shares.h"
#include "admission/queue_order.h"
#include "core/ids.h"
#include "core/time.h"

namespace comfreyspring::admission {

/** What was asked of the engine about a dispatched attempt. */
enum class running_state { running, preempting, withdrawing };

/** An attempt that the endpoint has. */
struct running_item {
  queued_item item;
  core::time_point dispatched;
  std::optional<core::time_point> first_output;
  running_state state = running_state::running;
  /** Its adapter holds a pin for it. */
  bool pinned = false;
};

/** Attempts from dispatch to their end or confirmed cancellation. */
class running_table {
 public:
  void Add(running_item item);
  /** Null if the attempt does not run. */
  running_item* Find(const core::attempt_id& attempt);
  std::optional<running_item> Take(const core::attempt_id& attempt);
  void Clear();

  std::size_t Size() const { return items_.size(); }
  const running_counts& Counts() const { return counts_; }
  /** In order of the attempt id, so that runs can be repeated. */
  const std::map<core::attempt_id, running_item>& Items() const {
    return items_;
  }
  /** Whether long work runs with the adapter. */
  bool RunsLong(const core::adapter_reference& adapter) const;
  /** Number of adapters that long work runs with. */
  std::size_t LongAdapters() const;
  /** Attempts whose preemption is not confirmed yet. */
  std::size_t Preempting() const;

  /** Sorts the attempts into short and long again. */
  template <class IsLong>
  void Reclassify(const IsLong& is_long) {
    for (auto& [attempt, running] : items_) {
      Count(running, -1);
      running.item.long_work = is_long(running.item);
      Count(running, 1);
    }
  }

 private:
  void Count(const running_item& running, int change);

  std::map<core::attempt_id, running_item> items_;
  running_counts counts_;
};

}  // namespace comfreyspring::admission
