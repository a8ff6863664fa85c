#include "grants/grant_scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "grants/fencing_counter.h"

namespace comfreyspring::grants {
namespace {

using core::milliseconds;

catalog::adapter_name Name(const std::string& adapter) {
  return {core::model_id("m"), core::adapter_id(adapter)};
}

/** Simulates one engine that executes orders and runs granted requests. */
class engine_model {
 public:
  explicit engine_model(engine_config config) : config_(std::move(config)) {
    scheduler.SetConfig(config_);
  }

  // Requests.

  request_key Submit(const std::string& adapter, int priority = 0,
                     milliseconds due_in = milliseconds(600),
                     milliseconds deadline_in = milliseconds(1700),
                     std::int64_t tokens = 800,
                     milliseconds maximum_retry_after = milliseconds(4000)) {
    const request_key key{1, ++last_number_};
    requested_at[key] = now;
    tokens_[key] = tokens;
    Apply(scheduler.OnRequest({.key = key,
                               .adapter = Name(adapter),
                               .priority = priority,
                               .prompt_tokens = tokens,
                               .output_tokens = 300,
                               .event_gap_target = milliseconds(300),
                               .first_output_due = now + due_in,
                               .deadline = now + deadline_in,
                               .maximum_retry_after = maximum_retry_after},
                              now));
    return key;
  }
  bool IsGranted(const request_key& key) const {
    return granted.count(key) > 0;
  }
  bool IsRefused(const request_key& key) const {
    return refused.count(key) > 0;
  }

  // Time.

  void Run(milliseconds length) {
    const auto end = now + length;
    while (now < end) {
      now += milliseconds(10);
      FinishLoads();
      StartAndEndRuns();
      if (reports) Report();
      Apply(scheduler.OnTick(now));
    }
  }
  void Report() {
    engine_state state;
    state.started_unix_ms = started;
    state.orders_accepted = orders_accepted;
    if (has_model) {
      state.models.push_back({core::model_id("m"), {}});
      for (const auto& name : held) {
        state.models[0].adapters.push_back({name.adapter, 1});
      }
    }
    for (const auto& [name, at] : loading) state.loading.push_back(name);
    Apply(scheduler.OnState(state, now, now));
  }
  void Restart() {
    ++started;
    orders_accepted = 0;
    has_model = false;
    held.clear();
    loading.clear();
  }

  core::time_point now{std::chrono::seconds(100)};
  grant_scheduler scheduler{{}};
  milliseconds load_time{250};
  milliseconds run_time{1000};
  bool reports = true;
  bool has_model = true;
  std::int64_t started = 1;
  std::int64_t orders_accepted = 0;
  std::vector<catalog::adapter_name> held;
  std::map<catalog::adapter_name, core::time_point> loading;
  std::map<request_key, core::time_point> granted;
  std::map<request_key, core::time_point> requested_at;
  std::map<request_key, refusal> refused;
  std::vector<engine_order> orders;
  std::map<request_key, milliseconds> load_waits;
  /** Prompt tokens per millisecond; 0: each prompt takes 60 ms. */
  std::int64_t prefill_rate = 0;
  std::int64_t pending_tokens = 0;
  std::int64_t maximum_pending_tokens = 0;
  std::size_t maximum_held = 0;
  bool evicted_in_use = false;

 private:
  struct run {
    core::time_point since;
    core::time_point starts_at;
    std::int64_t tokens = 0;
    bool started = false;
  };

  /** If a prefill rate is set, prompts are prefilled one after the other. */
  void Begin(const request_key& key) {
    run begun{.since = now, .tokens = tokens_.at(key)};
    begun.starts_at = now + milliseconds(60);
    if (prefill_rate > 0) {
      prefill_until_ = std::max(prefill_until_, now) +
                       milliseconds(begun.tokens / prefill_rate);
      begun.starts_at = prefill_until_;
    }
    pending_tokens += begun.tokens;
    maximum_pending_tokens = std::max(maximum_pending_tokens, pending_tokens);
    runs_[key] = begun;
  }

  void Apply(const grant_scheduler::actions& actions) {
    for (const grant_action& action : actions) {
      if (const auto* given = std::get_if<grant>(&action)) {
        granted[given->key] = now;
        load_waits[given->key] = given->waited_for_load;
        Begin(given->key);
      } else if (const auto* denied = std::get_if<refusal>(&action)) {
        refused[denied->key] = *denied;
      } else {
        Execute(std::get<engine_order>(action));
      }
    }
  }

