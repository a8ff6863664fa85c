#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace comfreyspring::ctl {

// Each command writes its result to `out` and returns the exit code.
// They throw usage_error and sheet::file_error.

/** `sheet check`: lists every error and warning. */
int CheckSheet(const std::vector<std::string>& arguments, std::ostream& out);
/** `sheet compile`: writes the documents of the next set. */
int CompileSheet(const std::vector<std::string>& arguments, std::ostream& out);
/** `sheet diff`: lists what a compilation would change. */
int DiffSheet(const std::vector<std::string>& arguments, std::ostream& out);

}  // namespace comfreyspring::ctl
