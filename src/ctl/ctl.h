#pragma once

/**
 * Module ctl: the operators' program `comfreyspringctl`.
 *
 * Purpose: check, compile and compare sheets; show the state of a process;
 * tell from logs what became of a request.
 * Owns no state. Depends on sheet, config, net and settings.
 *
 * Exit codes: 0 success; 1 errors in the sheet or the fleet file, or a request
 * that no log names; 2 wrong usage, or a file that cannot be read or written; 3
 * a process that cannot be reached.
 */

#include "ctl/command_line.h"
#include "ctl/explain_command.h"
#include "ctl/program.h"
#include "ctl/request_explanation.h"
#include "ctl/sheet_commands.h"
#include "ctl/state_command.h"
