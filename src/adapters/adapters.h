#pragma once

/**
 * Module adapters: cache of the adapter slots of one engine and scheduling of
 * adapter loads.
 *
 * Purpose: eviction, pinning and pacing of loads. Owns the slot table of one
 * endpoint. Does no I/O and reads no clock; depends on core.
 */

#include "adapters/adapter_cache.h"
#include "adapters/decayed_value.h"
#include "adapters/eviction_policy.h"
#include "adapters/load_scheduler.h"
