#pragma once

/**
 * Module catalog: what the platform publishes, in this project's terms.
 *
 * Purpose: routes and services of the configuration in force, the endpoints
 * that may be used, the newest versions of adapters, and the follower that
 * keeps them current. Owns the views that a process has of them; the platform
 * owns the facts. Route table and endpoint table are pure. Depends on core,
 * net (timers) and telemetry (log).
 */

#include "catalog/backlog_age.h"
#include "catalog/catalog_follower.h"
#include "catalog/catalog_source.h"
#include "catalog/endpoint_record.h"
#include "catalog/endpoint_table.h"
#include "catalog/outage_record.h"
#include "catalog/read_schedule.h"
#include "catalog/route.h"
#include "catalog/route_table.h"
