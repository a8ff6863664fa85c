#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "wire/messages.h"

namespace comfreyspring::stream {

struct replay_options {
  /** Older chunks of an attempt are dropped beyond this. */
  std::size_t maximum_attempt_bytes = 1024 * 1024;
  /** Beyond this, ended attempts are dropped first, then the oldest chunks of
   * the attempt that holds the most bytes. */
  std::size_t maximum_total_bytes = 32 * 1024 * 1024;
  /** An ended attempt is kept this long for a late resume. */
  core::milliseconds keep_after_end{10000};
};

/**
 * Retains the frames that an agent sends, so that a `resume` from any retained
 * sequence number can be served. Does no I/O and reads no clock. Numbers the
 * chunks and computes the final checksum.
 */
class replay_buffer {
 public:
  explicit replay_buffer(replay_options options = {});
  ~replay_buffer();
  replay_buffer(const replay_buffer&) = delete;
  replay_buffer& operator=(const replay_buffer&) = delete;

  // Events.

  /** Starts an attempt; ignored if it is known. */
  void Begin(const core::attempt_id& attempt);
  /** @returns the chunk to send, numbered from 0 without gaps. The attempt
   * must have begun and not ended. */
  wire::chunk Append(const core::attempt_id& attempt, std::string data);
  /** Records the last frame. Fills count and checksum if it is `finished`.
   * @returns the frame to send. */
  wire::message End(const core::attempt_id& attempt, wire::message last,
                    core::time_point now);
  /** Drops attempts that ended longer ago than `keep_after_end`. */
  void OnTick(core::time_point now);

  // Queries.

  /**
   * Frames from chunk `next_sequence` on, with the last frame if there is one.
   * @returns nullopt if the attempt is unknown, the sequence lies beyond the
   *     next chunk, or a needed chunk was dropped.
   */
  std::optional<std::vector<wire::message>> From(
      const core::attempt_id& attempt, std::uint64_t next_sequence) const;
  bool IsKnown(const core::attempt_id& attempt) const;
  bool HasEnded(const core::attempt_id& attempt) const;
  /** Chunks appended so far; 0 if unknown. */
  std::uint64_t ChunkCount(const core::attempt_id& attempt) const;
  std::size_t Bytes() const;
  std::size_t Attempts() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::stream
