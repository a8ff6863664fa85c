#pragma once

/**
 * Module telemetry: counters, gauges and latency histograms of one process.
 *
 * Provides the registry from which the metrics endpoint and the state dump are
 * generated. Holds the values accumulated since the process started. Depends on
 * core and Boost.Accumulators (in the source file only).
 */

#include "telemetry/metrics.h"
