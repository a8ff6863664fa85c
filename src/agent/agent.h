#pragma once

/**
 * Module agent: the process that runs next to each endpoint.
 *
 * The agent is the only sender of commands to its endpoint. It owns the request
 * queue, the adapter slots, the running attempts, the replay buffer of their
 * responses and the ledger of non-idempotent calls. The controllers run on the
 * event loop; decisions are made by the modules admission, ledger, config and
 * stream. Depends on these modules and on net, wire, settings, telemetry and
 * trace.
 */

#include "agent/agent_program.h"
