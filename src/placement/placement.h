#pragma once

/**
 * Module placement: assigns adapters to endpoints.
 *
 * Covers rendezvous hashing of adapters over endpoints, replica counts by
 * demand, bounded load, deterministic subsets of remote endpoints and the
 * choice among candidates by cost. Every process computes the same ranks, so no
 * messages are exchanged. Owns the rank cache and the demand and load estimates
 * of one process. Performs no I/O and reads no clock. Depends on core and the
 * message types of wire.
 */

#include "placement/adapter_key.h"
#include "placement/bounded_load.h"
#include "placement/endpoint_choice.h"
#include "placement/endpoint_picker.h"
#include "placement/load_estimate.h"
#include "placement/rendezvous_ranks.h"
#include "placement/replica_controller.h"
#include "placement/subset.h"
