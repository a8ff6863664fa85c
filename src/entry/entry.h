#pragma once

/**
 * Module entry: the program on an entry VM.
 *
 * Purpose: HTTP API for callers, filter chain, choice of endpoint through
 * routing::request_router, relay of answers, reading of the platform.
 * Owns the open requests of its callers and its links to agents; both end
 * with the process. Depends on all modules but agent and ctl.
 */

#include "entry/config_controller.h"
#include "entry/entry_program.h"
#include "entry/link_controller.h"
#include "entry/membership_controller.h"
#include "entry/request_controller.h"
