#pragma once

/**
 * Module quotas: what a tenant's requests may use over all gateways together.
 *
 * A sidecar counts each tenant (`quota_table`); gateways lease amounts from it
 * for short times and charge requests to them (`quota_account`). Both take
 * typed events and the current time and return what to do; they perform no I/O
 * and have no clock. The holders own one table per sidecar and one account per
 * gateway and tenant. Depends on core only.
 */

#include "quotas/quota_account.h"
#include "quotas/quota_bucket.h"
#include "quotas/quota_limit.h"
#include "quotas/quota_table.h"
