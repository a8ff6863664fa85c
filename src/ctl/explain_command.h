#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace comfreyspring::ctl {

/**
 * `explain`: prints the log lines and the outcome of one request, from log
 * files of gateways and sidecars.
 * @returns the exit code.
 * @throws usage_error
 */
int ExplainRequest(const std::vector<std::string>& arguments, std::ostream& out,
                   std::ostream& errors);

}  // namespace comfreyspring::ctl
