#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/messages.h"

namespace comfreyspring::stream {

/** Running checksum over the chunks of a response, in sequence order. */
class chunk_checksum {
 public:
  void Add(std::string_view data);
  std::uint64_t Value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

/** State of a response after a frame was processed. */
enum class assembly_state { open, complete, broken };

/**
 * Puts the chunks of one attempt in order: duplicates are dropped, early ones
 * are held, and the final marker's count and checksum are verified.
 */
class stream_assembler {
 public:
  /** @param maximum_held limit of the chunks held for a missing earlier one. */
  explicit stream_assembler(std::size_t maximum_held = 1024);

  /** @returns the data that is now in order, to be forwarded. */
  std::vector<std::string> OnChunk(const wire::chunk& message);
  /** @returns the state; `broken` if count or checksum differ. */
  assembly_state OnFinished(const wire::finished& message);

  assembly_state State() const { return state_; }
  /** The sequence number to request when resuming. */
  std::uint64_t NextSequence() const { return next_sequence_; }
  /** Why the state is broken. */
  const std::string& Reason() const { return reason_; }

 private:
  void Break(std::string reason);
  void CheckFinal();

  std::size_t maximum_held_;
  std::uint64_t next_sequence_ = 0;
  std::map<std::uint64_t, std::string> held_;
  std::optional<wire::finished> final_;
  chunk_checksum checksum_;
  assembly_state state_ = assembly_state::open;
  std::string reason_;
};

}  // namespace comfreyspring::stream
