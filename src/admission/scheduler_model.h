#pragma once

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "admission/scheduler_test_support.h"

namespace comfreyspring::admission::test {

/**
 * Reference model of one engine. Applies the actions of a scheduler and asserts
 * the invariants of every action. Knows only the engine state that was reported
 * to the scheduler.
 */
template <class Scheduler>
class scheduler_model {
 public:
  enum class phase { queued, running, ended };
  struct attempt_model {
    work_item work;
    phase state = phase::queued;
    bool withdrawn = false;
    bool cancel_sent = false;
    bool ran = false;
    core::time_point submitted;
    core::time_point dispatched;
  };

  scheduler_model(std::size_t slots, std::size_t batch,
                  std::size_t maximum_queue = 4096)
      : slots_(slots),
        batch_(batch),
        scheduler_(scheduler_options{.started_at = At(0),
                                     .maximum_queue = maximum_queue}) {
    Apply(scheduler_.OnEngineState({slots_, batch_}, {}, now_));
  }

  // Events.

  void Submit(work_item work) {
    work.attempt = Attempt("r" + std::to_string(next_attempt_++));
    last_ = work.attempt;
    attempts_[work.attempt] = {.work = work, .submitted = now_};
    Apply(scheduler_.OnSubmit(work, now_));
  }
  void Withdraw(std::size_t pick) {
    const auto candidates = Where([](const attempt_model& attempt) {
      return attempt.state != phase::ended && !attempt.withdrawn;
    });
    if (candidates.empty()) return;
    const core::attempt_id& attempt = candidates[pick % candidates.size()];
    attempts_.at(attempt).withdrawn = true;
    Apply(scheduler_.OnWithdraw(attempt, now_));
    const attempt_model& model = attempts_.at(attempt);
    // The withdrawal of a queued attempt must be confirmed at once.
    RC_ASSERT(model.state != phase::queued);
  }
  void FirstOutput(std::size_t pick) {
    const auto running = Running();
    if (running.empty()) return;
    Apply(scheduler_.OnFirstOutput(running[pick % running.size()], now_));
  }
  void End(std::size_t pick) {
    const auto running = Running();
    if (running.empty()) return;
    EndAttempt(running[pick % running.size()]);
  }
  void EndAttempt(const core::attempt_id& attempt) {
    attempt_model& model = attempts_.at(attempt);
    model.state = phase::ended;
    Apply(scheduler_.OnEnded(attempt, model.work.expected_tokens, now_));
  }
  void ConfirmCancel(std::size_t pick) {
    const auto sent = Where([](const attempt_model& attempt) {
      return attempt.state == phase::running && attempt.cancel_sent;
    });
    if (sent.empty()) return;
    attempt_model& model = attempts_.at(sent[pick % sent.size()]);
    model.cancel_sent = false;
    model.state = model.withdrawn ? phase::ended : phase::queued;
    preempted_.insert(model.work.attempt);
    Apply(scheduler_.OnCancelConfirmed(model.work.attempt, {1}, now_));
  }
  /** The engine has lost an adapter and reports it for one attempt. */
  void AdapterMissing(std::size_t pick) {
    if (slots_ == 0) return;
    const auto running = Running();
    if (running.empty()) return;
    attempt_model& model = attempts_.at(running[pick % running.size()]);
    resident_.erase(model.work.adapter);
    model.state = phase::queued;
    model.cancel_sent = false;
    // Nothing ran in this dispatch, so only an earlier partial run counts.
    model.ran = model.ran && preempted_.contains(model.work.attempt);
    Apply(scheduler_.OnAdapterMissing(model.work.attempt, now_));
    if (!model.work.idempotent) RC_ASSERT(model.state == phase::ended);
  }
  void LoadDone(std::size_t pick, std::int64_t took_ms = 250) {
    if (loading_.empty()) return;
    const auto adapter = Nth(loading_, pick);
    loading_.erase(adapter);
    resident_.insert(adapter);
    Apply(scheduler_.OnLoadDone(adapter, core::milliseconds(took_ms), now_));
  }
  void LoadFailed(std::size_t pick) {
    if (loading_.empty()) return;
    const auto adapter = Nth(loading_, pick);
    loading_.erase(adapter);
    Apply(scheduler_.OnLoadFailed(adapter, now_));
  }
  /** The engine reports its adapters; if `lose` is set, it has lost one. */
  void EngineState(std::size_t pick, bool lose) {
    if (lose && !resident_.empty()) {
      const core::adapter_reference lost = Nth(resident_, pick);
      resident_.erase(lost);
    }
    Apply(scheduler_.OnEngineState({slots_, batch_},
                                   {resident_.begin(), resident_.end()}, now_));
  }
  void Restart() {
    for (const core::attempt_id& attempt : Running()) {
      attempts_.at(attempt).state = phase::ended;
    }
    resident_.clear();
    loading_.clear();
    Apply(scheduler_.OnEngineRestart(now_));
  }
  void SetEnabled(bool enabled) {
    enabled_ = enabled;
    Apply(scheduler_.SetEnabled(enabled, now_));
  }
  void Drain(core::milliseconds limit) {
    Apply(scheduler_.OnDrain(now_ + limit, now_));
  }
  void Tick(core::milliseconds step) {
    now_ += step;
    Apply(scheduler_.OnTick(now_));
  }

