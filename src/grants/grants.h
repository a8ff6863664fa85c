#pragma once

/**
 * Module grants: scheduling of the requests of one engine.
 *
 * Purpose: a gateway sends a request to an engine only with a grant of the
 * agent on the engine's VM. This module decides which requests wait, which are
 * granted, which are refused and when to retry them, and which adapters are
 * loaded and unloaded. It also defines the messages between gateways and the
 * agent. Owns the queue, the table of running requests and the view of the
 * engine's adapter slots and speed. Performs no I/O: takes events and the time,
 * returns actions. Depends on core, catalog (names), adapters (eviction) and
 * limits.
 */

#include "grants/engine_speed.h"
#include "grants/fencing_counter.h"
#include "grants/grant_scheduler.h"
#include "grants/grant_types.h"
#include "grants/messages.h"
#include "grants/permit_table.h"
#include "grants/slot_table.h"
