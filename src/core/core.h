#pragma once

/**
 * Module core: basic types shared by all other modules.
 *
 * Provides strongly typed ids and units, time points, exception types, hashing,
 * UUIDv7 and a seeded random number generator. Has no global state. Depends on
 * xxHash only.
 */

#include "core/error.h"
#include "core/hash.h"
#include "core/ids.h"
#include "core/random_source.h"
#include "core/time.h"
#include "core/types.h"
#include "core/uuid.h"
