#include "standins/engine_adapters.h"

namespace comfreyspring::standins {

engine_adapters::load_start engine_adapters::StartLoad(
    const adapter_key& adapter) {
  if (IsResident(adapter)) return load_start::resident;
  if (loading_.count(adapter) > 0) return load_start::in_progress;
  if (resident_.size() + loading_.size() >= slots_) {
    return load_start::no_free_slot;
  }
  loading_.insert(adapter);
  return load_start::started;
}

bool engine_adapters::FinishLoad(const adapter_key& adapter, bool loaded) {
  if (loading_.erase(adapter) == 0) return false;
  if (loaded) resident_.insert(adapter);
  return true;
}

bool engine_adapters::Unload(const adapter_key& adapter) {
  loading_.erase(adapter);
  return resident_.erase(adapter) > 0;
}

void engine_adapters::Clear() {
  resident_.clear();
  loading_.clear();
}

}  // namespace comfreyspring::standins
