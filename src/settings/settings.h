#pragma once

/**
 * Module settings: program start and validation of command-line flags.
 *
 * An invalid setting ends the program with a one-line error message and exit
 * code 2. Every flag can also be set with the environment variable
 * COMFREYSPRING_<FLAG>; the command line takes precedence. Has no state.
 * Depends on core, gflags and glog.
 */

#include "settings/flag_checks.h"
#include "settings/program_start.h"
