#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace comfreyspring::quarantine {

/** The end of one run of an engine. */
struct crash_id {
  /** Sidecar of the engine, or instance of an endpoint that has none. */
  core::process_id sidecar;
  std::int64_t engine_started_unix_ms = 0;
  // clang-tidy 14 mistakes the compiler's own comparison with 0 for a pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const crash_id&, const crash_id&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

/**
 * A part of a prompt, or a whole request, whose answer had not gone on when its
 * engine ended.
 */
struct suspected_part {
  core::prompt_part_id part;
  /**
   * Number of crashes, each after the one before was known, that the part was
   * suspected of when the request was sent.
   */
  int level = 0;
  /** An answer to a prompt with the part has gone on since. */
  bool cleared = false;

  friend bool operator==(const suspected_part&,
                         const suspected_part&) = default;
};

/**
 * What may have ended an engine; no parts if no prompt can have. Copies are
 * merged by union, so that their order and number do not matter.
 */
struct crash_record {
  crash_id crash;
  /** Time since the crash. */
  core::milliseconds age{0};
  std::vector<suspected_part> parts;
};

/** For logs: each part with its level, and a mark if it is cleared. */
std::string ToText(const std::vector<suspected_part>& parts);

}  // namespace comfreyspring::quarantine
