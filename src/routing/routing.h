#pragma once

/**
 * Module routing: the life of a request at an entry.
 *
 * Purpose: `request_lifecycle` owns the open requests and their attempts and
 * decides about retries, hedges, withdrawals and the final answer;
 * `health_aware_selector` chooses endpoints from availability, load and scores;
 * `request_router` joins the two with the default choice. No I/O, no clock.
 * Depends on core, membership, placement, resilience and the message types of
 * wire.
 */

#include "routing/endpoint_selector.h"
#include "routing/health_aware_selector.h"
#include "routing/request_lifecycle.h"
#include "routing/request_router.h"
