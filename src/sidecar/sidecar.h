#pragma once

/**
 * Module sidecar: the agent beside a model engine on the users' VMs.
 *
 * Purpose: the only sender of orders to its engine. Gateways ask it for
 * grants over links; it reads the engine's state from close by, keeps the
 * adapters that are asked for loaded, and tells gateways how full the engine
 * is. It passes on what some gateways have read of the catalog. Requests do
 * not pass through it. Owns the links it accepts and the scheduler of its
 * engine; keeps nothing across a restart. Depends on grants, net, settings and
 * telemetry.
 */

#include "sidecar/catalog_relay.h"
#include "sidecar/engine_port.h"
#include "sidecar/scheduler_driver.h"
#include "sidecar/sidecar_program.h"
