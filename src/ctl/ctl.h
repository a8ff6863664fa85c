#pragma once

/**
 * Module ctl: the operators' command-line tool `comfreyspringctl`.
 *
 * Purpose: checks, compiles and compares sheets; prints the state of a process;
 * reconstructs the outcome of a request from logs.
 * Stateless. Depends on sheet, config, net and settings.
 *
 * Exit codes: 0 success; 1 errors in the sheet or the fleet file, or a request
 * that is not in the logs; 2 invalid usage, or a file that cannot be read or
 * written; 3 no usable answer from a process.
 */

#include "ctl/command_line.h"
#include "ctl/explain_command.h"
#include "ctl/program.h"
#include "ctl/request_explanation.h"
#include "ctl/sheet_commands.h"
#include "ctl/state_command.h"
