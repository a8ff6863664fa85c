#include "trace/replayer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "trace/recording_directory.h"
#include "trace/recording_router.h"
#include "trace/recording_scheduler.h"

namespace comfreyspring::trace {
namespace {

constexpr std::size_t kNoLimit = 1000000;

core::time_point At(std::int64_t ms) {
  return core::time_point(core::milliseconds(5000 + ms));
}

replay_result Replay(const std::string& text) {
  std::istringstream in(text);
  return ReplayTrace(in);
}

/** A router with three engines and one service, driven by random events. */
class router_recording {
 public:
  explicit router_recording(std::size_t limit = kNoLimit)
      : writer_(out_, limit),
        directory_(core::milliseconds(3000)),
        recorder_(directory_, &writer_),
        router_({.random_seed = 7}, directory_, &writer_, At(0)) {
    auto set = std::make_shared<config::configuration>();
    set->version.generation = 1;
    for (const char* name : {"e1", "e2", "e3", "desk"}) {
      config::endpoint_record record;
      record.endpoint = core::endpoint_id(name);
      const bool engine = std::string(name) != "desk";
      record.kind = engine ? core::endpoint_kind::engine
                           : core::endpoint_kind::plain_service;
      if (engine) record.model = core::model_id("base");
      if (!engine) record.service = core::service_id("orders");
      set->endpoints.push_back(record);
    }
    recorder_.OnConfiguration(set);
    for (const config::endpoint_record& record : set->endpoints) {
      wire::hello message;
      message.instance_ms = 1;
      message.report = {.batch_limit = 4, .endpoint_up = true};
      recorder_.OnHello(record.endpoint, message, At(0));
    }
  }

  void Step(int kind, std::size_t index) {
    now_ += 13;
    switch (kind) {
      case 0:
        return Request(index);
      case 1:
        return HandleActions(router_.OnTick(At(now_)));
      case 2:
        return HandleActions(router_.OnFirstChunk(Attempt(index), At(now_)));
      case 3:
        return Finish(index);
      case 4:
        return Refuse(index);
      case 5:
        return HandleActions(
            router_.OnEndpointLost(core::endpoint_id("e1"), At(now_)));
      case 6:
        return recorder_.OnLinkLost(core::endpoint_id("e2"), At(now_));
      case 7:
        return recorder_.OnPause(At(now_));
      case 8:
        return recorder_.OnReport(
            core::endpoint_id("e" + std::to_string(index % 3 + 1)),
            {.batch_limit = 4, .endpoint_up = true}, At(now_));
      default:
        return HandleActions(router_.OnNotSent(Attempt(index), At(now_)));
    }
  }

  std::string Text() const { return out_.str(); }

 private:
  void Request(std::size_t index) {
    routing::request_attributes attributes;
    attributes.request = core::request_id("r" + std::to_string(++requests_));
    attributes.deadline = At(now_ + 400);
    attributes.model = core::model_id("base");
    attributes.adapter = {core::adapter_id("a" + std::to_string(index % 3)),
                          core::version_id("v1")};
    if (index % 5 == 0) {
      attributes.kind = core::request_kind::service_call;
      attributes.idempotent = false;
      attributes.home = core::endpoint_id("desk");
    }
    HandleActions(router_.OnRequest(attributes, At(now_)));
  }
  void Finish(std::size_t index) {
    wire::finished message;
    message.attempt = Attempt(index);
    message.tokens = {12};
    message.report = {.batch_limit = 4, .endpoint_up = true};
    HandleActions(router_.OnFinished(message, At(now_)));
  }
  void Refuse(std::size_t index) {
    wire::refused message;
    message.attempt = Attempt(index);
    message.reason = "queue full";
    message.report = {.expected_wait = core::milliseconds(50)};
    HandleActions(router_.OnRefused(message, At(now_)));
  }
  core::attempt_id Attempt(std::size_t index) const {
    if (attempts_.empty()) return core::attempt_id("none");
    return attempts_[index % attempts_.size()];
  }
  void HandleActions(const std::vector<routing::router_action>& actions) {
    for (const auto& action : actions) {
      if (const auto* sent = std::get_if<routing::submit_attempt>(&action)) {
        attempts_.push_back(sent->attempt);
      }
    }
  }

  std::ostringstream out_;
  trace_writer writer_;
  membership::endpoint_directory directory_;
  recording_directory recorder_;
  recording_router router_;
  std::int64_t now_ = 0;
  int requests_ = 0;
  std::vector<core::attempt_id> attempts_;
};

/** A scheduler whose engine replies after a random number of other events. */
class scheduler_recording {
 public:
  scheduler_recording()
      : writer_(out_, kNoLimit),
        scheduler_({.started_at = At(0), .random_seed = 3}, &writer_) {
    HandleActions(scheduler_.OnEngineState({2, 2}, {}, At(0)));
  }

