#pragma once

/**
 * Module limits: request rate limits of endpoints.
 *
 * An endpoint in need announces in its responses how many requests per second
 * it accepts from all gateways together. This module knows which limit is in
 * force. Not to be confused with the slots of an engine (`grants::slot_table`),
 * which bound what it holds at a time. Performs no I/O and has no clock: takes
 * events and the time. State belongs to the holder of a record. Depends on core
 * and catalog (names).
 */

#include "limits/endpoint_incarnation.h"
#include "limits/limit_announcement.h"
#include "limits/limit_record.h"
#include "limits/request_rate.h"
#include "limits/token_bucket.h"
