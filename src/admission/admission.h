#pragma once

/**
 * Module admission: request scheduling and admission control of one endpoint.
 *
 * Covers queue order, batch shares, refusals, preemption, drain and the use of
 * the engine's adapter slots. Owns the queue and the table of running attempts
 * of one endpoint. Performs no I/O and reads no clock. Depends on core,
 * adapters and the message types of wire.
 */

#include "admission/basic_engine_scheduler.h"
#include "admission/batch_shares.h"
#include "admission/engine_scheduler.h"
#include "admission/queue_order.h"
#include "admission/request_queue.h"
#include "admission/slot_planner.h"
#include "admission/work_estimator.h"
