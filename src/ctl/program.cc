#include "ctl/program.h"

#include <exception>
#include <ostream>

#include "ctl/command_line.h"
#include "ctl/explain_command.h"
#include "ctl/sheet_commands.h"
#include "ctl/state_command.h"

namespace comfreyspring::ctl {
namespace {

using argument_list = std::vector<std::string>;

constexpr const char* kHelp =
    "Usage: comfreyspringctl COMMAND [OPTION...]\n"
    "Commands:\n"
    "  sheet check     list every error of a sheet and its fleet file\n"
    "  sheet compile   write the configuration documents to publish\n"
    "  sheet diff      list what a compilation would change\n"
    "  state           print the state of a running process\n"
    "  explain         show the outcome of a request from logs\n"
    "Use --help after a command to list its options.\n"
    "Exit codes: 0 success; 1 errors in the sheet, or a request that is not\n"
    "in the logs; 2 invalid usage, or a file that cannot be read or written;\n"
    "3 no usable answer from a process.\n";

bool IsHelp(const std::string& word) { return word == "--help"; }

argument_list SkipArguments(const argument_list& arguments, std::size_t count) {
  return {arguments.begin() + static_cast<std::ptrdiff_t>(count),
          arguments.end()};
}

int RunSheet(const argument_list& arguments, std::ostream& out) {
  if (arguments.empty()) {
    throw usage_error(
        "missing subcommand: use sheet check, sheet compile or sheet diff");
  }
  const std::string& command = arguments.front();
  if (IsHelp(command)) {
    out << kHelp;
    return kExitSuccess;
  }
  if (command == "check") return CheckSheet(SkipArguments(arguments, 1), out);
  if (command == "compile")
    return CompileSheet(SkipArguments(arguments, 1), out);
  if (command == "diff") return DiffSheet(SkipArguments(arguments, 1), out);
  throw usage_error("unknown command 'sheet " + command + "'");
}

int RunCommand(const argument_list& arguments, std::ostream& out,
               std::ostream& errors) {
  if (arguments.empty()) throw usage_error("missing command");
  const std::string& command = arguments.front();
  if (IsHelp(command)) {
    out << kHelp;
    return kExitSuccess;
  }
  if (command == "sheet") return RunSheet(SkipArguments(arguments, 1), out);
  if (command == "state")
    return ShowState(SkipArguments(arguments, 1), out, errors);
  if (command == "explain") {
    return ExplainRequest(SkipArguments(arguments, 1), out, errors);
  }
  throw usage_error("unknown command '" + command + "'");
}

}  // namespace

int RunProgram(const std::vector<std::string>& arguments, std::ostream& out,
               std::ostream& errors) {
  try {
    return RunCommand(arguments, out, errors);
  } catch (const usage_error& failure) {
    errors << "comfreyspringctl: " << failure.what() << "; see --help.\n";
  } catch (const std::exception& failure) {
    errors << "comfreyspringctl: " << failure.what() << ".\n";
  }
  return kExitUsage;
}

}  // namespace comfreyspring::ctl
