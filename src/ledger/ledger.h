#pragma once

/**
 * Module ledger: calls that may run at most once.
 *
 * Purpose: `HomeOfKey` names the one endpoint that may run a key,
 * `call_ledger` records what became of each key there, and `handover_tracker`
 * knows when the former owners of a key can no longer run it. The ledger owns
 * its records; they are lost with the process. Depends on core, config, wire.
 *
 * A key can run twice if these do not hold:
 * - No majority of the members of an epoch restarts and learns, in one
 *   partition and within the age of a report of each other, a configuration
 *   older than one they reported before. The sole member of an epoch is its
 *   own majority.
 * - Reports of versions arrive within `kMaximumReportAge`; an agent that was
 *   paused may read them later.
 * - A VM that has left the VM list runs no agent of its endpoint again unless
 *   the agent has learned a configuration published after that.
 * - An agent does not learn a configuration in which an epoch that is no longer
 *   kept elsewhere is the last.
 */

#include "ledger/call_ledger.h"
#include "ledger/handover_tracker.h"
