#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "admission/basic_engine_scheduler.h"
#include "admission/engine_scheduler.h"
#include "admission/scheduler_model.h"

namespace comfreyspring::admission {
namespace {

using fifo_lru_scheduler =
    basic_engine_scheduler<fifo_order, adapters::lru_eviction>;

/** Uses the full range at once; rapidcheck starts with small values. */
template <class Value>
rc::Gen<Value> Below(Value low, Value high) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Value>(low, high));
}

/** One step of a random history; the meaning of `value` depends on `kind`. */
struct step {
  int kind = 0;
  std::size_t value = 0;
};

std::vector<step> ArbitrarySteps() {
  const auto one = rc::gen::build<step>(
      rc::gen::set(&step::kind, Below(0, 100)),
      rc::gen::set(&step::value, Below<std::size_t>(0, 1 << 16)));
  // Independent of rapidcheck's size, so that batches and slots fill up.
  const auto length = *Below<std::size_t>(1, 250);
  return *rc::gen::container<std::vector<step>>(length, one);
}

work_item ArbitraryWork(std::size_t value, std::size_t adapters,
                        core::time_point now) {
  const std::size_t tokens = value % 5 == 0 ? 2'000 : 20 + value % 60;
  work_item work = test::Work("", "a" + std::to_string(value / 7 % adapters),
                              static_cast<std::int64_t>(tokens));
  if (value % 3 == 0) work.priority = core::priority_class::may_wait;
  work.idempotent = value % 4 != 0;
  // Some deadlines are tight, which leads to refusals and preemptions.
  const std::size_t deadline_ms =
      value % 2 == 0 ? 200 + value % 2'000 : 900'000;
  work.deadline = now + core::milliseconds(deadline_ms);
  return work;
}

template <class Model>
void Take(Model& model, const step& taken, std::size_t adapters) {
  const int kind = taken.kind;
  const std::size_t value = taken.value;
  if (kind < 35) {
    model.Submit(ArbitraryWork(value, adapters, model.Now()));
  } else if (kind < 42) {
    model.Withdraw(value);
  } else if (kind < 46) {
    model.FirstOutput(value);
  } else if (kind < 60) {
    model.End(value);
  } else if (kind < 67) {
    model.ConfirmCancel(value);
  } else if (kind < 70) {
    model.AdapterMissing(value);
  } else if (kind < 80) {
    model.LoadDone(value, value % 3 == 0 ? 900 : 250);
  } else if (kind < 84) {
    model.LoadFailed(value);
  } else if (kind < 87) {
    model.EngineState(value, value % 2 == 0);
  } else if (kind < 88) {
    model.Restart();
  } else if (kind < 90) {
    model.SetEnabled(value % 2 == 0);
  } else {
    model.Tick(core::milliseconds(value % 700));
  }
}

/** Runs an engine without faults until every attempt has ended. */
template <class Model>
void RunToEnd(Model& model) {
  model.SetEnabled(true);
  model.EngineState(0, false);
  for (int round = 0; round < 20'000 && model.Open() > 0; ++round) {
    model.Tick(core::milliseconds(100));
    model.ConfirmCancel(0);
    model.End(static_cast<std::size_t>(round));
    model.LoadDone(0);
  }
  RC_ASSERT(model.Open() == 0U);
}

template <class Scheduler>
void CheckRandomHistory() {
  const auto slots = *Below<std::size_t>(0, 5);
  const auto batch = *Below<std::size_t>(1, 9);
  const auto adapters = *Below<std::size_t>(1, 10);
  const auto queue = *rc::gen::element<std::size_t>(3, 4096);
  test::scheduler_model<Scheduler> model(slots, batch, queue);
  for (const step& taken : ArbitrarySteps()) Take(model, taken, adapters);
  if (*Below(0, 4) == 0) model.Drain(core::milliseconds(2'000));
  RunToEnd(model);
}

// Guards against eviction of a pinned adapter, dispatch without a loaded
// adapter, more adapters than slots, a second run of work that may not be
// repeated, `not_run` for work that ran, and attempts that are answered twice
// or never. The model asserts each of them on every action.
RC_GTEST_PROP(EngineSchedulerProperties, MaintainsInvariants, ()) {
  CheckRandomHistory<engine_scheduler>();
}

// Checks the same invariants for a baseline, so that benchmarks compare
// schedulers fairly.
RC_GTEST_PROP(EngineSchedulerProperties, BaselineMaintainsInvariants, ()) {
  CheckRandomHistory<fifo_lru_scheduler>();
}

/**
 * Keeps the engine saturated with short urgent work for a few hot adapters,
 * submits one more item and returns the time until its dispatch.
 */
core::milliseconds WaitUnderLoad(const work_item& tracked_work,
                                 std::size_t slots, std::size_t batch,
                                 std::size_t hot) {
  test::scheduler_model<engine_scheduler> model(slots, batch);
  core::attempt_id tracked;
  std::size_t next = 0;
  for (int round = 0; round < 20'000; ++round) {
    model.Tick(core::milliseconds(20));
    if (round == 200) {
      work_item work = tracked_work;
      work.deadline = model.Now() + core::seconds(3'600);
      model.Submit(work);
      tracked = model.LastAttempt();
    }
    while (model.Subject().Waiting() < 2 * batch) {
      work_item work = test::Work("", "hot" + std::to_string(next++ % hot), 20);
      work.deadline = model.Now() + core::seconds(600);
      model.Submit(work);
    }
    for (const core::attempt_id& id : model.Running()) {
      const auto age = model.Now() - model.Get(id).dispatched;
      if (age >= core::milliseconds(200)) model.EndAttempt(id);
    }
    model.ConfirmCancel(0);
    if (round % 12 == 0) model.LoadDone(0);
    if (!tracked.empty() && model.Get(tracked).dispatched >= model.Now()) {
      return core::ToMilliseconds(model.Now() - model.Get(tracked).submitted);
    }
  }
  return core::milliseconds::max();
}

// Guards against starvation of long work, `may_wait` work or work for an
// adapter that is not loaded, while the engine is saturated with short urgent
// work for loaded adapters.
RC_GTEST_PROP(EngineSchedulerProperties, NothingStarves, ()) {
  const auto slots = *Below<std::size_t>(1, 5);
  const auto batch = *Below<std::size_t>(1, 9);
  const auto hot = *Below<std::size_t>(1, 6);
  const bool cold = *rc::gen::arbitrary<bool>();
  const bool long_work = *rc::gen::arbitrary<bool>();
  work_item tracked_work =
      test::Work("", cold ? "cold" : "hot0", long_work ? 1'000 : 20);
  if (*rc::gen::arbitrary<bool>()) tracked_work = test::MayWait(tracked_work);
  const auto wait = WaitUnderLoad(tracked_work, slots, batch, hot);
  // With a 5% share of a batch of 1, work of 1,000 tokens of 10 ms each waits
  // for 190 s.
  RC_ASSERT(wait < core::seconds(210));
}

}  // namespace
}  // namespace comfreyspring::admission
