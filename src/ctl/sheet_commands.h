#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace comfreyspring::ctl {

// Each command writes its result to `out` and returns the exit code.
// Throws usage_error and sheet::file_error.

/** `sheet check`: lists every error and warning. */
int CheckSheet(const std::vector<std::string>& arguments, std::ostream& out);
/** `sheet compile`: writes the documents of the next configuration. */
int CompileSheet(const std::vector<std::string>& arguments, std::ostream& out);
/** `sheet diff`: lists the records that a compilation would change. */
int DiffSheet(const std::vector<std::string>& arguments, std::ostream& out);

}  // namespace comfreyspring::ctl
