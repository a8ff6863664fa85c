#pragma once

#include <cstdint>

#include "core/time.h"

namespace comfreyspring::grants {

/**
 * Paces the prompts that one engine reads.
 *
 * An engine reads prompts between the tokens of the streams that it runs, so
 * each prompt lengthens a pause in all of them. Load patterns that it answers:
 * - many prompts at once: those that are sent and not yet read stay below a
 *   part of the pause that counts; within that they start at once, because a
 *   prompt that waits outside is late as well;
 * - an engine that stands still for moments: new prompts are held until its
 *   streams go on.
 *
 * The speed of reading is not published; it is the slope of the time to the
 * first output over the length of prompts that were read alone.
 */
class prompt_pacer {
 public:
  /** @param initial_rate tokens a millisecond, until it has been measured. */
  explicit prompt_pacer(double initial_rate);

  /** Streams are in a long pause: prompts that can wait do so for a while. */
  void OnStreamsStalled(core::time_point now);
  bool IsHeld(core::time_point now) const { return now < held_until_; }
  /**
   * True if a prompt may be sent now; a prompt may always be read alone.
   * @param pending tokens of prompts that were sent and have no output yet.
   */
  bool HasRoom(std::int64_t pending, std::int64_t tokens) const;
  /**
   * The first output of a prompt that was read alone.
   * @param took since the grant.
   */
  void OnFirstOutput(std::int64_t tokens, core::milliseconds took);

  /** Time in which the engine reads so many tokens. */
  core::milliseconds PrefillTime(std::int64_t tokens) const;
  /** Longest pause between events that counts as prompt. */
  void SetEventGapTarget(core::milliseconds gap) { event_gap_target_ = gap; }
  /** Tokens that the engine reads in a millisecond. */
  double Rate() const { return rate_; }

 private:
  double rate_;
  core::milliseconds event_gap_target_{300};
  core::time_point held_until_;

  // Decayed sums of a linear regression of time over tokens.
  double count_ = 0.0;
  double tokens_ = 0.0;
  double times_ = 0.0;
  double tokens_squared_ = 0.0;
  double tokens_times_ = 0.0;
};

}  // namespace comfreyspring::grants
