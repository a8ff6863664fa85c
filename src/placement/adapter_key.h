#pragma once

#include <cstdint>

#include "core/hash.h"
#include "core/ids.h"
#include "core/types.h"

namespace comfreyspring::placement {

/**
 * Hash of model and adapter. Excludes the version, so that a new version of an
 * adapter stays on the same endpoints.
 */
using adapter_key = std::uint64_t;

inline adapter_key KeyOf(const core::model_id& model,
                         const core::adapter_id& adapter) {
  return core::Hash64(adapter.Value(), core::Hash64(model.Value()));
}

}  // namespace comfreyspring::placement
