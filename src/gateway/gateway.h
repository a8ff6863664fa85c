#pragma once

/**
 * Module gateway: the entry for callers that speak the endpoints' own
 * protocol.
 *
 * Purpose: requests are passed on and answers passed back byte for byte, under
 * the routes of the operators' configuration. Decides the endpoint, repeats,
 * resumption and the final answer of each request; choice, budget and repeat
 * rules are pure. Owns the requests it has accepted and the links to the
 * agents beside the engines. Depends on catalog, grants, net, stream, settings
 * and telemetry.
 */

#include "gateway/endpoint_choice.h"
#include "gateway/endpoint_notices.h"
#include "gateway/endpoint_view.h"
#include "gateway/gateway_program.h"
#include "gateway/repeat_budget.h"
#include "gateway/repeat_rules.h"
#include "gateway/request_forwarder.h"
#include "gateway/sidecar_links.h"
#include "gateway/traffic_protocol.h"
