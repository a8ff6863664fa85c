#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace comfreyspring::ctl {

/**
 * `state`: fetches `/debug/state` of a process and prints it, indented.
 * @returns the exit code, with `--watch` that of the last fetch.
 * @throws usage_error
 */
int ShowState(const std::vector<std::string>& arguments, std::ostream& out,
              std::ostream& errors);

}  // namespace comfreyspring::ctl
