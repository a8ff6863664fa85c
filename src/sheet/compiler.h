#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/configuration.h"
#include "core/time.h"
#include "sheet/issue.h"
#include "sheet/sheet_reader.h"

namespace comfreyspring::sheet {

/** From publication until a new ownership epoch takes effect. */
constexpr core::seconds kEpochDelay{60};

/** A file's name, for messages, and its bytes. */
struct source_file {
  std::string name;
  std::string text;
};

/** Both files as read, with everything that is wrong with them. */
struct checked_input {
  sheet_contents sheet;
  fleet_contents fleet;
  /** In the order of files and rows; errors forbid compiling. */
  std::vector<issue> issues;
};

struct compile_options {
  /** Time of publication. */
  core::wall_time now;
  /** Used if greater than the previous generation plus one. */
  std::optional<std::uint64_t> generation;
};

/** Reads and checks both files; never stops at the first error. */
checked_input CheckInput(const source_file& sheet, const source_file& fleet);

/**
 * Builds the set to publish; `input` must have no errors.
 *
 * A service whose members changed gets a new ownership epoch, in effect 60 s
 * after publication; the last 4 are kept. Without a previous set the first
 * epochs take effect at publication.
 * @param previous the set in force, or nullptr for the first.
 */
config::configuration Compile(const checked_input& input,
                              const config::configuration* previous,
                              const compile_options& options);

}  // namespace comfreyspring::sheet
