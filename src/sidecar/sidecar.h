#pragma once

/**
 * Module sidecar: the agent on the VM of a model engine.
 *
 * Purpose: the agent is the only sender of orders to its engine. Gateways
 * request grants from it over links. It reads the engine's state locally, keeps
 * the requested adapters loaded and reports the engine's load to the gateways.
 * It also relays catalog changes between gateways. Requests themselves do not
 * pass through it. Owns the links it accepts and the scheduler of its engine;
 * persists nothing. Depends on grants, net, settings and telemetry.
 */

#include "sidecar/adapter_list_updates.h"
#include "sidecar/catalog_relay.h"
#include "sidecar/engine_port.h"
#include "sidecar/scheduler_driver.h"
#include "sidecar/sidecar_program.h"
