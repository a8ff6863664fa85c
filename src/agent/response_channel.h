#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "agent/entry_instance.h"
#include "core/ids.h"
#include "core/time.h"
#include "stream/replay_buffer.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

/**
 * Answers of attempts on their way to the entries. Each attempt ends once; a
 * lost link loses nothing that is still kept for a resume.
 */
class response_channel {
 public:
  response_channel(entry_sender& sender, stream::replay_options options);

  // Answers.

  void Begin(const core::attempt_id& attempt, const entry_instance& entry);
  /** Sends a message that is not part of the answer, such as `accepted`. */
  void Notify(const core::attempt_id& attempt, const wire::message& message);
  /** Sends output, in pieces below the frame limit. */
  void Write(const core::attempt_id& attempt, const std::string& data);
  /** Sends the last message. Ignored if the attempt has ended. */
  void End(const core::attempt_id& attempt, const wire::message& final_message,
           core::time_point now);

  /** Sends the frames from `next_sequence` on.
   * @returns false if they are not kept. */
  bool Resume(const core::attempt_id& attempt, std::uint64_t next_sequence);

  void OnTick(core::time_point now);

  // State.

  bool IsKnown(const core::attempt_id& attempt) const;
  bool HasEnded(const core::attempt_id& attempt) const;
  std::uint64_t ChunkCount(const core::attempt_id& attempt) const;
  std::size_t BufferedBytes() const { return replay_.Bytes(); }
  std::size_t BufferedAttempts() const { return replay_.Attempts(); }

 private:
  entry_sender& sender_;
  stream::replay_buffer replay_;
  std::unordered_map<core::attempt_id, entry_instance> entries_;
};

}  // namespace comfreyspring::agent
