#pragma once

#include <cstdint>
#include <tuple>

#include "core/ids.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

/** Identifies one instance of an entry process, independent of its links. */
struct entry_instance {
  core::process_id process;
  std::int64_t instance_ms = 0;
  friend bool operator==(const entry_instance&,
                         const entry_instance&) = default;
  friend bool operator<(const entry_instance& left,
                        const entry_instance& right) {
    return std::tie(left.process, left.instance_ms) <
           std::tie(right.process, right.instance_ms);
  }
};

/** Sends messages to an entry over its newest open link. */
class entry_sender {
 public:
  virtual ~entry_sender() = default;
  /** @returns false if the entry has no open link. */
  virtual bool Send(const entry_instance& entry,
                    const wire::message& message) = 0;
};

}  // namespace comfreyspring::agent
