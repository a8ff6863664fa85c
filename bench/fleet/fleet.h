#pragma once

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "admission/scheduler_types.h"
#include "bench/fleet/event_queue.h"
#include "bench/fleet/fake_engine.h"
#include "bench/fleet/measurements.h"
#include "bench/fleet/weight_store.h"
#include "bench/fleet/workload.h"
#include "membership/endpoint_directory.h"
#include "routing/health_aware_selector.h"
#include "routing/request_lifecycle.h"
#include "wire/messages.h"

namespace comfreyspring::bench {

/** Period in which the first `engines` engines run slower than reported. */
struct slow_period {
  int engines = 0;
  double factor = 1.0;
  double from_seconds = 0.0;
  double to_seconds = 0.0;
};

struct fleet_options {
  std::string name;
  std::uint64_t seed = 1;
  int engines = 12;
  int entries = 3;
  bool eject_slow = true;
  bool hedge = true;
  slow_period slow;
  double observed_from_seconds = 0.0;
  double observed_to_seconds = 0.0;
};

/**
 * Simulated fleet: entries with the production router and agents with the
 * production scheduler and a fake engine, connected by links with a fixed
 * delay.
 */
template <class Choice, class Scheduler>
class fleet {
 public:
  explicit fleet(fleet_options options)
      : options_(std::move(options)), store_(events_) {
    MakeConfiguration();
    for (int i = 0; i < options_.engines; ++i) MakeAgent(i);
    for (int i = 0; i < options_.entries; ++i) MakeEntry(i);
    ScheduleTicks();
    ScheduleSlowPeriod();
  }

  run_result Run(const std::vector<job>& jobs) {
    result_.name = options_.name;
    const core::time_point start = events_.Now();
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      events_.At(start + jobs[i].at, [this, &jobs, i] { Submit(jobs[i], i); });
    }
    open_requests_ = jobs.size();
    const std::chrono::duration<double> last = jobs.back().at;
    result_.arrival_seconds = last.count();
    const core::time_point end =
        start + jobs.back().at + core::seconds(kMaxDrainSeconds);
    while (open_requests_ > 0 && events_.Now() < end && events_.RunNext()) {
    }
    Collect(start);
    return std::move(result_);
  }

 private:
  static constexpr std::int64_t kMaxDrainSeconds = 150;
  static constexpr core::milliseconds kEntryTickInterval{10};
  static constexpr core::milliseconds kAgentTickInterval{20};
  static constexpr core::milliseconds kHeartbeatInterval{1000};
  static constexpr core::milliseconds kSampleInterval{50};
  static constexpr core::microseconds kLocalLinkDelay{200};
  static constexpr core::microseconds kRemoteLinkDelay{1500};
  static constexpr int kDataCentres = 4;

  struct entry_state {
    std::string data_centre;
    std::unique_ptr<membership::endpoint_directory> directory;
    std::unique_ptr<routing::health_aware_selector<Choice>> selector;
    std::unique_ptr<routing::request_lifecycle> lifecycle;
  };
  struct attempt_state {
    core::adapter_reference adapter;
    std::int64_t tokens = 0;
    int entry = 0;
  };
  struct agent_state {
    core::endpoint_id endpoint;
    std::string data_centre;
    std::unique_ptr<Scheduler> scheduler;
    std::unique_ptr<fake_engine> engine;
    std::unordered_map<core::attempt_id, attempt_state> attempts;
  };
  struct job_state {
    const job* work = nullptr;
    core::time_point submitted;
  };

  static std::string DataCentre(int index) {
    return "dc-" + std::to_string(index % kDataCentres);
  }

  // Setup.

  void MakeConfiguration() {
    auto current = std::make_shared<config::configuration>();
    current->version.generation = 1;
    for (int i = 0; i < options_.engines; ++i) {
      config::endpoint_record record;
      record.endpoint = core::endpoint_id("engine-" + std::to_string(i));
      record.vm = core::vm_id("vm-" + std::to_string(i));
      record.data_centre = core::data_centre_id{DataCentre(i)};
      record.model = core::model_id("base");
      current->endpoints.push_back(std::move(record));
    }
    configuration_ = std::move(current);
  }