  void Step(int kind, std::size_t index) {
    now_ += 17;
    if (kind <= 1) {
      Submit(index);
    } else if (kind == 2) {
      HandleActions(scheduler_.OnTick(At(now_)));
    } else if (kind <= 4 && !loads_.empty()) {
      const core::adapter_reference adapter = loads_.back();
      loads_.pop_back();
      HandleActions(kind == 3 ? scheduler_.OnLoadDone(
                                    adapter, core::milliseconds(250), At(now_))
                              : scheduler_.OnLoadFailed(adapter, At(now_)));
    } else if (kind <= 6 && !running_.empty()) {
      const core::attempt_id attempt = running_.back();
      running_.pop_back();
      HandleActions(
          kind == 5 ? scheduler_.OnEnded(attempt, {40}, At(now_))
                    : scheduler_.OnCancelConfirmed(attempt, {10}, At(now_)));
    } else if (kind == 7) {
      HandleActions(scheduler_.OnWithdraw(
          core::attempt_id("t" + std::to_string(index % (submits_ + 1))),
          At(now_)));
    } else {
      HandleActions(scheduler_.SetEnabled(index % 2 == 0, At(now_)));
    }
  }

  std::string Text() const { return out_.str(); }

 private:
  void Submit(std::size_t index) {
    admission::work_item work;
    work.attempt = core::attempt_id("t" + std::to_string(++submits_));
    work.adapter = {core::adapter_id("a" + std::to_string(index % 4)),
                    core::version_id("v1")};
    work.expected_tokens = {index % 3 == 0 ? 9000 : 30};
    if (index % 2 == 0) work.priority = core::priority_class::may_wait;
    work.deadline = At(now_ + 3000);
    HandleActions(scheduler_.OnSubmit(work, At(now_)));
  }
  void HandleActions(const std::vector<admission::scheduler_action>& actions) {
    for (const auto& action : actions) {
      if (const auto* sent = std::get_if<admission::dispatch>(&action)) {
        running_.push_back(sent->attempt);
      } else if (const auto* load =
                     std::get_if<admission::start_load>(&action)) {
        loads_.push_back(load->adapter);
      }
    }
  }

