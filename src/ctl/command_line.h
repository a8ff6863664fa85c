#pragma once

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"

namespace comfreyspring::ctl {

constexpr int kExitSuccess = 0;
constexpr int kExitSheetErrors = 1;
constexpr int kExitNotFound = 1;
constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 3;

/** Invalid command-line arguments. */
class usage_error : public core::error {
 public:
  using core::error::error;
};

/** An option that a command accepts. */
struct option {
  std::string name;
  bool takes_value = true;
};

/** Parsed options of a command, by name without dashes. */
class command_line {
 public:
  /**
   * Parses `--name=value`, `--name value` and `--name`; `--help` is always
   * accepted.
   * @throws usage_error on an unknown option, a missing value or a
   * positional argument.
   */
  command_line(const std::vector<std::string>& arguments,
               const std::vector<option>& options);

  bool Has(const std::string& name) const;
  /** @throws usage_error if the option is absent or empty. */
  std::string Required(const std::string& name) const;
  std::optional<std::string> Text(const std::string& name) const;
  /** @throws usage_error unless the value is an integer >= `minimum`. */
  std::optional<std::int64_t> Number(const std::string& name,
                                     std::int64_t minimum) const;

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace comfreyspring::ctl
