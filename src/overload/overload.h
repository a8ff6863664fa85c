#pragma once

/**
 * Module overload: what is delayed or refused when capacity is insufficient.
 *
 * `slot_queue` holds the requests to plain services (those without sidecars)
 * until one of their endpoints has a slot; its state belongs to the sidecar
 * that the gateways choose for the service. `request_value` compares what
 * callers lose by a refusal. Performs no I/O and has no clock. Depends on core,
 * catalog (names), adapters (decayed sums) and limits (endpoint incarnations).
 */

#include "overload/request_value.h"
#include "overload/slot_queue.h"
#include "overload/slot_types.h"
