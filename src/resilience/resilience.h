#pragma once

/**
 * Module resilience: outlier detection and retry budgets.
 *
 * Purpose: `slow_endpoint_detector` ejects endpoints that are slower than their
 * peers, `ratio_budget` limits retries and hedges to a share of the requests,
 * `latency_window` computes a quantile of recent latencies. Each object owns
 * its state; none does I/O or reads a clock. Depends on core only.
 */

#include "resilience/latency_window.h"
#include "resilience/ratio_budget.h"
#include "resilience/slow_endpoint_detector.h"
