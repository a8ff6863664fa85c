#pragma once

/**
 * Module placement: which endpoint serves an adapter.
 *
 * Purpose: rendezvous ranks of adapters over endpoints, number of homes by
 * demand, bounded load, deterministic subsets of remote endpoints, and the
 * choice among candidates by cost. Every process computes the same ranks, so
 * no messages are exchanged. Owns rank cache, demand and load estimates of one
 * process; no I/O, no clock. Depends on core and the message types of wire.
 */

#include "placement/adapter_key.h"
#include "placement/bounded_load.h"
#include "placement/endpoint_choice.h"
#include "placement/endpoint_picker.h"
#include "placement/load_estimate.h"
#include "placement/rendezvous_ranks.h"
#include "placement/replica_controller.h"
#include "placement/subset.h"
