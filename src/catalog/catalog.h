#pragma once

/**
 * Module catalog: the data that the platform publishes.
 *
 * Purpose: provides the routes and services of the configuration in force, the
 * usable endpoints, the newest versions of adapters, and the follower that
 * keeps these up to date. Owns the process's view of the data; the data itself
 * belongs to the platform. Route table and endpoint table perform no I/O.
 * Depends on core, net (timers) and telemetry (log).
 */

#include "catalog/backlog_age.h"
#include "catalog/catalog_follower.h"
#include "catalog/catalog_position.h"
#include "catalog/catalog_source.h"
#include "catalog/endpoint_record.h"
#include "catalog/endpoint_table.h"
#include "catalog/outage_record.h"
#include "catalog/read_schedule.h"
#include "catalog/route.h"
#include "catalog/route_table.h"
#include "catalog/transit_time.h"
