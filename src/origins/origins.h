#pragma once

/**
 * Module origins: which software version of a service began a stream.
 *
 * What engines of two versions write does not fit together, so a stream may go
 * on only at the version that began it. A caller that takes a broken stream up
 * again names the request that began it, at any gateway. Gateways record the
 * origin of each stream at two sidecars (`origin_table`) and ask them for it
 * (`origin_lookups`); `version_history` tells where there is nothing to choose.
 * All take events and the current time and perform no I/O. Records are kept in
 * memory for as long as a stream may last. Depends on core only.
 */

#include "origins/origin_lookups.h"
#include "origins/origin_table.h"
#include "origins/stream_origin.h"
#include "origins/version_history.h"