  void MakeAgent(int index) {
    auto agent = std::make_unique<agent_state>();
    agent_state* state = agent.get();
    state->endpoint = configuration_->endpoints.at(index).endpoint;
    state->data_centre = DataCentre(index);
    admission::scheduler_options options;
    options.started_at = events_.Now();
    options.random_seed = options_.seed + static_cast<std::uint64_t>(index);
    state->scheduler = std::make_unique<Scheduler>(options);
    engine_callbacks callbacks;
    callbacks.on_first_output = [this, state](const auto& attempt) {
      Execute(*state, state->scheduler->OnFirstOutput(attempt, events_.Now()));
      const auto found = state->attempts.find(attempt);
      if (found == state->attempts.end()) return;
      SendToEntry(*state, found->second.entry,
                  [attempt](auto& lifecycle, auto now) {
                    return lifecycle.OnFirstChunk(attempt, now);
                  });
    };
    callbacks.on_progress = [this, state](const auto& attempt, auto tokens) {
      const auto found = state->attempts.find(attempt);
      if (found == state->attempts.end()) return;
      const auto chunks = static_cast<std::uint64_t>(tokens);
      this->SendToEntry(*state, found->second.entry,
                        [attempt, chunks](auto& lifecycle, auto now) {
                          lifecycle.OnProgress(attempt, chunks, now);
                          return std::vector<routing::router_action>();
                        });
    };
    callbacks.on_ended = [this, state](const auto& attempt, auto tokens) {
      OnEnded(*state, attempt, tokens);
    };
    callbacks.on_cancelled = [this, state](const auto& attempt, auto tokens) {
      Execute(*state, state->scheduler->OnCancelConfirmed(attempt, tokens,
                                                          events_.Now()));
    };
    state->engine =
        std::make_unique<fake_engine>(events_, std::move(callbacks));
    agent_index_[state->endpoint] = agents_.size();
    agents_.push_back(std::move(agent));
    Execute(*state, state->scheduler->OnEngineState(
                        {fake_engine::kAdapterSlots, fake_engine::kBatchLimit},
                        {}, events_.Now()));
  }

  void MakeEntry(int index) {
    entry_state entry;
    entry.data_centre = DataCentre(index);
    entry.directory = std::make_unique<membership::endpoint_directory>(
        core::milliseconds(3500));
    entry.directory->OnConfiguration(configuration_);
    for (const auto& agent : agents_) {
      wire::hello hello;
      hello.instance_ms = 1;
      hello.report = ReportOf(*agent, {});
      entry.directory->OnHello(agent->endpoint, hello, events_.Now());
    }
    routing::selector_options selection;
    selection.own_data_centre = core::data_centre_id{entry.data_centre};
    selection.random_seed = options_.seed + 100 + index;
    selection.eject_slow = options_.eject_slow;
    selection.hedge = options_.hedge;
    entry.selector = std::make_unique<routing::health_aware_selector<Choice>>(
        selection, *entry.directory);
    entry.lifecycle = std::make_unique<routing::request_lifecycle>(
        routing::router_options{}, *entry.selector);
    entries_.push_back(std::move(entry));
  }

  void SchedulePeriodically(core::microseconds period,
                            event_queue::action action) {
    events_.After(period, [this, period, action] {
      action();
      SchedulePeriodically(period, action);
    });
  }

