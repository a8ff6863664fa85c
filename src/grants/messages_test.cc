#include "grants/messages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "core/error.h"

namespace comfreyspring::grants {
namespace {

using core::milliseconds;
using nlohmann::json;

catalog::adapter_name Adapter(const std::string& name) {
  return {core::model_id("m"), core::adapter_id(name)};
}

template <class Message>
Message RoundTrip(const Message& value) {
  return std::get<Message>(Decode(Encode(value)));
}

TEST(messages_test, RoundTripOfAGrantRequest) {
  grant_request request;
  request.number = 7;
  request.request_id = "r1";
  request.adapter = Adapter("a1");
  request.minimum_version = 3;
  request.priority = 2;
  request.prompt_tokens = 800;
  request.output_tokens = 60;
  request.event_gap_target = milliseconds(300);
  request.first_output_due_in = milliseconds(-40);
  request.deadline_in = milliseconds(900);
  request.maximum_retry_after = milliseconds(700);
  request.load_bound = 0.475;
  request.isolated = true;
  request.blamed_parts = {{core::prompt_part_id("p"), 2},
                          {core::prompt_part_id("q"), 0}};
  const grant_request decoded = RoundTrip(request);
  EXPECT_EQ(decoded.number, 7U);
  EXPECT_EQ(decoded.request_id, "r1");
  EXPECT_EQ(decoded.adapter, Adapter("a1"));
  EXPECT_EQ(decoded.minimum_version, 3);
  EXPECT_EQ(decoded.priority, 2);
  EXPECT_EQ(decoded.prompt_tokens, 800);
  EXPECT_EQ(decoded.output_tokens, 60);
  EXPECT_EQ(decoded.event_gap_target, milliseconds(300));
  EXPECT_EQ(decoded.first_output_due_in, milliseconds(-40));
  EXPECT_EQ(decoded.deadline_in, milliseconds(900));
  EXPECT_EQ(decoded.maximum_retry_after, milliseconds(700));
  EXPECT_DOUBLE_EQ(decoded.load_bound, 0.475);
  EXPECT_TRUE(decoded.isolated);
  EXPECT_EQ(decoded.blamed_parts, request.blamed_parts);
}

TEST(messages_test, RoundTripOfACrash) {
  const crash_notice notice{{.crash = {core::process_id("side-1"), 1700},
                             .age = milliseconds(250),
                             .parts = {{core::prompt_part_id("p"), 2, true},
                                       {core::prompt_part_id("q"), 0}}}};
  const auto decoded = RoundTrip(notice).record;
  EXPECT_EQ(decoded.crash, notice.record.crash);
  EXPECT_EQ(decoded.age, milliseconds(250));
  EXPECT_EQ(decoded.parts, notice.record.parts);
  const auto checked = RoundTrip(run_checked{8, true});
  EXPECT_EQ(checked.number, 8U);
  EXPECT_TRUE(checked.engine_ended);
  EXPECT_TRUE(RoundTrip(run_ended{7, false, true}).lost);
}

// During a rolling restart, frames of earlier versions lack the last fields.
TEST(messages_test, SpeedFieldsAreOptional) {
  const auto without_last = [](const message& value, std::size_t count) {
    const std::string frame = Encode(value);
    json fields = json::from_cbor(frame);
    fields.get_ref<json::array_t&>().resize(fields.size() - count);
    std::string shortened;
    json::to_cbor(fields, shortened);
    return Decode(shortened);
  };
  grant_request request;
  request.answer_due_in = milliseconds(11800);
  request.blamed_parts = {{core::prompt_part_id("p"), 2}};
  EXPECT_EQ(RoundTrip(request).answer_due_in, milliseconds(11800));
  const auto old_request = std::get<grant_request>(without_last(request, 1));
  EXPECT_EQ(old_request.answer_due_in, milliseconds(0));
  EXPECT_EQ(old_request.blamed_parts, request.blamed_parts);
  const run_ended ended{7, false, true, 287};
  EXPECT_EQ(RoundTrip(ended).output_tokens, 287);
  const auto old_ended = std::get<run_ended>(without_last(ended, 1));
  EXPECT_TRUE(old_ended.lost);
  EXPECT_EQ(old_ended.output_tokens, 0);
  status_report report;
  report.status.token_time = core::microseconds(8360);
  report.status.prefill_rate = 27.1;
  report.limits_observed = 4;
  EXPECT_EQ(RoundTrip(report).status.token_time.count(), 8360);
  EXPECT_DOUBLE_EQ(RoundTrip(report).status.prefill_rate, 27.1);
  const auto old_report = std::get<status_report>(without_last(report, 2));
  EXPECT_EQ(old_report.status.token_time.count(), 0);
  EXPECT_EQ(old_report.limits_observed, 4U);
  EXPECT_EQ(RoundTrip(grant_refused{1, refusal_reason::cannot_finish}).reason,
            refusal_reason::cannot_finish);
}

// Guards against a frame that exhausts the stack of its reader.
TEST(messages_test, RejectsDeeplyNestedFrames) {
  constexpr std::size_t kSize = 1'000'000;
  for (const char nesting : {'\x81', '\xa1', '\x9f', '\xbf', '\x7f', '\x5f'}) {
    EXPECT_THROW(Decode(std::string(kSize, nesting)),
                 core::invalid_value_error);
    EXPECT_THROW(Decode('\x81' + std::string(kSize, nesting)),
                 core::invalid_value_error);
  }
}

// A level that another process cannot have counted must not overflow here.
TEST(messages_test, RejectsLevelsOutOfRange) {
  for (const int level : {-1, 2'000'000'000}) {
    EXPECT_THROW(Decode(Encode(crash_notice{
                     {.parts = {{core::prompt_part_id("p"), level}}}})),
                 core::invalid_value_error);
  }
}

TEST(messages_test, RoundTripOfAStatusWithAndWithoutAdapters) {
  status_report report;
  report.status.serving = true;
  report.status.running = 11;
  report.status.adapters_revision = 5;
  report.status.adapters = {Adapter("a1"), Adapter("a2")};
  report.next_in = milliseconds(816);
  report.reader_rank = 4;
  EXPECT_TRUE(RoundTrip(report).status.adapters.empty());
  report.has_adapters = true;
  const status_report decoded = RoundTrip(report);
  EXPECT_EQ(decoded.status.adapters, report.status.adapters);
  EXPECT_EQ(decoded.status.running, 11U);
  EXPECT_EQ(decoded.next_in, milliseconds(816));
  EXPECT_EQ(decoded.reader_rank, 4U);
}

TEST(messages_test, RoundTripOfChangesOfAdapters) {
  status_report report;
  report.status.engine_started_unix_ms = 1767374709625;
  report.adapters_added = {Adapter("a3")};
  report.adapters_removed = {Adapter("a1"), Adapter("a2")};
  const status_report decoded = RoundTrip(report);
  EXPECT_FALSE(decoded.has_adapters);
  EXPECT_EQ(decoded.status.engine_started_unix_ms, 1767374709625);
  EXPECT_EQ(decoded.adapters_added, report.adapters_added);
  EXPECT_EQ(decoded.adapters_removed, report.adapters_removed);
}

TEST(messages_test, RoundTripOfALimit) {
  status_report report;
  report.has_adapters = true;
  report.status.adapters = {Adapter("a1")};
  report.status.limit = limits::request_rate(1.2);
  report.status.limit_wait = milliseconds(833);
  report.limits_observed = 4;
  const status_report status = RoundTrip(report);
  EXPECT_EQ(status.status.limit, limits::request_rate(1.2));
  EXPECT_EQ(status.status.limit_wait, milliseconds(833));
  EXPECT_EQ(status.limits_observed, 4U);

  limit_observed observed{
      .endpoint = {catalog::instance_id("i-1"), 1767374709625},
      .own_engine = true,
      .is_fallback = true,
      .number = 9,
      .rate = limits::request_rate(1e9),
      .age = milliseconds(40)};
  const limit_observed decoded = RoundTrip(observed);
  EXPECT_EQ(decoded.endpoint, observed.endpoint);
  EXPECT_TRUE(decoded.own_engine);
  EXPECT_TRUE(decoded.is_fallback);
  EXPECT_EQ(decoded.number, 9U);
  EXPECT_EQ(decoded.rate, limits::request_rate(1e9));
  EXPECT_EQ(decoded.age, milliseconds(40));
  observed.rate.reset();
  EXPECT_FALSE(RoundTrip(observed).rate);
}

TEST(messages_test, RoundTripOfAPermitRequest) {
  const permit_request request{
      .number = 12,
      .endpoint = {catalog::instance_id("i-1"), 1767374709625},
      .is_fallback = true,
      .rate = limits::request_rate(0.2),
      .priority = 3,
      .deadline_in = milliseconds(900),
      .maximum_retry_after = milliseconds(700)};
  const permit_request decoded = RoundTrip(request);
  EXPECT_EQ(decoded.number, 12U);
  EXPECT_EQ(decoded.endpoint, request.endpoint);
  EXPECT_TRUE(decoded.is_fallback);
  EXPECT_EQ(decoded.rate, request.rate);
  EXPECT_EQ(decoded.priority, 3);
  EXPECT_EQ(decoded.deadline_in, milliseconds(900));
  EXPECT_EQ(decoded.maximum_retry_after, milliseconds(700));
  limit_notice notice{request.endpoint, request.rate};
  EXPECT_EQ(RoundTrip(notice).rate, request.rate);
  notice.rate.reset();
  EXPECT_FALSE(RoundTrip(notice).rate);
  EXPECT_EQ(RoundTrip(notice).endpoint, request.endpoint);
}

// Sidecars of the previous version send statuses without limits.
// Guards against asks whose candidates get mixed up on the way.
TEST(messages_test, RoundTripOfASlot) {
  slot_ask ask{.number = 7,
               .service = core::service_id("plain"),
               .priority = 2,
               .answer_due_in = core::milliseconds(-20),
               .deadline_in = core::milliseconds(2900),
               .maximum_retry_after = core::milliseconds(900)};
  ask.candidates.push_back({{catalog::instance_id("p1"), 5}, 6, true});
  ask.candidates.push_back({{catalog::instance_id("p2"), 0}, 4, false});
  const auto read = std::get<slot_ask>(Decode(Encode(ask)));
  EXPECT_EQ(read.number, 7u);
  EXPECT_EQ(read.service, ask.service);
  EXPECT_EQ(read.priority, 2);
  EXPECT_EQ(read.answer_due_in, ask.answer_due_in);
  EXPECT_EQ(read.deadline_in, ask.deadline_in);
  EXPECT_EQ(read.maximum_retry_after, ask.maximum_retry_after);
  ASSERT_EQ(read.candidates.size(), 2u);
  EXPECT_EQ(read.candidates[0].endpoint, ask.candidates[0].endpoint);
  EXPECT_EQ(read.candidates[1].slots, 4u);
  EXPECT_TRUE(read.candidates[0].is_usable);
  EXPECT_FALSE(read.candidates[1].is_usable);
  const auto issued = std::get<slot_issued>(Decode(Encode(slot_issued{7, 1})));
  EXPECT_EQ(issued.candidate, 1u);
  const auto released = std::get<slot_released>(
      Decode(Encode(slot_released{7, overload::slot_result::turned_away})));
  EXPECT_EQ(released.result, overload::slot_result::turned_away);
}

TEST(messages_test, RoundTripsMessagesAboutOrigins) {
  const origins::stream_key stream(core::request_id("r1"));
  const origins::stream_origin origin{core::service_id("s"),
                                      core::software_version("v1.1")};
  const auto began =
      std::get<stream_began>(Decode(Encode(stream_began{stream, origin})));
  EXPECT_EQ(began.stream, stream);
  EXPECT_EQ(began.origin, origin);
  const auto query =
      std::get<origin_query>(Decode(Encode(origin_query{7, stream})));
  EXPECT_EQ(query.number, 7U);
  EXPECT_EQ(query.stream, stream);
  for (const auto& known :
       {std::optional(origin), std::optional<origins::stream_origin>()}) {
    const auto answer =
        std::get<origin_answer>(Decode(Encode(origin_answer{7, known})));
    EXPECT_EQ(answer.number, 7U);
    EXPECT_EQ(answer.origin, known);
  }
}

TEST(messages_test, ReadsAStatusWithoutALimit) {
  const auto frame = json::to_cbor(
      json::array({9, true, 3, 1, 64, 2, 0, 40, 4, 7, 100, 0, false}));
  const auto decoded = std::get<status_report>(
      Decode({reinterpret_cast<const char*>(frame.data()), frame.size()}));
  EXPECT_EQ(decoded.status.running, 3U);
  EXPECT_FALSE(decoded.status.limit);
}

TEST(messages_test, RoundTripOfAChangeBatch) {
  change_batch batch{.after = 40, .revision = 44, .age = milliseconds(3)};
  batch.last_outage = {{6, 41}, milliseconds(70)};
  batch.era = 6;
  batch.sent_at = milliseconds(7'000'000'000);
  batch.documents = {{42, "{}"}, {44, std::string("\xff\0", 2)}};
  const change_batch decoded = RoundTrip(batch);
  EXPECT_EQ(decoded.after, 40);
  EXPECT_EQ(decoded.revision, 44);
  ASSERT_TRUE(decoded.last_outage);
  EXPECT_EQ(decoded.last_outage->position, (catalog::catalog_position{6, 41}));
  EXPECT_EQ(decoded.era, 6);
  EXPECT_EQ(decoded.sent_at, batch.sent_at);
  EXPECT_EQ(decoded.last_outage->ended_ago, milliseconds(70));
  ASSERT_EQ(decoded.documents.size(), 2U);
  EXPECT_EQ(decoded.documents[0].revision, 42);
  EXPECT_EQ(decoded.documents[1].text, std::string("\xff\0", 2));
}

// The previous version sends only the flag that there was an outage.
TEST(messages_test, DecodesABatchWithoutTheEndOfTheOutage) {
  const auto frame = json::to_cbor(json::array({11, 40, 44, 3, true, 0}));
  const auto decoded =
      Decode({reinterpret_cast<const char*>(frame.data()), frame.size()});
  EXPECT_FALSE(std::get<change_batch>(decoded).last_outage);
}

TEST(messages_test, ABatchOfAnEarlierVersionHasNoEra) {
  for (const json& form : {json::array({11, 40, 44, 3, false, 0}),
                           json::array({11, 40, 44, 3, true, 0, 41, 70}),
                           json::array({11, 40, 44, 3, false, 1, 42, "{}"})}) {
    const auto frame = json::to_cbor(form);
    const auto decoded =
        Decode({reinterpret_cast<const char*>(frame.data()), frame.size()});
    EXPECT_EQ(std::get<change_batch>(decoded).era, 0) << form;
  }
}

TEST(messages_test, RoundTripOfAQuotaAskAndItsAnswer) {
  const quota_ask ask{.number = 7,
                      .tenant = core::tenant_id("t"),
                      .amount = 2400,
                      .minimum = 1120,
                      .rate = 344'204.25,
                      .burst = 5.5,
                      .configuration = 12,
                      .priority = 2,
                      .is_fallback = true,
                      .deadline_in = milliseconds(60)};
  EXPECT_EQ(json::from_cbor(Encode(ask)),
            json::array({17, 7, "t", 2400, 1120, 344'204'250'000, 5'500'000, 12,
                         2, true, 60}));
  const quota_ask decoded = RoundTrip(ask);
  EXPECT_EQ(Encode(decoded), Encode(ask));
  EXPECT_DOUBLE_EQ(decoded.rate, 344'204.25);
  const quota_answer answer{7, core::tenant_id("t"), 1120, milliseconds(40)};
  EXPECT_EQ(json::from_cbor(Encode(answer)),
            json::array({18, 7, "t", 1120, 40}));
  EXPECT_EQ(Encode(RoundTrip(answer)), Encode(answer));
}

// Earlier versions read a batch up to the fields that they know.
TEST(messages_test, OnlyTheTimeOfABatchFollowsItsEra) {
  change_batch batch{.after = 40, .revision = 44, .era = 6};
  EXPECT_EQ(json::from_cbor(Encode(batch)),
            json::array({11, 40, 44, 0, false, 0, 6}));
  batch.last_outage = {{6, 41}, milliseconds(70)};
  EXPECT_EQ(json::from_cbor(Encode(batch)),
            json::array({11, 40, 44, 0, true, 0, 41, 70, 6}));
  batch.sent_at = milliseconds(5000);
  EXPECT_EQ(json::from_cbor(Encode(batch)),
            json::array({11, 40, 44, 0, true, 0, 41, 70, 6, 5000}));
}

// Newer peers may append fields that this version does not know.
TEST(messages_test, IgnoresAppendedFields) {
  const auto frame = json::to_cbor(json::array({2 + 1, 9, "new field"}));
  const auto decoded =
      Decode({reinterpret_cast<const char*>(frame.data()), frame.size()});
  EXPECT_EQ(std::get<grant_withdrawn>(decoded).number, 9U);
}

TEST(messages_test, RejectsInvalidFrames) {
  for (const json& form :
       {json::object({{"type", "status"}}), json("text"), json(7),
        json::array({3, json::array({1})}), json::array({3, 1.5}),
        json::array({3, nullptr}), json::array({99, 1}), json::array({3}),
        json::array({3, "number"}), json::array({3, -1}),
        json::array({11, 40, 44, 3, false, 0, -1}),
        json::array({18, 7, "t", -1, 40}),
        // The length exceeds the remaining fields.
        json::array({11, 1, 2, 0, false, 1'000'000'000})}) {
    const auto frame = json::to_cbor(form);
    EXPECT_THROW(
        Decode({reinterpret_cast<const char*>(frame.data()), frame.size()}),
        core::invalid_value_error)
        << form;
  }
}

// Arbitrary bytes decode to a message or throw the documented error.
RC_GTEST_PROP(messages_test, ArbitraryBytesDecodeOrThrow,
              (const std::string& bytes)) {
  try {
    Decode(bytes);
  } catch (const core::invalid_value_error&) {
  }
}

RC_GTEST_PROP(messages_test, DamagedMessagesDecodeOrThrow,
              (const std::vector<std::pair<std::size_t, char>>& damage)) {
  status_report report;
  report.has_adapters = true;
  report.status.adapters = {Adapter("a1"), Adapter("a2")};
  std::string frame = Encode(report);
  for (const auto& [at, byte] : damage) frame[at % frame.size()] = byte;
  try {
    Decode(frame);
  } catch (const core::invalid_value_error&) {
  }
}

}  // namespace
}  // namespace comfreyspring::grants
