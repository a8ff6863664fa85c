#pragma once

/**
 * Module core: the vocabulary that every other module shares.
 *
 * Purpose: strong ids and units, time points, typed errors, hashing, UUIDv7
 * and a seeded random source. Owns no state. Depends on xxHash only.
 */

#include "core/error.h"
#include "core/hash.h"
#include "core/ids.h"
#include "core/random_source.h"
#include "core/time.h"
#include "core/types.h"
#include "core/uuid.h"