  std::ostringstream out_;
  trace_writer writer_;
  recording_scheduler scheduler_;
  std::int64_t now_ = 0;
  std::size_t submits_ = 0;
  std::vector<core::attempt_id> running_;
  std::vector<core::adapter_reference> loads_;
};

template <class Recording>
std::string RecordRandom(int kinds) {
  Recording recording;
  const auto count = *rc::gen::inRange(1, 80);
  for (int i = 0; i < count; ++i) {
    const int kind = *rc::gen::inRange(0, kinds);
    recording.Step(kind, *rc::gen::inRange<std::size_t>(0, 50));
  }
  return recording.Text();
}

void CheckReplays(const std::string& text) {
  const replay_result result = Replay(text);
  RC_LOG() << text;
  for (const replay_mismatch& mismatch : result.mismatches) {
    RC_LOG() << mismatch.line << ": " << mismatch.message;
  }
  RC_ASSERT(result.mismatches.empty());
  const bool some_action = text.find("action.") != std::string::npos;
  RC_TAG(some_action);
}

// An input missing from the recorded events makes a replay diverge.
RC_GTEST_PROP(Replayer, RecordedRouterReplaysExactly, ()) {
  CheckReplays(RecordRandom<router_recording>(10));
}

RC_GTEST_PROP(Replayer, RecordedSchedulerReplaysExactly, ()) {
  CheckReplays(RecordRandom<scheduler_recording>(9));
}

std::string RecordOneRequest() {
  router_recording recording;
  recording.Step(0, 1);
  recording.Step(3, 0);
  return recording.Text();
}

std::size_t LineOf(const std::string& text, const std::string& part) {
  const auto end = text.begin() + static_cast<std::ptrdiff_t>(text.find(part));
  return static_cast<std::size_t>(std::count(text.begin(), end, '\n')) + 1;
}

TEST(Replayer, ReportsChangedActionAtItsLine) {
  std::string text = RecordOneRequest();
  const std::string action = "action.submit request=r1 attempt=r1.1";
  const std::size_t at = text.find(action);
  ASSERT_NE(at, std::string::npos);
  text.replace(at, action.size(), "action.submit request=r1 attempt=r1.2");
  const replay_result result = Replay(text);
  ASSERT_EQ(result.mismatches.size(), 1u);
  EXPECT_EQ(result.mismatches[0].line, LineOf(text, "action.submit"));
}

TEST(Replayer, ReportsMissingActionAtItsEvent) {
  std::string text = RecordOneRequest();
  const std::size_t begin = text.rfind('\n', text.find("action.submit")) + 1;
  text.erase(begin, text.find('\n', begin) + 1 - begin);
  const replay_result result = Replay(text);
  ASSERT_EQ(result.mismatches.size(), 1u);
  EXPECT_EQ(result.mismatches[0].line, LineOf(text, " request request=r1"));
}

TEST(Replayer, ExpectOutcomesIgnoresActions) {
  std::string text = RecordOneRequest();
  text.insert(text.find('\n'), " expect=outcomes");
  const std::size_t begin = text.rfind('\n', text.find("action.submit")) + 1;
  text.erase(begin, text.find('\n', begin) + 1 - begin);
  EXPECT_TRUE(Replay(text).mismatches.empty());
}

TEST(Replayer, OutcomesAreChecked) {
  const std::string text = RecordOneRequest();
  const auto holds = [&text](const std::string& outcome) {
    const std::string full_text = text + "outcome " + outcome + "\n";
    const replay_result result = Replay(full_text);
    EXPECT_EQ(result.outcomes, 1u);
    if (!result.mismatches.empty()) {
      EXPECT_EQ(result.mismatches[0].line, LineOf(full_text, "outcome "));
    }
    return result.mismatches.empty();
  };
  EXPECT_TRUE(holds("request=r1 result=completed"));
  EXPECT_FALSE(holds("request=r1 result=completed endpoint=desk"));
  EXPECT_FALSE(holds("request=r1 result=failed"));
  EXPECT_FALSE(holds("request=r2 result=completed"));
  EXPECT_TRUE(holds("attempts request=r1 max=1"));
  EXPECT_FALSE(holds("attempts request=r1 max=0"));
  EXPECT_TRUE(holds("endpoint=desk no_submit"));
}

TEST(Replayer, SchedulerOutcomesAreChecked) {
  const std::string text =
      "comfreyspring_trace version=1 subject=scheduler expect=outcomes\n"
      "0 options started_us=0\n"
      "0 engine_state adapter_slots=1 batch_limit=1 resident=a@v\n"
      "1 submit attempt=t1 deadline_us=9000000 adapter=a@v\n"
      "2 submit attempt=t2 deadline_us=9000000 adapter=a@v\n"
      "3 submit attempt=t3 deadline_us=9000000 adapter=b@v\n"
      "4 ended attempt=t1 produced=1\n"
      "5 ended attempt=t2 produced=1\n"
      "6 tick\n"
      "9000001 tick\n";
  const auto holds = [&text](const std::string& outcome) {
    return Replay(text + "outcome " + outcome + "\n").mismatches.empty();
  };
  EXPECT_TRUE(holds("attempt=t1 result=dispatched max=1"));
  EXPECT_FALSE(holds("attempt=t1 result=refused"));
  EXPECT_TRUE(holds("attempt=t1 dispatched_before=t2"));
  EXPECT_FALSE(holds("attempt=t2 dispatched_before=t1"));
  EXPECT_FALSE(holds("attempt=t3 result=dispatched"));
  EXPECT_TRUE(holds("attempt=t3 result=refused outcome=not_run"));
  EXPECT_FALSE(holds("attempt=t3 result=refused outcome=incomplete"));
  EXPECT_FALSE(holds("attempt=t3 result=refused reason=other"));
  EXPECT_FALSE(holds("adapter=a@v never_evicted"));
  EXPECT_TRUE(holds("adapter=b@v never_evicted"));
  EXPECT_TRUE(holds("adapter=b@v loads max=1"));
  EXPECT_FALSE(holds("adapter=b@v loads max=0"));
}

// A recording left enabled must not fill the log.
TEST(TraceWriter, StopsAtItsLimit) {
  router_recording recording(12);
  for (int i = 0; i < 100; ++i) recording.Step(1, 0);
  const std::string text = recording.Text();
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 14);
  EXPECT_NE(text.find(" end reason=limit\n"), std::string::npos);
  EXPECT_TRUE(Replay(text).mismatches.empty());
}

TEST(TraceWriter, FileThatCannotBeOpenedIsAnError) {
  EXPECT_EQ(OpenTrace("", 10), nullptr);
  EXPECT_THROW(OpenTrace("/no/such/folder/file", 10), core::error);
}

}  // namespace
}  // namespace comfreyspring::trace
