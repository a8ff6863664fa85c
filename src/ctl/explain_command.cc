#include "ctl/explain_command.h"

#include <fstream>
#include <iostream>
#include <ostream>

#include "ctl/command_line.h"
#include "ctl/request_explanation.h"

namespace comfreyspring::ctl {
namespace {

constexpr const char* kHelp =
    "Usage: comfreyspringctl explain REQUEST-ID LOG...\n"
    "Prints the outcome of a request from logs of gateways and sidecars; the\n"
    "log name - reads standard input.\n"
    "Exit code: 0 explained, 1 request not found, 2 invalid usage or a log\n"
    "that cannot be read.\n";

constexpr const char* kStandardInput = "-";

}  // namespace

int ExplainRequest(const std::vector<std::string>& arguments, std::ostream& out,
                   std::ostream& errors) {
  if (!arguments.empty() && arguments.front() == "--help") {
    out << kHelp;
    return kExitSuccess;
  }
  if (arguments.size() < 2 || arguments.front().empty()) {
    throw usage_error("explain requires a request id and at least one log");
  }
  request_explanation explanation(arguments.front());
  for (std::size_t i = 1; i < arguments.size(); ++i) {
    if (arguments[i] == kStandardInput) {
      explanation.Read(std::cin);
      continue;
    }
    std::ifstream log(arguments[i]);
    if (!log) throw usage_error("cannot read log '" + arguments[i] + "'");
    explanation.Read(log);
  }
  if (explanation.MalformedLines() > 0) {
    errors << explanation.MalformedLines()
           << " malformed log lines were skipped.\n";
  }
  explanation.Write(out);
  return explanation.Found() ? kExitSuccess : kExitNotFound;
}

}  // namespace comfreyspring::ctl
