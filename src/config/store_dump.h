#pragma once

#include <nlohmann/json_fwd.hpp>

#include "config/config_store.h"

namespace comfreyspring::config {

/** Returns the configuration section of a process's state dump. */
nlohmann::json DumpStore(const config_store& store);

}  // namespace comfreyspring::config
