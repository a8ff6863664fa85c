#pragma once

#include <cstddef>
#include <set>

#include "standins/engine_batch.h"

namespace comfreyspring::standins {

/** Adapter slots of an engine. A load occupies a slot from its start. */
class engine_adapters {
 public:
  enum class load_start { resident, in_progress, started, no_free_slot };

  explicit engine_adapters(std::size_t slots) : slots_(slots) {}

  load_start StartLoad(const adapter_key& adapter);
  /** @returns false if the load was abandoned by Unload or Clear. */
  bool FinishLoad(const adapter_key& adapter, bool loaded);
  /** Frees the slot. @returns false if the adapter was not resident. */
  bool Unload(const adapter_key& adapter);
  void Clear();

  bool IsResident(const adapter_key& adapter) const {
    return resident_.count(adapter) > 0;
  }
  const std::set<adapter_key>& Resident() const { return resident_; }
  std::size_t Slots() const { return slots_; }

 private:
  std::size_t slots_;
  std::set<adapter_key> resident_;
  std::set<adapter_key> loading_;
};

}  // namespace comfreyspring::standins
