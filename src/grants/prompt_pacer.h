#pragma once

#include <cstdint>

#include "core/time.h"

namespace comfreyspring::grants {

/**
 * Limits how many prompts one engine prefills at a time.
 *
 * An engine interleaves prefill with the decoding of running streams, so each
 * prompt lengthens a gap between events in all of them. Load patterns that it
 * handles:
 * - Bursts of prompts: the prefill time of pending prompts stays below a share
 *   of the event-gap target. Within that limit prompts start immediately,
 *   because a prompt that waits outside of the engine is late as well.
 * - An engine that stalls for short times: new prompts are held until its
 *   streams continue.
 *
 * Engines do not publish their prefill rate. It is estimated by linear
 * regression of the time to first output over the prompt length, for prompts
 * that were prefilled alone.
 */
class prompt_pacer {
 public:
  /**
   * @param initial_rate prompt tokens per millisecond, used until the rate has
   *     been measured.
   */
  explicit prompt_pacer(double initial_rate);

  /**
   * The engine's streams are stalled. Prompts that can wait are held for a
   * short time.
   */
  void OnStreamsStalled(core::time_point now);
  bool IsHeld(core::time_point now) const { return now < held_until_; }
  /**
   * Returns true if a prompt may be sent now. A prompt may always be sent if no
   * other is pending.
   * @param pending tokens of prompts that were sent and have no output yet.
   */
  bool HasRoom(std::int64_t pending, std::int64_t tokens) const;
  /**
   * Adds the time to first output of a prompt that was prefilled alone.
   * @param took time since the grant.
   */
  void OnFirstOutput(std::int64_t tokens, core::milliseconds took);

  /** Estimated time in which the engine prefills this many tokens. */
  core::milliseconds PrefillTime(std::int64_t tokens) const;
  /** Sets the longest gap between events that still meets the target. */
  void SetEventGapTarget(core::milliseconds gap) { event_gap_target_ = gap; }
  /** Prompt tokens that the engine prefills per millisecond. */
  double Rate() const { return rate_; }

 private:
  double rate_;
  core::milliseconds event_gap_target_{300};
  core::time_point held_until_;

  // Exponentially decayed sums for the regression of time over tokens.
  double count_ = 0.0;
  double tokens_ = 0.0;
  double times_ = 0.0;
  double tokens_squared_ = 0.0;
  double tokens_times_ = 0.0;
};

}  // namespace comfreyspring::grants
