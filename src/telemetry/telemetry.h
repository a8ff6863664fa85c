#pragma once

/**
 * Module telemetry: counters, gauges and latency summaries of one process.
 *
 * Purpose: one registry that the text exposition and the state dump read.
 * Owns the numbers since the start of the process. Depends on core and
 * Boost.Accumulators (inside the source file).
 */

#include "telemetry/metrics.h"
