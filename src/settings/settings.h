#pragma once

/**
 * Module settings: checks of command-line flags at program start.
 *
 * Purpose: one clear line and exit code 2 for a wrong setting. Every flag can
 * also be set as environment variable COMFREYSPRING_<FLAG>; the command line
 * goes first. Owns no state. Depends on core and gflags.
 */

#include "settings/flag_checks.h"
#include "settings/program_start.h"
