#pragma once

/**
 * Module entry: the program on an entry VM.
 *
 * Serves the HTTP API, applies the filter chain, selects endpoints through
 * routing::request_router, relays responses, and reads the platform's
 * configuration and VM list. Owns the open requests of its callers and its
 * links to agents; both end with the process. Depends on all modules except
 * agent and ctl.
 */

#include "entry/config_controller.h"
#include "entry/entry_program.h"
#include "entry/link_controller.h"
#include "entry/membership_controller.h"
#include "entry/request_controller.h"
