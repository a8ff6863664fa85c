#pragma once

#include <cstdint>
#include <tuple>

#include "core/ids.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

/** One instance of an entry process, whatever link it uses. */
struct entry_address {
  core::process_id process;
  std::int64_t instance_ms = 0;
  friend bool operator==(const entry_address&, const entry_address&) = default;
  friend bool operator<(const entry_address& left, const entry_address& right) {
    return std::tie(left.process, left.instance_ms) <
           std::tie(right.process, right.instance_ms);
  }
};

/** Sends to an entry over its newest open link. */
class entry_sender {
 public:
  virtual ~entry_sender() = default;
  /** @returns false if the entry has no open link. */
  virtual bool Send(const entry_address& entry,
                    const wire::message& message) = 0;
};

}  // namespace comfreyspring::agent
