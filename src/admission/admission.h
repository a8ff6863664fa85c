#pragma once

/**
 * Module admission: what one endpoint runs next, and what it refuses.
 *
 * Purpose: queue order, shares of the batch, refusal, preemption and drain,
 * joined with the adapter slots of the engine. Owns the queue and the running
 * table of one endpoint. Pure; depends on core and adapters.
 */

#include "admission/basic_engine_scheduler.h"
#include "admission/batch_shares.h"
#include "admission/engine_scheduler.h"
#include "admission/queue_order.h"
#include "admission/request_queue.h"
#include "admission/slot_planner.h"
#include "admission/work_estimator.h"
