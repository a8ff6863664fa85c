#pragma once

/**
 * Module resilience: detection of slow endpoints and limits on extra work.
 *
 * Purpose: `slow_endpoint_detector` compares endpoints with their peers,
 * `ratio_budget` bounds retries and hedges to a share of the requests,
 * `latency_window` gives quantiles of recent latencies. Each object owns its
 * state; none does I/O or reads a clock. Depends on core only.
 */

#include "resilience/latency_window.h"
#include "resilience/ratio_budget.h"
#include "resilience/slow_endpoint_detector.h"
