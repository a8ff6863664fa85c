#include "ctl/program.h"

#include <exception>
#include <ostream>

#include "ctl/command_line.h"
#include "ctl/explain_command.h"
#include "ctl/sheet_commands.h"
#include "ctl/state_command.h"

namespace comfreyspring::ctl {
namespace {

using words = std::vector<std::string>;

constexpr const char* kHelp =
    "Usage: comfreyspringctl COMMAND [OPTION...]\n"
    "Commands:\n"
    "  sheet check     list every error of a sheet and its fleet file\n"
    "  sheet compile   write the configuration documents to publish\n"
    "  sheet diff      list what a compilation would change\n"
    "  state           print the state of a running process\n"
    "  explain         tell from logs what became of a request\n"
    "Each command explains its options with --help.\n"
    "Exit codes: 0 success; 1 errors in the sheet, or a request that no log\n"
    "names; 2 wrong usage, or a file that cannot be read or written; 3 a\n"
    "process that cannot be reached.\n";

bool IsHelp(const std::string& word) { return word == "--help"; }

words After(const words& arguments, std::size_t count) {
  return {arguments.begin() + static_cast<std::ptrdiff_t>(count),
          arguments.end()};
}

int RunSheet(const words& arguments, std::ostream& out) {
  if (arguments.empty()) {
    throw usage_error("sheet needs check, compile or diff");
  }
  const std::string& command = arguments.front();
  if (IsHelp(command)) {
    out << kHelp;
    return kExitSuccess;
  }
  if (command == "check") return CheckSheet(After(arguments, 1), out);
  if (command == "compile") return CompileSheet(After(arguments, 1), out);
  if (command == "diff") return DiffSheet(After(arguments, 1), out);
  throw usage_error("command 'sheet " + command + "' is not known");
}

int RunCommand(const words& arguments, std::ostream& out,
               std::ostream& errors) {
  if (arguments.empty()) throw usage_error("a command is needed");
  const std::string& command = arguments.front();
  if (IsHelp(command)) {
    out << kHelp;
    return kExitSuccess;
  }
  if (command == "sheet") return RunSheet(After(arguments, 1), out);
  if (command == "state") return ShowState(After(arguments, 1), out, errors);
  if (command == "explain") {
    return ExplainRequest(After(arguments, 1), out, errors);
  }
  throw usage_error("command '" + command + "' is not known");
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
