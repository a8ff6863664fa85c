#pragma once

/**
 * Module quarantine: prompts and requests that crash engines.
 *
 * A part of a prompt, or a request as a whole, may end each engine that begins
 * to answer it. No process sees all requests and all crashes, so the sidecar of
 * an engine records which parts may have ended it, and sidecars and gateways
 * exchange these records; whoever holds the same records decides the same. This
 * module knows which parts are suspected and which are quarantined. Performs no
 * I/O and has no clock: takes events and the time. State belongs to the holder
 * of the evidence. Depends on core.
 */

#include "quarantine/crash_evidence.h"
#include "quarantine/crash_record.h"
#include "quarantine/part_history.h"
#include "quarantine/request_fingerprint.h"
