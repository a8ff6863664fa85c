#pragma once

#include <nlohmann/json_fwd.hpp>

#include "config/config_store.h"

namespace comfreyspring::config {

/** The part about the configuration in the state dump of any process. */
nlohmann::json DumpStore(const config_store& store);

}  // namespace comfreyspring::config
