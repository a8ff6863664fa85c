#pragma once

/**
 * Module grants: which request an engine takes next.
 *
 * Purpose: a request goes to an engine only under a grant of the agent beside
 * it. This module decides who waits, who is granted, who is refused and when
 * to return, and which adapters are loaded and unloaded; it also defines the
 * messages between gateways and that agent. Owns the queue, the running table
 * and the view of the adapter slots of one engine. Pure: events and time in,
 * actions out. Depends on core, catalog (names) and adapters (eviction).
 */

#include "grants/fencing_counter.h"
#include "grants/grant_scheduler.h"
#include "grants/grant_types.h"
#include "grants/messages.h"
#include "grants/slot_table.h"
