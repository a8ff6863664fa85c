#pragma once

/**
 * Module ledger: at-most-once execution of non-repeatable calls.
 *
 * `OwnerOfKey` returns the only endpoint that may run a key, `call_ledger`
 * records the state of each key at that endpoint, and `handover_tracker`
 * determines when the former owners of a key can no longer run it. The ledger
 * owns its records; they are held in memory and are lost when the process
 * ends. Depends on core, config and wire.
 *
 * A key can run twice if one of these assumptions does not hold:
 * - It does not happen that a majority of the members of an epoch restart in
 *   the same partition, within `kMaximumReportAge` of each other, and each
 *   receives a configuration older than one it reported before. The only member
 *   of an epoch is its own majority.
 * - Version reports arrive within `kMaximumReportAge`; an agent that was paused
 *   may read them later.
 * - A VM that has left the VM list does not run an agent of its endpoint again
 *   unless the agent has received a configuration published after that.
 * - An agent does not receive a configuration whose last epoch is no longer
 *   kept by other processes.
 */

#include "ledger/call_ledger.h"
#include "ledger/handover_tracker.h"