  void ScheduleTicks() {
    for (int i = 0; i < options_.entries; ++i) {
      SchedulePeriodically(kEntryTickInterval, [this, i] {
        Execute(i, entries_[i].lifecycle->OnTick(events_.Now()));
      });
    }
    for (const auto& agent : agents_) {
      agent_state* state = agent.get();
      SchedulePeriodically(kAgentTickInterval, [this, state] {
        Execute(*state, state->scheduler->OnTick(events_.Now()));
      });
      SchedulePeriodically(kHeartbeatInterval, [this, state] {
        for (int i = 0; i < options_.entries; ++i) {
          const wire::endpoint_report report = ReportOf(*state, {});
          events_.After(LinkDelay(*state, i), [this, state, i, report] {
            entries_[i].directory->OnReport(state->endpoint, report,
                                            events_.Now());
          });
        }
      });
    }
    SchedulePeriodically(kSampleInterval, [this] { SampleBatchFill(); });
  }

  void ScheduleSlowPeriod() {
    const slow_period& slow = options_.slow;
    const auto set = [this](int count, double factor) {
      for (int i = 0; i < count; ++i) agents_[i]->engine->SetSlowFactor(factor);
    };
    if (slow.engines == 0) return;
    events_.After(FromSeconds(slow.from_seconds),
                  [set, slow] { set(slow.engines, slow.factor); });
    events_.After(FromSeconds(slow.to_seconds),
                  [set, slow] { set(slow.engines, 1.0); });
  }

  static core::microseconds FromSeconds(double value) {
    return core::microseconds(static_cast<std::int64_t>(value * 1e6));
  }

  core::microseconds LinkDelay(const agent_state& agent, int entry) const {
    return agent.data_centre == entries_[entry].data_centre ? kLocalLinkDelay
                                                            : kRemoteLinkDelay;
  }

  // Clients.

  void Submit(const job& work, std::size_t number) {
    routing::request_attributes attributes;
    attributes.request = core::request_id(std::to_string(number));
    attributes.model = core::model_id("base");
    attributes.adapter = {
        core::adapter_id{"adapter-" + std::to_string(work.adapter)},
        core::version_id("v1")};
    attributes.priority = work.priority;
    attributes.expected_tokens = {work.expected_tokens};
    attributes.deadline = events_.Now() + work.deadline;
    jobs_[attributes.request] = {&work, events_.Now()};
    ++ClassOf(work).submitted;
    Execute(work.entry, entries_[work.entry].lifecycle->OnRequest(
                            attributes, events_.Now()));
  }

  class_result& ClassOf(const job& work) {
    return work.priority == core::priority_class::urgent ? result_.urgent
                                                         : result_.may_wait;
  }

  // Entries.

  void Execute(int entry, const std::vector<routing::router_action>& actions) {
    for (const routing::router_action& action : actions) {
      std::visit([&](const auto& typed) { Apply(entry, typed); }, action);
    }
  }
  void Apply(int entry, const routing::submit_attempt& action) {
    agent_state& agent = *agents_[agent_index_.at(action.endpoint)];
    const job_state& state = jobs_.at(action.request);
    const job& work = *state.work;
    admission::work_item item;
    item.attempt = action.attempt;
    item.adapter = {core::adapter_id{"adapter-" + std::to_string(work.adapter)},
                    core::version_id("v1")};
    item.priority = work.priority;
    item.expected_tokens = {work.expected_tokens};
    item.deadline = state.submitted + work.deadline;
    const std::int64_t tokens = work.tokens;
    events_.After(LinkDelay(agent, entry), [this, &agent, item, tokens, entry] {
      OnSubmit(agent, item, tokens, entry);
    });
  }
  void Apply(int entry, const routing::withdraw_attempt& action) {
    agent_state& agent = *agents_[agent_index_.at(action.endpoint)];
    const core::attempt_id attempt = action.attempt;
    events_.After(LinkDelay(agent, entry), [this, &agent, attempt] {
      if (!agent.attempts.contains(attempt)) return;
      auto actions = agent.scheduler->OnWithdraw(attempt, events_.Now());
      agent.attempts.erase(attempt);
      Execute(agent, actions);
    });
  }
  void Apply(int /*entry*/, const routing::select_attempt& action) {
    const job_state& state = jobs_.at(action.request);
    ClassOf(*state.work).first_chunk_ms.push_back(ElapsedMs(state.submitted));
  }
  void Apply(int /*entry*/, const routing::complete_request& action) {
    const job_state& state = jobs_.at(action.request);
    class_result& result = ClassOf(*state.work);
    const double ms = ElapsedMs(state.submitted);
    ++result.completed;
    if (ms <= static_cast<double>(state.work->deadline.count())) {
      ++result.within_deadline;
    }
    AddLatency(result, state, ms);
    result.longest_ms = std::max(result.longest_ms, ms);
    const double second =
        ElapsedMs(core::time_point(core::seconds(1))) / 1000.0;
    if (second >= 5.0 && second < 20.0) result_.throughput += 1.0 / 15.0;
    CloseRequest(action.request);
  }
  void Apply(int /*entry*/, const routing::fail_request& action) {
    class_result& result = ClassOf(*jobs_.at(action.request).work);
    const bool not_run = action.outcome == core::outcome::not_run;
    ++(not_run ? result.refused : result.lost);
    ++result_.failures[action.reason];
    // The latency of a failed request is at least its deadline, so failing
    // early does not improve the quantiles.
    const job_state& state = jobs_.at(action.request);
    AddLatency(result, state,
               std::max(ElapsedMs(state.submitted),
                        static_cast<double>(state.work->deadline.count())));
    CloseRequest(action.request);
  }
  void Apply(int /*entry*/, const routing::suspect_link& /*action*/) {}

