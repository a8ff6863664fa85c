#pragma once

/**
 * Module tenants: who a caller is.
 *
 * Knows which API keys a version of the configuration contains, and for how
 * long they can be relied on without news from the platform. Performs no I/O
 * and has no clock. The directory is immutable; its holder replaces it with
 * each configuration. Depends on core and catalog (names).
 */

#include "tenants/key_directory.h"
#include "tenants/revocation_guard.h"
