#include "bench/fleet/fake_engine.h"

#include <cassert>
#include <utility>
#include <vector>

namespace comfreyspring::bench {
namespace {

// A step of a full batch takes 16 ms, so an engine yields 1,000 tokens/s.
constexpr double kStepMs = 8.0;
constexpr double kStepMsPerSequence = 0.5;
constexpr int kPrefillSteps = 2;
constexpr std::int64_t kProgressTokens = 8;

}  // namespace

fake_engine::fake_engine(event_queue& events, engine_callbacks callbacks)
    : events_(events), callbacks_(std::move(callbacks)) {}

void fake_engine::Start(const core::attempt_id& attempt,
                        core::token_count tokens, core::token_count done) {
  assert(sequences_.size() < kBatchLimit);
  sequences_[attempt] = {tokens.value, done.value, kPrefillSteps, false};
  ScheduleStep();
}

void fake_engine::Cancel(const core::attempt_id& attempt) {
  cancelled_.insert(attempt);
  ScheduleStep();
}

void fake_engine::ScheduleStep() {
  if (step_scheduled_ || (sequences_.empty() && cancelled_.empty())) return;
  step_scheduled_ = true;
  const double ms =
      slow_factor_ *
      (kStepMs + kStepMsPerSequence * static_cast<double>(sequences_.size()));
  events_.After(core::microseconds(static_cast<std::int64_t>(ms * 1000.0)),
                [this] { Step(); });
}

void fake_engine::Step() {
  step_scheduled_ = false;
  std::vector<core::attempt_id> first;
  std::vector<std::pair<core::attempt_id, std::int64_t>> progress;
  std::vector<std::pair<core::attempt_id, std::int64_t>> ended;
  std::vector<std::pair<core::attempt_id, std::int64_t>> cancelled;
  for (auto item = sequences_.begin(); item != sequences_.end();) {
    auto& [attempt, state] = *item;
    if (cancelled_.contains(attempt)) {
      cancelled.emplace_back(attempt, state.done);
      item = sequences_.erase(item);
      continue;
    }
    if (state.prefill_steps > 0) {
      --state.prefill_steps;
    } else {
      ++state.done;
      if (state.done % kProgressTokens == 0) {
        progress.emplace_back(attempt, state.done);
      }
      if (!state.first_output_reported) first.push_back(attempt);
      state.first_output_reported = true;
    }
    if (state.done >= state.tokens) {
      ended.emplace_back(attempt, state.done);
      item = sequences_.erase(item);
    } else {
      ++item;
    }
  }
  // A cancellation of a sequence that has already ended is not confirmed.
  cancelled_.clear();
  for (const auto& attempt : first) callbacks_.on_first_output(attempt);
  for (const auto& [attempt, tokens] : progress) {
    callbacks_.on_progress(attempt, tokens);
  }
  for (const auto& [attempt, tokens] : ended) {
    callbacks_.on_ended(attempt, core::token_count{tokens});
  }
  for (const auto& [attempt, tokens] : cancelled) {
    callbacks_.on_cancelled(attempt, core::token_count{tokens});
  }
  ScheduleStep();
}

}  // namespace comfreyspring::bench
