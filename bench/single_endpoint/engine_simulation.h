#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "admission/scheduler_types.h"
#include "core/time.h"

namespace comfreyspring::bench {

/** An attempt of the workload; it produces exactly `expected_tokens`. */
struct arrival {
  std::int64_t at_us = 0;
  admission::work_item work;
  bool long_work = false;
};

/** Outcome of an attempt. A time is -1 if the event did not occur. */
struct outcome_record {
  std::int64_t submitted_us = 0;
  std::int64_t dispatched_us = -1;
  std::int64_t first_output_us = -1;
  std::int64_t ended_us = -1;
  bool refused = false;
  /** The adapter was not loaded when the attempt was submitted. */
  bool adapter_miss = false;
};

/** Timing of the simulated engine; a step yields one token per sequence. */
struct engine_model {
  std::size_t adapter_slots = 8;
  std::size_t batch_limit = 16;
  double step_base_ms = 12.0;
  double step_per_sequence_ms = 0.4;
  /** Added to the step in which a sequence enters the batch. */
  double prefill_ms = 8.0;
  /** Added for each token that a resumed sequence has already produced. */
  double prefill_per_token_ms = 0.05;
  double load_ms = 250.0;
  /** Adapters loaded at the start. */
  std::vector<core::adapter_reference> resident;
  /** Mean number of loads in flight on other engines. */
  double background_loads = 0.0;
};

struct simulation_result {
  std::vector<outcome_record> outcomes;
  admission::scheduler_counters counters;
  /** Mean share of the batch in use. */
  double batch_fill = 0.0;
  double seconds = 0.0;
  /** Mean share of the batch in use while any attempt was waiting. */
  double fill_while_waiting = 0.0;
};

/** Event queue of a simulation; events at equal times run in FIFO order. */
class event_queue {
 public:
  void At(std::int64_t time_us, std::function<void()> run);
  /** Runs the events up to `end_us`. */
  void RunUntil(std::int64_t end_us);
  std::int64_t Now() const { return now_us_; }

 private:
  struct event {
    std::int64_t time_us;
    std::uint64_t sequence;
    std::function<void()> run;
  };
  struct runs_later {
    bool operator()(const event& left, const event& right) const {
      return std::pair(left.time_us, left.sequence) >
             std::pair(right.time_us, right.sequence);
    }
  };

  std::priority_queue<event, std::vector<event>, runs_later> events_;
  std::uint64_t next_ = 0;
  std::int64_t now_us_ = 0;
};

/** Percentile `share` (0 to 1) of values, by nearest rank; 0 for none. */
double Percentile(std::vector<double> values, double share);
double Mean(const std::vector<double>& values);

/** Simulates one engine with continuous batching, driven by one scheduler. */
template <class Scheduler>
class engine_simulation {
 public:
  engine_simulation(engine_model model, std::uint64_t seed)
      : model_(model),
        scheduler_(admission::scheduler_options{.started_at = Time(0),
                                                .random_seed = seed}) {}

  simulation_result Run(const std::vector<arrival>& arrivals,
                        std::int64_t end_us) {
    result_.outcomes.resize(arrivals.size());
    Apply(scheduler_.OnEngineState({model_.adapter_slots, model_.batch_limit},
                                   model_.resident, Time(0)));
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
      index_[arrivals[i].work.attempt] = i;
      events_.At(arrivals[i].at_us, [this, &arrivals, i] {
        Submit(arrivals[i], result_.outcomes[i]);
      });
    }
    ScheduleTick(end_us);
    events_.RunUntil(end_us);
    AccountTime();
    result_.counters = scheduler_.Counters();
    result_.seconds = static_cast<double>(end_us) / 1e6;
    const auto batch_slots = static_cast<double>(model_.batch_limit);
    result_.batch_fill = used_us_ / batch_slots / static_cast<double>(end_us);
    if (waiting_us_ > 0) {
      result_.fill_while_waiting = used_waiting_us_ / batch_slots / waiting_us_;
    }
    return result_;
  }

 private:
  struct sequence {
    core::attempt_id attempt;
    std::int64_t produced = 0;
    std::int64_t target_tokens = 0;
    bool entered = false;
  };