  void AddLatency(class_result& result, const job_state& state, double ms) {
    result.latencies_ms.push_back(ms);
    const std::chrono::duration<double> since_start = state.work->at;
    const double at = since_start.count();
    const bool observed = at >= options_.observed_from_seconds &&
                          at < options_.observed_to_seconds;
    if (observed) result.observed_ms.push_back(ms);
  }
  void CloseRequest(const core::request_id& request) {
    jobs_.erase(request);
    --open_requests_;
  }
  double ElapsedMs(core::time_point time) const {
    const std::chrono::duration<double, std::milli> elapsed =
        events_.Now() - time;
    return elapsed.count();
  }

  // Agents.

  wire::endpoint_report ReportOf(const agent_state& agent,
                                 const core::adapter_reference& adapter) const {
    wire::endpoint_report report =
        agent.scheduler->Report(adapter, events_.Now());
    report.endpoint_up = true;
    return report;
  }

  /** Passes an event to the router of an entry after the link delay. */
  template <class Event>
  void SendToEntry(agent_state& agent, int entry, Event event) {
    events_.After(LinkDelay(agent, entry), [this, entry, event] {
      Execute(entry, event(*entries_[entry].lifecycle, events_.Now()));
    });
  }
  /** As `SendToEntry`; the entry reads the message's endpoint report first. */
  template <class Message, class Event>
  void SendReport(agent_state& agent, int entry, const Message& message,
                  Event event) {
    agent_state* state = &agent;
    SendToEntry(agent, entry, [=, this](auto& lifecycle, auto now) {
      entries_[entry].directory->OnReport(state->endpoint, message.report, now);
      return event(lifecycle, now);
    });
  }

  void OnSubmit(agent_state& agent, const admission::work_item& item,
                std::int64_t tokens, int entry) {
    agent.attempts[item.attempt] = {item.adapter, tokens, entry};
    auto actions = agent.scheduler->OnSubmit(item, events_.Now());
    wire::accepted message;
    message.attempt = item.attempt;
    message.report = ReportOf(agent, item.adapter);
    SendReport(agent, entry, message, [message](auto& lifecycle, auto now) {
      return lifecycle.OnAccepted(message.attempt, message.report, now);
    });
    Execute(agent, actions);
  }

  void OnEnded(agent_state& agent, const core::attempt_id& attempt,
               core::token_count tokens) {
    auto actions = agent.scheduler->OnEnded(attempt, tokens, events_.Now());
    const auto found = agent.attempts.find(attempt);
    if (found != agent.attempts.end()) {
      wire::finished message;
      message.attempt = attempt;
      message.tokens = tokens;
      message.adapter = found->second.adapter;
      message.report = ReportOf(agent, message.adapter);
      SendReport(agent, found->second.entry, message,
                 [message](auto& lifecycle, auto now) {
                   return lifecycle.OnFinished(message, now);
                 });
      agent.attempts.erase(found);
    }
    Execute(agent, actions);
  }

