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
 * Sends the responses of attempts to the entries. Each attempt ends once. After
 * a lost link an entry can resume the response from any buffered message.
 */
class response_channel {
 public:
  response_channel(entry_sender& sender, stream::replay_options options);

  // Responses.

  void Begin(const core::attempt_id& attempt, const entry_instance& entry);
  /** Sends a message that is not buffered for a resume, such as `accepted`. */
  void Notify(const core::attempt_id& attempt, const wire::message& message);
  /** Sends output in chunks that stay below the frame size limit. */
  void Write(const core::attempt_id& attempt, const std::string& data);
  /** Sends the final message. Ignored if the attempt is unknown or ended. */
  void End(const core::attempt_id& attempt, const wire::message& final_message,
           core::time_point now);

  /** Resends the messages from chunk `next_sequence` on.
   * @returns false if they are no longer buffered. */
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