  void Execute(const engine_order& order) {
    orders.push_back(order);
    ++orders_accepted;
    const bool loads = order.what == engine_order::kind::load;
    if (loads && order.subject.adapter.empty()) {
      has_model = true;
    } else if (loads) {
      loading[order.subject] = now + load_time;
    } else {
      std::erase(held, order.subject);
    }
    maximum_held = std::max(maximum_held, held.size() + loading.size());
    Apply(scheduler.OnOrderEnded(
        order, loads ? order_result::accepted : order_result::done, now));
  }

  void FinishLoads() {
    for (auto entry = loading.begin(); entry != loading.end();) {
      if (entry->second > now) {
        ++entry;
        continue;
      }
      held.push_back(entry->first);
      entry = loading.erase(entry);
    }
  }

  void StartAndEndRuns() {
    std::vector<request_key> ended;
    for (auto& [key, running] : runs_) {
      if (!running.started && now >= running.starts_at) {
        running.started = true;
        pending_tokens -= running.tokens;
        Apply(scheduler.OnStarted(key, now));
      }
      if (now - running.since >= run_time) ended.push_back(key);
    }
    for (const request_key& key : ended) {
      runs_.erase(key);
      Apply(scheduler.OnEnded(key, false, now));
    }
  }

  engine_config config_;
  std::map<request_key, run> runs_;
  std::map<request_key, std::int64_t> tokens_;
  core::time_point prefill_until_;
  std::uint64_t last_number_ = 0;
};

engine_config Config(std::size_t slots = 64, std::size_t adapters = 4) {
  return {.batch_slots = slots,
          .adapter_slots = adapters,
          .models = {core::model_id("m")}};
}

TEST(grant_scheduler_test, GrantsLoadedAdaptersImmediately) {
  engine_model engine(Config());
  engine.held = {Name("a1")};
  engine.Report();
  EXPECT_TRUE(engine.IsGranted(engine.Submit("a1")));
}

// Guards against a long answer that starts on a slow engine and is broken off
// at its deadline. What may still end in time, or is not to be refused, runs.
TEST(grant_scheduler_test, RefusesAnswersThatCannotEndInTime) {
  core::time_point now{std::chrono::seconds(100)};
  grant_scheduler scheduler{{}};
  scheduler.SetConfig(Config());
  scheduler.OnState(
      {.started_unix_ms = 1, .models = {{core::model_id("m"), {}}}}, now, now);
  std::uint64_t number = 0;
  const auto submit = [&](std::int64_t tokens, milliseconds due_in) {
    engine_request request{.key = {1, ++number},
                           .adapter = {core::model_id("m"), core::adapter_id()},
                           .prompt_tokens = 800,
                           .output_tokens = tokens,
                           .first_output_due = now + milliseconds(800),
                           .deadline = now + milliseconds(1700)};
    if (due_in.count() > 0) request.answer_due = now + due_in;
    const auto actions = scheduler.OnRequest(request, now);
    const auto* denied = std::get_if<refusal>(&actions.at(0));
    return denied == nullptr ? "granted" : ToString(denied->reason);
  };
  const auto end = [&](std::int64_t tokens, milliseconds took) {
    scheduler.OnStarted({1, number}, now);
    now += took;
    scheduler.OnState(
        {.started_unix_ms = 1, .models = {{core::model_id("m"), {}}}}, now,
        now);
    scheduler.OnEnded({1, number}, false, now, tokens);
  };
  EXPECT_EQ(submit(90000, milliseconds(12000)), "granted");
  end(300, milliseconds(3000));
  for (int i = 0; i < 40; ++i) {
    EXPECT_EQ(submit(300, milliseconds(12000)), "granted");
    end(300, milliseconds(3000));
  }
  EXPECT_EQ(scheduler.Status(now).token_time, milliseconds(10));
  EXPECT_EQ(submit(1800, milliseconds(12000)), "cannot_finish");
  EXPECT_EQ(submit(1800, milliseconds(0)), "granted");
  end(300, milliseconds(3000));
  EXPECT_EQ(submit(1600, milliseconds(12000)), "granted");
}

TEST(grant_scheduler_test, LoadsRequestedAdapters) {
  engine_model engine(Config());
  engine.Report();
  const auto key = engine.Submit("a7");
  EXPECT_FALSE(engine.IsGranted(key));
  engine.Run(milliseconds(300));
  EXPECT_TRUE(engine.IsGranted(key));
}

// Demand for more adapters than there are slots: orders must not exceed the
// slots, and no adapter may be unloaded while a request uses it.
TEST(grant_scheduler_test, NeverExceedsAdapterSlots) {
  engine_model engine(Config(64, 3));
  engine.Report();
  std::vector<request_key> keys;
  for (int i = 0; i < 12; ++i) {
    keys.push_back(engine.Submit("a" + std::to_string(i), 0, milliseconds(600),
                                 milliseconds(9000)));
    engine.Run(milliseconds(50));
  }
  engine.Run(milliseconds(9000));
  EXPECT_LE(engine.maximum_held, 3U);
  for (const request_key& key : keys) EXPECT_TRUE(engine.IsGranted(key));
}

// Demand shifts to other adapters five times: requests are served before their
// deadline, with one load for many requests.
TEST(grant_scheduler_test, FollowsShiftingDemand) {
  engine_model engine(Config(64, 4));
  engine.run_time = milliseconds(400);
  engine.Report();
  std::vector<request_key> keys;
  for (int shift = 0; shift < 5; ++shift) {
    for (int i = 0; i < 40; ++i) {
      // Short prompts, so that prefill is not the bottleneck.
      keys.push_back(engine.Submit("a" + std::to_string(shift * 4 + i % 4), 0,
                                   milliseconds(600), milliseconds(1700), 200));
      engine.Run(milliseconds(40));
    }
  }
  engine.Run(milliseconds(2000));
  std::size_t served = 0;
  for (const request_key& key : keys) served += engine.IsGranted(key) ? 1 : 0;
  EXPECT_GE(served * 100, keys.size() * 98);
  const auto loads =
      std::count_if(engine.orders.begin(), engine.orders.end(),
                    [](const engine_order& order) {
                      return order.what == engine_order::kind::load;
                    });
  EXPECT_LE(loads, 24);
}

// While the engine's streams are stalled, a new prompt would delay all of them.
// It is held, but not beyond its own first-output target.
TEST(grant_scheduler_test, HoldsPromptsWhileStreamsAreStalled) {
  engine_model engine(Config());
  engine.held = {Name("a1")};
  engine.Report();
  engine.Submit("a1");
  engine.Run(milliseconds(300));
  engine.scheduler.OnStreamsStalled(engine.now);
  const auto relaxed = engine.Submit("a1", 0, milliseconds(600));
  const auto pressing = engine.Submit("a1", 0, milliseconds(120));
  EXPECT_FALSE(engine.IsGranted(relaxed));
  engine.Run(milliseconds(20));
  EXPECT_TRUE(engine.IsGranted(pressing));
  EXPECT_FALSE(engine.IsGranted(relaxed));
  for (int i = 0; i < 100 && !engine.IsGranted(relaxed); ++i) {
    engine.scheduler.OnStreamsStalled(engine.now);
    engine.Run(milliseconds(10));
  }
  ASSERT_TRUE(engine.IsGranted(relaxed));
  EXPECT_LT(engine.granted.at(relaxed) - engine.requested_at.at(relaxed),
            milliseconds(600));
}

// More prompts than the engine can prefill: prefill never runs idle, and the
// pending prompts stay within a share of the event-gap target.
TEST(grant_scheduler_test, KeepsPrefillBusyUnderABurstOfPrompts) {
  engine_model engine(Config(64));
  engine.held = {Name("a1")};
  engine.prefill_rate = 30;
  engine.run_time = milliseconds(400);
  engine.Report();
  int submitted = 0;
  for (int i = 0; i < 240; ++i) {
    engine.Submit("a1", 0, milliseconds(600), milliseconds(9000), 900);
    ++submitted;
    engine.Run(milliseconds(20));
  }
  // 4.8 s of prefill at 30 ms per prompt.
  EXPECT_GE(engine.granted.size(), 144U);
  EXPECT_LE(engine.maximum_pending_tokens, 2700);
}

// Prompts that use half of the prefill rate start without delay.
TEST(grant_scheduler_test, DoesNotDelayPromptsBelowThePrefillRate) {
  engine_model engine(Config(64));
  engine.held = {Name("a1")};
  engine.prefill_rate = 30;
  engine.run_time = milliseconds(400);
  engine.Report();
  for (int i = 0; i < 100; ++i) {
    engine.Submit("a1", 0, milliseconds(600), milliseconds(1700), 900);
    engine.Run(milliseconds(60));
  }
  for (const auto& [key, at] : engine.granted) {
    EXPECT_LE(at - engine.requested_at.at(key), milliseconds(20));
  }
  EXPECT_EQ(engine.granted.size(), 100U);
}

// The log must distinguish the wait for an adapter load from the wait for the
// engine.
TEST(grant_scheduler_test, ReportsTheWaitForALoad) {
  engine_model engine(Config());
  engine.held = {Name("a1")};
  engine.Report();
  const auto loaded = engine.Submit("a2");
  engine.Run(milliseconds(400));
  const auto resident = engine.Submit("a1");
  engine.Run(milliseconds(100));
  ASSERT_TRUE(engine.IsGranted(loaded) && engine.IsGranted(resident));
  EXPECT_GE(engine.load_waits.at(loaded), engine.load_time);
  EXPECT_EQ(engine.load_waits.at(resident), milliseconds(0));
}

// Congested weight store: a load that serves many waiting requests goes before
// a load that serves a single older request.
TEST(grant_scheduler_test, LoadsTheMostWantedAdapterFirst) {
  engine_model engine(Config(64, 8));
  engine.load_time = milliseconds(600);
  engine.Report();
  engine.Submit("b0", 0, milliseconds(5000), milliseconds(9000), 200);
  engine.Submit("b1", 0, milliseconds(5000), milliseconds(9000), 200);
  engine.Run(milliseconds(700));
  const auto lone =
      engine.Submit("b2", 0, milliseconds(5000), milliseconds(9000), 200);
  engine.Submit("b3", 0, milliseconds(5000), milliseconds(9000), 200);
  engine.Run(milliseconds(20));
  const auto rare =
      engine.Submit("b4", 0, milliseconds(5000), milliseconds(9000), 200);
  std::vector<request_key> popular;
  for (int i = 0; i < 6; ++i) {
    popular.push_back(
        engine.Submit("a1", 0, milliseconds(5000), milliseconds(9000), 200));
  }
  engine.Run(milliseconds(4000));
  ASSERT_TRUE(engine.IsGranted(lone));
  ASSERT_TRUE(engine.IsGranted(rare));
  for (const request_key& key : popular) {
    ASSERT_TRUE(engine.IsGranted(key));
    EXPECT_LT(engine.granted.at(key), engine.granted.at(rare));
  }
}

// Demand returns to adapters that were just evicted and of which the engine
// still has a copy: their loads do not count as loads from the weight store and
// need not wait for these.
TEST(grant_scheduler_test, WarmLoadsDoNotCountAsColdLoads) {
  slot_table slots;
  slots.SetCapacity(1);
  core::time_point now{std::chrono::seconds(100)};
  const auto name = Name("a1");
  slots.OnLoadOrdered(name, now);
  EXPECT_EQ(slots.ColdLoading(), 1U);
  slots.OnOrderEnded({engine_order::kind::load, name, 0}, order_result::done,
                     now);
  slots.OnUnloadOrdered(name, now);
  slots.OnOrderEnded({engine_order::kind::unload, name, 0}, order_result::done,
                     now);
  EXPECT_TRUE(slots.IsWarm(name, now + milliseconds(1000)));
  slots.OnLoadOrdered(name, now + milliseconds(1000));
  EXPECT_EQ(slots.Loading(), 1U);
  EXPECT_EQ(slots.ColdLoading(), 0U);
  slots.Clear();
  EXPECT_FALSE(slots.IsWarm(name, now + milliseconds(1000)));
}

// Overload with requests of different priorities: the higher priority is served
// first, and requests that cannot start in time are refused immediately.
TEST(grant_scheduler_test, RefusesImmediatelyWhatWouldStartTooLate) {
  engine_model engine(Config(4, 4));
  engine.held = {Name("a1")};
  engine.Report();
  std::vector<request_key> less_urgent;
  std::vector<request_key> urgent;
  for (int i = 0; i < 20; ++i) {
    less_urgent.push_back(engine.Submit("a1", 2));
    urgent.push_back(engine.Submit("a1", 0));
    engine.Run(milliseconds(100));
  }
  engine.Run(milliseconds(3000));
  const auto served = [&](const std::vector<request_key>& keys) {
    return std::count_if(keys.begin(), keys.end(), [&](const request_key& key) {
      return engine.IsGranted(key);
    });
  };
  EXPECT_GT(served(urgent), served(less_urgent));
  std::size_t at_once = 0;
  for (const auto& [key, denied] : engine.refused) {
    EXPECT_GE(denied.retry_after, milliseconds(100));
    if (denied.reason == refusal_reason::wait_too_long) ++at_once;
  }
  EXPECT_GT(at_once * 2, engine.refused.size());
}

// Refused callers that retry at the suggested time have a reserved slot and are
// not refused a second time for a wait that is too long.
TEST(grant_scheduler_test, ReservesSlotsForRetries) {
  engine_model engine(Config(2, 4));
  engine.held = {Name("a1"), Name("a2")};
  engine.Report();
  std::vector<request_key> first;
  for (int i = 0; i < 12; ++i) first.push_back(engine.Submit("a1"));
  std::vector<milliseconds> due;
  for (const auto& [key, denied] : engine.refused) {
    due.push_back(denied.retry_after);
  }
  ASSERT_FALSE(due.empty());
  std::sort(due.begin(), due.end());
  std::vector<request_key> returned;
  milliseconds elapsed{0};
  for (const milliseconds each : due) {
    if (each > elapsed) {
      engine.Run(each - elapsed);
      elapsed = each;
    }
    returned.push_back(
        engine.Submit("a1", 0, milliseconds(600), milliseconds(1700)));
  }
  engine.Run(milliseconds(1700));
  for (const request_key& key : returned) {
    const auto denied = engine.refused.find(key);
    if (denied == engine.refused.end()) continue;
    EXPECT_NE(denied->second.reason, refusal_reason::wait_too_long);
  }
}

TEST(grant_scheduler_test, GrantsNothingBeforeTheFirstStateReport) {
  engine_model engine(Config());
  engine.held = {Name("a1")};
  const auto key = engine.Submit("a1");
  EXPECT_TRUE(engine.IsRefused(key));
  EXPECT_EQ(engine.refused.at(key).reason, refusal_reason::engine_down);
}

// A restarted engine has no model until it is ordered to load one.
TEST(grant_scheduler_test, LoadsTheModelOfARestartedEngine) {
  engine_model engine(Config());
  engine.held = {Name("a1")};
  engine.Report();
  engine.Restart();
  engine.Run(milliseconds(100));
  EXPECT_TRUE(engine.has_model);
  const auto key = engine.Submit("a1");
  engine.Run(milliseconds(400));
  EXPECT_TRUE(engine.IsGranted(key));
}

TEST(grant_scheduler_test, RefusesWaitingRequestsWhenTheEngineIsDown) {
  engine_model engine(Config());
  engine.Report();
  const auto key = engine.Submit("a1");
  EXPECT_FALSE(engine.IsRefused(key));
  engine.scheduler.OnEngineDown(engine.now);
  EXPECT_TRUE(engine.scheduler.Waiting() == 0);
}

TEST(grant_scheduler_test, DropsTheRequestsOfALostLink) {
  engine_model engine(Config());
  engine.held = {Name("a1")};
  engine.Report();
  engine.Submit("a1");
  engine.Submit("a2");
  EXPECT_EQ(engine.scheduler.Running(), 1U);
  EXPECT_EQ(engine.scheduler.Waiting(), 1U);
  engine.scheduler.OnLinkLost(1, engine.now);
  EXPECT_EQ(engine.scheduler.Running(), 0U);
  EXPECT_EQ(engine.scheduler.Waiting(), 0U);
}

// After the process was suspended, the known state of the engine may be
// outdated: no order is issued before the next state report.
TEST(grant_scheduler_test, IssuesNoOrderAfterASuspensionUntilTheEngineReports) {
  engine_model engine(Config());
  engine.Report();
  engine.reports = false;
  engine.scheduler.OnPaused(engine.now);
  engine.Submit("a1");
  engine.Run(milliseconds(100));
  EXPECT_TRUE(engine.orders.empty());
  engine.Report();
  EXPECT_FALSE(engine.orders.empty());
}

TEST(grant_scheduler_test, ReplacesOldVersionsBeforeAGrant) {
  engine_model engine(Config());
  engine.held = {Name("a1")};
  engine.Report();
  auto actions = engine.scheduler.OnRequest(
      {.key = {1, 99},
       .adapter = Name("a1"),
       .minimum_version = 2,
       .first_output_due = engine.now + milliseconds(600),
       .deadline = engine.now + milliseconds(1700)},
      engine.now);
  ASSERT_EQ(actions.size(), 1U);
  const auto* order = std::get_if<engine_order>(&actions[0]);
  ASSERT_NE(order, nullptr);
  EXPECT_EQ(order->version, 2);
}

// For any sequence of requests, each request is either granted or refused,
// grants come before the deadline, and the adapter slots are never exceeded.
RC_GTEST_PROP(grant_scheduler_property, EveryRequestIsEitherGrantedOrRefused,
              ()) {
  engine_model engine(Config(*rc::gen::inRange<std::size_t>(1, 9),
                             *rc::gen::inRange<std::size_t>(1, 5)));
  engine.run_time = milliseconds(*rc::gen::inRange(50, 1500));
  engine.Report();
  std::vector<request_key> keys;
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
  for (const int step : steps) {
    if (step >= 380) {
      engine.Restart();
    } else {
      keys.push_back(engine.Submit("a" + std::to_string(step % 9), step % 3));
    }
    engine.Run(milliseconds(step % 130));
  }
  engine.Run(milliseconds(2500));
  for (const request_key& key : keys) {
    RC_ASSERT(engine.IsGranted(key) != engine.IsRefused(key));
    if (engine.IsGranted(key)) {
      RC_ASSERT(engine.granted.at(key) - engine.requested_at.at(key) <=
                milliseconds(1720));
    }
  }
  RC_ASSERT(engine.maximum_held <= engine.scheduler.Slots().Capacity());
}

// The number exceeds that of the previous process even if the clock was set
// back between the two starts.
TEST(fencing_counter_test, RisesAboveThePreviousProcess) {
  const auto start = core::WallTimeFromUnix(1'000'000'000);
  fencing_counter before(start);
  fencing_counter after(start - core::seconds(30));
  int refusals = 0;
  while (after.Value() < before.Value()) {
    after.OnStale(start - core::seconds(30));
    ASSERT_LT(++refusals, 5);
  }
}

// All slots are in use, and refused callers retry before a slot can be free.
// Reservations and loads for them would take slots and weight store bandwidth
// from waiting requests.
TEST(grant_scheduler_test, EarlyRetriesGetNoReservations) {
  engine_model model({.batch_slots = 64,
                      .adapter_slots = 3,
                      .cache_tokens = 200'000,
                      .models = {core::model_id("m")}});
  model.run_time = milliseconds(2000);
  model.Run(milliseconds(100));
  std::vector<request_key> early;
  for (int round = 0; round < 6; ++round) {
    for (int i = 0; i < 3; ++i) model.Submit("hot" + std::to_string(i));
    for (int i = 0; i < 4; ++i) {
      early.push_back(model.Submit(
          "rare" + std::to_string(round) + std::to_string(i), 0,
          milliseconds(600), milliseconds(300), 800, milliseconds(400)));
    }
    model.Run(milliseconds(500));
  }
  model.Run(milliseconds(4000));
  int refused = 0;
  for (const request_key& key : early) {
    if (!model.IsRefused(key)) continue;
    ++refused;
    EXPECT_LE(model.refused.at(key).retry_after, milliseconds(400));
  }
  ASSERT_GT(refused, 12);
  const auto loads = std::count_if(
      model.orders.begin(), model.orders.end(), [](const engine_order& order) {
        return order.what == engine_order::kind::load &&
               order.subject.adapter.Value()[0] == 'r';
      });
  EXPECT_LE(loads, static_cast<std::ptrdiff_t>(early.size()) - refused);
}

}  // namespace
}  // namespace comfreyspring::grants
