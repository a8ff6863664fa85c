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

/** Delay from publication until a new ownership epoch takes effect. */
constexpr core::seconds kEpochDelay{60};

/** Contents of an input file, and its name for messages. */
struct source_file {
  std::string name;
  std::string text;
};

/** Records of both files and the issues found in them. */
struct checked_input {
  sheet_contents sheet;
  fleet_contents fleet;
  /** Sorted by file, then row; an error prevents compilation. */
  std::vector<issue> issues;
};

struct compile_options {
  /** Time of publication. */
  core::wall_time now;
  /** Ignored unless greater than the previous generation plus one. */
  std::optional<std::uint64_t> generation;
};

/** Reads and checks both files, and reports all errors. */
checked_input CheckInput(const source_file& sheet, const source_file& fleet);

/**
 * Compiles the configuration to publish; `input` must not contain errors.
 *
 * A service whose members changed gets a new ownership epoch, which takes
 * effect 60 s (kEpochDelay) after publication; the last 4 epochs are kept.
 * Without a previous configuration, the first epochs take effect at
 * publication.
 * @param previous the active configuration, or nullptr for the first one.
 */
config::configuration Compile(const checked_input& input,
                              const config::configuration* previous,
                              const compile_options& options);

}  // namespace comfreyspring::sheet
