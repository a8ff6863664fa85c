#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace comfreyspring::quotas {

/** What was used in the last second, in eight slots. */
class recent_use {
 public:
  struct sum {
    std::int64_t count = 0;
    std::int64_t amount = 0;
  };

  void Add(std::int64_t amount, core::time_point now) {
    slot& current = slots_[SlotOf(now) % kSlots];
    if (current.index != SlotOf(now)) current = {.index = SlotOf(now)};
    ++current.used.count;
    current.used.amount += amount;
  }
  sum LastSecond(core::time_point now) const {
    sum total;
    for (const slot& each : slots_) {
      if (each.index + kSlots <= SlotOf(now)) continue;
      total.count += each.used.count;
      total.amount += each.used.amount;
    }
    return total;
  }

 private:
  static constexpr std::uint64_t kSlots = 8;
  static constexpr core::milliseconds kSlotLength{125};

  struct slot {
    std::uint64_t index = 0;
    sum used;
  };

  /** Slots are counted from 1 second, so that empty ones are never recent. */
  static std::uint64_t SlotOf(core::time_point now) {
    return kSlots +
           static_cast<std::uint64_t>(now.time_since_epoch() / kSlotLength);
  }

  std::array<slot, kSlots> slots_;
};

}  // namespace comfreyspring::quotas
