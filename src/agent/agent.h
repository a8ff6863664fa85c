#pragma once

/**
 * Module agent: the program beside each endpoint.
 *
 * Purpose: the only sender of commands to its endpoint. Owns the queue, the
 * adapter slots, the running attempts, the replay of their answers and the
 * ledger of non-repeatable calls. Controllers act on the event loop; decisions
 * are taken by the modules admission, ledger, config and stream.
 * Depends on all of them and on net, wire, settings and telemetry.
 */

#include "agent/agent_program.h"
