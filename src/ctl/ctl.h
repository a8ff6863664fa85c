#pragma once

/**
 * Module ctl: the operators' program `comfreyspringctl`.
 *
 * Purpose: check, compile and compare sheets; show the state of a process.
 * Owns no state. Depends on sheet, config, net and settings.
 *
 * Exit codes: 0 success; 1 errors in the sheet or the fleet file; 2 wrong
 * usage, or a file that cannot be read or written; 3 a process that cannot be
 * reached.
 */

#include "ctl/command_line.h"
#include "ctl/program.h"
#include "ctl/sheet_commands.h"
#include "ctl/state_command.h"