  // State.

  core::time_point Now() const { return now_; }
  const attempt_model& Last() const { return attempts_.at(last_); }
  const attempt_model& Get(const core::attempt_id& attempt) const {
    return attempts_.at(attempt);
  }
  core::attempt_id LastAttempt() const { return last_; }
  Scheduler& Subject() { return scheduler_; }
  std::size_t Loading() const { return loading_.size(); }
  std::vector<core::attempt_id> Running() const {
    return Where([](const attempt_model& attempt) {
      return attempt.state == phase::running;
    });
  }
  std::size_t Open() const {
    return Where([](const attempt_model& attempt) {
             return attempt.state != phase::ended;
           })
        .size();
  }

 private:
  template <class Predicate>
  std::vector<core::attempt_id> Where(const Predicate& predicate) const {
    std::vector<core::attempt_id> found;
    for (const auto& [id, attempt] : attempts_) {
      if (predicate(attempt)) found.push_back(id);
    }
    return found;
  }
  static core::adapter_reference Nth(
      const std::set<core::adapter_reference>& set, std::size_t pick) {
    return *std::next(set.begin(),
                      static_cast<std::ptrdiff_t>(pick % set.size()));
  }
  int PinsOf(const core::adapter_reference& adapter) const {
    int pins = 0;
    for (const core::attempt_id& id : Running()) {
      if (attempts_.at(id).work.adapter == adapter) ++pins;
    }
    return pins;
  }

  void Apply(const std::vector<scheduler_action>& actions) {
    for (const scheduler_action& action : actions) {
      std::visit([this](const auto& value) { this->Check(value); }, action);
    }
    RC_ASSERT(scheduler_.Running() == Running().size());
    RC_ASSERT(scheduler_.Waiting() + Running().size() == Open());
    // An attempt holds its pin from dispatch to its end or confirmed
    // cancellation.
    for (const slot_state& slot : scheduler_.Slots()) {
      RC_ASSERT(slot.pins == PinsOf(slot.adapter));
    }
  }

  void Check(const start_load& load) {
    RC_ASSERT(enabled_);
    RC_ASSERT(slots_ > 0);
    RC_ASSERT(!loading_.contains(load.adapter));
    RC_ASSERT(!resident_.contains(load.adapter));
    if (load.evict) {
      RC_ASSERT(!loading_.contains(*load.evict));
      RC_ASSERT(PinsOf(*load.evict) == 0);
      resident_.erase(*load.evict);
    }
    loading_.insert(load.adapter);
    RC_ASSERT(resident_.size() + loading_.size() <= slots_);
  }
  void Check(const dispatch& action) {
    RC_ASSERT(enabled_);
    attempt_model& attempt = attempts_.at(action.attempt);
    RC_ASSERT(attempt.state == phase::queued);
    RC_ASSERT(!attempt.withdrawn);
    RC_ASSERT(slots_ == 0 || resident_.contains(attempt.work.adapter));
    RC_ASSERT(attempt.work.idempotent || !attempt.ran);
    RC_ASSERT(Running().size() < batch_);
    attempt.state = phase::running;
    attempt.ran = true;
    attempt.dispatched = now_;
  }
  void Check(const preempt& action) {
    RC_ASSERT(enabled_);
    attempt_model& attempt = attempts_.at(action.attempt);
    RC_ASSERT(attempt.state == phase::running && !attempt.cancel_sent);
    RC_ASSERT(attempt.work.idempotent);
    RC_ASSERT(attempt.work.priority == core::priority_class::may_wait);
    attempt.cancel_sent = true;
  }
  void Check(const cancel_running& action) {
    attempt_model& attempt = attempts_.at(action.attempt);
    RC_ASSERT(attempt.state == phase::running);
    RC_ASSERT(attempt.withdrawn && !attempt.cancel_sent);
    attempt.cancel_sent = true;
  }
  void Check(const refuse& action) {
    attempt_model& attempt = attempts_.at(action.attempt);
    RC_ASSERT(attempt.state == phase::queued);
    RC_ASSERT(attempt.ran == action.ran_before);
    RC_ASSERT(!attempt.ran || attempt.work.idempotent);
    attempt.state = phase::ended;
  }
  void Check(const confirm_withdrawn& action) {
    attempt_model& attempt = attempts_.at(action.attempt);
    RC_ASSERT(attempt.state == phase::queued && attempt.withdrawn);
    RC_ASSERT(attempt.ran == action.ran_before);
    attempt.state = phase::ended;
  }

  std::size_t slots_;
  std::size_t batch_;
  core::time_point now_ = At(0);
  bool enabled_ = true;
  std::size_t next_attempt_ = 0;
  core::attempt_id last_;
  std::map<core::attempt_id, attempt_model> attempts_;
  /** Attempts that ran in part, regardless of later dispatches. */
  std::set<core::attempt_id> preempted_;
  std::set<core::adapter_reference> resident_;
  std::set<core::adapter_reference> loading_;
  Scheduler scheduler_;
};

}  // namespace comfreyspring::admission::test
