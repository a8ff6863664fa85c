#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace comfreyspring::ctl {

/**
 * Runs one command and returns its exit code. Errors are written to `errors`
 * and do not throw.
 *
 * Example: `RunProgram({"sheet", "check", "--help"}, std::cout, std::cerr);`
 */
int RunProgram(const std::vector<std::string>& arguments, std::ostream& out,
               std::ostream& errors);

}  // namespace comfreyspring::ctl
