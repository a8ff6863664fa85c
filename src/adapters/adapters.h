#pragma once

/**
 * Module adapters: which adapters hold the slots of one engine, and when
 * missing ones are loaded.
 *
 * Purpose: eviction, pins and paced loads. Owns the slot table of one endpoint.
 * Pure; depends on core.
 */

#include "adapters/adapter_cache.h"
#include "adapters/decayed_value.h"
#include "adapters/eviction_policy.h"
#include "adapters/load_scheduler.h"
