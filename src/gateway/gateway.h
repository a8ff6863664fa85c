#pragma once

/**
 * Module gateway: the proxy for callers that speak the endpoints' own protocol.
 *
 * Requests and responses are forwarded byte for byte, along the routes of the
 * operators' configuration. The gateway chooses the endpoint, decides on
 * retries and stream resumption, and gives each request its final response.
 * Endpoint choice, retry budget and retry policy do no I/O and take the time as
 * an argument. Owns the requests in flight and the links to the sidecars of the
 * engines. Depends on catalog, grants, net, stream, settings, quotas, tenants
 * and telemetry.
 */

#include "gateway/caller_admission.h"
#include "gateway/caller_limits.h"
#include "gateway/endpoint_choice.h"
#include "gateway/endpoint_notices.h"
#include "gateway/endpoint_view.h"
#include "gateway/endpoint_wait.h"
#include "gateway/engine_capacity.h"
#include "gateway/gateway_program.h"
#include "gateway/quota_client.h"
#include "gateway/request_forwarder.h"
#include "gateway/retry_budget.h"
#include "gateway/retry_policy.h"
#include "gateway/sidecar_links.h"
#include "gateway/silent_vms.h"
#include "gateway/slot_client.h"
#include "gateway/stream_takeups.h"
#include "gateway/superseded_entries.h"
#include "gateway/traffic_protocol.h"
