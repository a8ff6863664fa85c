#pragma once

/**
 * Module routing: routes the requests of an entry.
 *
 * `request_lifecycle` owns the open requests and their attempts and decides on
 * retries, hedges, withdrawals and the final result; `health_aware_selector`
 * chooses endpoints by availability, load and scores; `request_router` combines
 * the two with the default choice. Performs no I/O and reads no clock. Depends
 * on core, membership, placement, resilience and the message types of wire.
 */

#include "routing/endpoint_selector.h"
#include "routing/health_aware_selector.h"
#include "routing/request_lifecycle.h"
#include "routing/request_router.h"