  static core::time_point Time(std::int64_t us) {
    // Far from the epoch, so that a default-constructed time point is old.
    return core::time_point(core::microseconds(us) + core::seconds(100'000));
  }
  core::time_point Now() const { return Time(events_.Now()); }

  void Submit(const arrival& item, outcome_record& record) {
    record.submitted_us = events_.Now();
    target_tokens_[item.work.attempt] = item.work.expected_tokens.value;
    adapters_[item.work.attempt] = item.work.adapter;
    record.adapter_miss = !scheduler_.Report(item.work.adapter, Now()).resident;
    AccountTime();
    Apply(scheduler_.OnSubmit(item.work, Now()));
  }

  void ScheduleTick(std::int64_t end_us) {
    constexpr std::int64_t kTickUs = 20'000;
    events_.At(events_.Now() + kTickUs, [this, end_us] {
      AccountTime();
      Apply(scheduler_.OnTick(Now()));
      if (events_.Now() < end_us) ScheduleTick(end_us);
    });
  }

  void AccountTime() {
    const auto elapsed_us = static_cast<double>(events_.Now() - accounted_us_);
    accounted_us_ = events_.Now();
    const auto used = static_cast<double>(batch_.size()) * elapsed_us;
    used_us_ += used;
    if (scheduler_.Waiting() > 0) {
      used_waiting_us_ += used;
      waiting_us_ += elapsed_us;
    }
  }

  void Apply(const std::vector<admission::scheduler_action>& actions) {
    for (const auto& action : actions) {
      std::visit([this](const auto& value) { this->Handle(value); }, action);
    }
  }
  void Handle(const admission::start_load& load) {
    ++loading_;
    const double contention =
        (static_cast<double>(loading_) + model_.background_loads) / 8.0;
    const core::milliseconds load_time{
        static_cast<std::int64_t>(model_.load_ms * std::max(1.0, contention))};
    events_.At(events_.Now() + core::microseconds(load_time).count(),
               [this, load, load_time] {
                 --loading_;
                 AccountTime();
                 Apply(scheduler_.OnLoadDone(load.adapter, load_time, Now()));
               });
  }
  void Handle(const admission::dispatch& action) {
    outcome_record& record = Record(action.attempt);
    if (record.dispatched_us < 0) record.dispatched_us = events_.Now();
    AccountTime();
    batch_.push_back({action.attempt, action.resume_from.value,
                      target_tokens_.at(action.attempt), false});
    if (!step_in_progress_) StartStep();
  }
  void Handle(const admission::preempt& action) { Cancel(action.attempt); }
  void Handle(const admission::cancel_running& action) {
    Cancel(action.attempt);
  }
  void Handle(const admission::refuse& action) {
    Record(action.attempt).refused = true;
  }
  void Handle(const admission::confirm_withdrawn&) {}

  void Cancel(const core::attempt_id& attempt) {
    events_.At(events_.Now() + 5'000, [this, attempt] {
      const auto found = FindSequence(attempt);
      if (found == batch_.end()) return;
      const std::int64_t produced = found->produced;
      AccountTime();
      batch_.erase(found);
      Apply(scheduler_.OnCancelConfirmed(attempt, {produced}, Now()));
    });
  }

  void StartStep() {
    step_in_progress_ = true;
    double step_ms = model_.step_base_ms;
    for (sequence& running : batch_) {
      step_ms += model_.step_per_sequence_ms;
      if (!running.entered) {
        step_ms +=
            model_.prefill_ms +
            model_.prefill_per_token_ms * static_cast<double>(running.produced);
      }
      running.entered = true;
    }
    events_.At(events_.Now() + static_cast<std::int64_t>(step_ms * 1'000),
               [this] { FinishStep(); });
  }

  void FinishStep() {
    AccountTime();
    std::vector<core::attempt_id> ended;
    for (sequence& running : batch_) {
      if (!running.entered) continue;
      ++running.produced;
      outcome_record& record = Record(running.attempt);
      if (record.first_output_us < 0) {
        record.first_output_us = events_.Now();
        scheduler_.OnFirstOutput(running.attempt, Now());
      }
      if (running.produced >= running.target_tokens)
        ended.push_back(running.attempt);
    }
    for (const core::attempt_id& attempt : ended) {
      batch_.erase(FindSequence(attempt));
      Record(attempt).ended_us = events_.Now();
    }
    step_in_progress_ = true;
    for (const core::attempt_id& attempt : ended) {
      Apply(scheduler_.OnEnded(attempt, {target_tokens_.at(attempt)}, Now()));
    }
    step_in_progress_ = false;
    if (!batch_.empty()) StartStep();
  }

  auto FindSequence(const core::attempt_id& attempt) {
    return std::find_if(
        batch_.begin(), batch_.end(),
        [&](const sequence& running) { return running.attempt == attempt; });
  }
  outcome_record& Record(const core::attempt_id& attempt) {
    return result_.outcomes[index_.at(attempt)];
  }

  engine_model model_;
  Scheduler scheduler_;
  event_queue events_;
  simulation_result result_;
  std::map<core::attempt_id, std::size_t> index_;
  std::map<core::attempt_id, std::int64_t> target_tokens_;
  std::map<core::attempt_id, core::adapter_reference> adapters_;
  std::vector<sequence> batch_;
  bool step_in_progress_ = false;
  int loading_ = 0;
  std::int64_t accounted_us_ = 0;
  double used_us_ = 0.0;
  double used_waiting_us_ = 0.0;
  double waiting_us_ = 0.0;
};

}  // namespace comfreyspring::bench
