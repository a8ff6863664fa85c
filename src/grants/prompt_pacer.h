#pragma once

#include <cstdint>

#include "core/time.h"

namespace comfreyspring::grants {

/**
 * Paces the prompts that one engine reads.
 *
 * An engine reads prompts between the tokens of the streams that it runs, so
 * each prompt lengthens a pause in all of them. Prompts that arrive together
 * are spread so that reading takes a bounded share of any pause. The speed of
 * reading is not published; it is the slope of the time to the first output
 * over the length of prompts that were read alone.
 */
class prompt_pacer {
 public:
  /** @param initial_rate tokens a millisecond, until it has been measured. */
  explicit prompt_pacer(double initial_rate);

  /**
   * Follows the prompts that wait: the more there is to read, the larger the
   * share of the engine's time that reading may take.
   * @param tokens of prompts that wait for nothing else.
   */
  void SetBacklog(std::int64_t tokens, core::time_point now);
  /** Streams are in a long pause: prompts that can wait do so for a while. */
  void OnPause(core::time_point now);
  bool IsHeld(core::time_point now) const { return now < held_until_; }
  /** True if a prompt may be sent now. */
  bool IsOpen(core::time_point now) const;
  /** A prompt was sent. */
  void OnGranted(std::int64_t tokens, core::time_point now);
  /**
   * The first output of a prompt that was read alone.
   * @param took since the grant.
   */
  void OnFirstOutput(std::int64_t tokens, core::milliseconds took);

  /** Time until so many more tokens have been let through. */
  core::milliseconds TimeFor(std::int64_t tokens, core::time_point now) const;
  /** Longest pause between events that counts as prompt. */
  void SetEventGap(core::milliseconds gap) { event_gap_ = gap; }
  core::milliseconds EventGap() const { return event_gap_; }
  /** Tokens that the engine reads in a millisecond. */
  double Rate() const { return rate_; }

 private:
  double Credit(core::time_point now) const;

  double rate_;
  /** Share of the engine's time that reading may take now. */
  double share_;
  core::milliseconds event_gap_{300};
  /** Tokens that may be sent; negative after a long prompt. */
  double credit_ = 0.0;
  core::time_point credited_at_;
  core::time_point held_until_;

  // Decayed sums of a linear regression of time over tokens.
  double count_ = 0.0;
  double tokens_ = 0.0;
  double times_ = 0.0;
  double tokens_squared_ = 0.0;
  double tokens_times_ = 0.0;
};

}  // namespace comfreyspring::grants
