#pragma once

#include <cstddef>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace comfreyspring::trace {

/** An action that differs or an outcome that does not hold. */
struct replay_fault {
  std::size_t line = 0;
  std::string message;
};

struct replay_result {
  std::size_t events = 0;
  std::size_t outcomes = 0;
  /** Empty if everything holds. Of differing actions only the first event's,
   * because later ones follow from it. */
  std::vector<replay_fault> faults;
};

/**
 * Feeds the recorded events into fresh instances and checks actions and
 * outcomes.
 * @param print gets the events with the actions of the replay, if set.
 * @throws trace_error if the trace cannot be read.
 */
replay_result ReplayTrace(std::istream& in, std::ostream* print = nullptr);

}  // namespace comfreyspring::trace
