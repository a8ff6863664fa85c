#pragma once

#include <cstddef>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace comfreyspring::trace {

/** An action that differs from the recorded one, or an outcome not met. */
struct replay_mismatch {
  std::size_t line = 0;
  std::string message;
};

struct replay_result {
  std::size_t events = 0;
  std::size_t outcomes = 0;
  /** Empty if the replay succeeded. Of the actions, only the first mismatch is
   * reported because later ones follow from it. */
  std::vector<replay_mismatch> mismatches;
};

/**
 * Replays the recorded events into new instances and checks the actions and
 * outcomes.
 * @param print if not null, receives the events with their replayed actions.
 * @throws trace_error if the trace is malformed or an event cannot be applied.
 */
replay_result ReplayTrace(std::istream& in, std::ostream* print = nullptr);

}  // namespace comfreyspring::trace
