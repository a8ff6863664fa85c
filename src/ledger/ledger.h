#pragma once

/**
 * Module ledger: calls that may run at most once.
 *
 * Purpose: `HomeOfKey` names the one endpoint that may run a key,
 * `call_ledger` records what became of each key there, and `handover_tracker`
 * knows when the former owners of a key can no longer run it. The ledger owns
 * its records; they are lost with the process. Depends on core, config, wire.
 */

#include "ledger/call_ledger.h"
#include "ledger/handover_tracker.h"
