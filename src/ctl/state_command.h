#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace comfreyspring::ctl {

/**
 * `state`: fetches `/debug/state` from a process and prints it as indented
 * JSON.
 * @returns the exit code of the last fetch.
 * @throws usage_error
 */
int ShowState(const std::vector<std::string>& arguments, std::ostream& out,
              std::ostream& errors);

}  // namespace comfreyspring::ctl
