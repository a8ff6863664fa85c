#include "config/store_dump.h"

#include <nlohmann/json.hpp>

namespace comfreyspring::config {

nlohmann::json DumpStore(const config_store& store) {
  const core::config_version version = store.CurrentVersion();
  nlohmann::json dump = {{"version", core::ToString(version)},
                         {"generation", version.generation}};
  if (const auto current = store.Current()) {
    dump["adapters"] = current->adapters.size();
    dump["endpoints"] = current->endpoints.size();
    dump["planned_stops"] = current->stops.size();
  }
  if (const auto& last = store.LastRejected()) {
    dump["last_rejected"] = {{"version", core::ToString(last->version)},
                             {"reason", last->reason}};
  }
  return dump;
}

}  // namespace comfreyspring::config