  void Execute(agent_state& agent,
               const std::vector<admission::scheduler_action>& actions) {
    for (const admission::scheduler_action& action : actions) {
      std::visit([&](const auto& typed) { Apply(agent, typed); }, action);
    }
  }
  void Apply(agent_state& agent, const admission::start_load& action) {
    const core::adapter_reference adapter = action.adapter;
    agent_state* state = &agent;
    store_.Load([this, state, adapter](core::milliseconds load_time) {
      Execute(*state,
              state->scheduler->OnLoadDone(adapter, load_time, events_.Now()));
    });
  }
  void Apply(agent_state& agent, const admission::dispatch& action) {
    const auto found = agent.attempts.find(action.attempt);
    const std::int64_t tokens =
        found == agent.attempts.end() ? 1 : found->second.tokens;
    agent.engine->Start(action.attempt, {tokens}, action.resume_from);
  }
  void Apply(agent_state& agent, const admission::preempt& action) {
    agent.engine->Cancel(action.attempt);
  }
  void Apply(agent_state& agent, const admission::cancel_running& action) {
    agent.engine->Cancel(action.attempt);
  }
  void Apply(agent_state& agent, const admission::refuse& action) {
    const auto found = agent.attempts.find(action.attempt);
    if (found == agent.attempts.end()) return;
    wire::refused message;
    message.attempt = action.attempt;
    message.outcome =
        action.ran_before ? core::outcome::incomplete : core::outcome::not_run;
    message.reason = action.reason;
    message.retry_after = action.retry_after;
    message.report = ReportOf(agent, found->second.adapter);
    SendReport(agent, found->second.entry, message,
               [message](auto& lifecycle, auto now) {
                 return lifecycle.OnRefused(message, now);
               });
    agent.attempts.erase(found);
  }
  void Apply(agent_state& /*agent*/,
             const admission::confirm_withdrawn& /*action*/) {}

  // Results.

  void SampleBatchFill() {
    for (const auto& agent : agents_) {
      if (agent->engine->Running() + agent->scheduler->Waiting() == 0) continue;
      fill_sum_ += static_cast<double>(agent->engine->Running()) /
                   static_cast<double>(fake_engine::kBatchLimit);
      ++fill_samples_;
    }
  }

  void Collect(core::time_point start) {
    result_.seconds = ElapsedMs(start) / 1000.0;
    result_.loads = store_.Loads();
    for (const auto& agent : agents_) {
      const admission::scheduler_counters& counters =
          agent->scheduler->Counters();
      result_.load_stalls += counters.load_stalls;
      result_.dispatched += counters.dispatched;
      result_.preempted += counters.preempted;
    }
    for (const entry_state& entry : entries_) {
      result_.hedges += entry.lifecycle->Counters().hedges;
      result_.retries += entry.lifecycle->Counters().retries;
    }
    // Requests still open at the end of the run count as lost.
    for (const auto& [request, state] : jobs_) ++ClassOf(*state.work).lost;
    if (fill_samples_ > 0) {
      result_.batch_fill = fill_sum_ / static_cast<double>(fill_samples_);
    }
  }

  fleet_options options_;
  event_queue events_;
  weight_store store_;
  std::shared_ptr<const config::configuration> configuration_;
  std::vector<std::unique_ptr<agent_state>> agents_;
  std::unordered_map<core::endpoint_id, std::size_t> agent_index_;
  std::vector<entry_state> entries_;
  std::unordered_map<core::request_id, job_state> jobs_;
  std::size_t open_requests_ = 0;
  double fill_sum_ = 0.0;
  std::uint64_t fill_samples_ = 0;
  run_result result_;
};

}  // namespace comfreyspring::bench
