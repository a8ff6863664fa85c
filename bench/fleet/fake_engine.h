#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "bench/fleet/event_queue.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::bench {

/** Notifications from an engine to its agent. */
struct engine_callbacks {
  std::function<void(const core::attempt_id&)> on_first_output;
  /** Receives the number of tokens so far, every 8 tokens. */
  std::function<void(const core::attempt_id&, std::int64_t)> on_progress;
  std::function<void(const core::attempt_id&, core::token_count)> on_ended;
  std::function<void(const core::attempt_id&, core::token_count)> on_cancelled;
};

/**
 * Engine with continuous batching: each step yields one token for every
 * running sequence, and a full batch makes the steps longer.
 */
class fake_engine {
 public:
  static constexpr std::size_t kBatchLimit = 16;
  static constexpr std::size_t kAdapterSlots = 8;
  /** Total token rate of a full batch. */
  static constexpr double kTokensPerSecond = 1000.0;

  /** `events` must outlive the engine. */
  fake_engine(event_queue& events, engine_callbacks callbacks);

  /** @param tokens total to produce, of which `done` already exist. */
  void Start(const core::attempt_id& attempt, core::token_count tokens,
             core::token_count done);
  /** Takes effect, and is confirmed, at the end of the current step. */
  void Cancel(const core::attempt_id& attempt);
  /** Multiplies the duration of each step; no report shows the factor. */
  void SetSlowFactor(double factor) { slow_factor_ = factor; }
  std::size_t Running() const { return sequences_.size(); }

 private:
  struct sequence {
    std::int64_t tokens = 0;
    std::int64_t done = 0;
    int prefill_steps = 0;
    bool first_output_reported = false;
  };

  void ScheduleStep();
  void Step();

  event_queue& events_;
  engine_callbacks callbacks_;
  std::map<core::attempt_id, sequence> sequences_;
  std::set<core::attempt_id> cancelled_;
  double slow_factor_ = 1.0;
  bool step_scheduled_ = false;
};

}  // namespace comfreyspring::bench
