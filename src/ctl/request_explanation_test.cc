#include "ctl/request_explanation.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>
#include <vector>

#include "ctl/program.h"

namespace comfreyspring::ctl {
namespace {

std::string Line(std::int64_t time_ms, const std::string& process,
                 const std::string& event, const std::string& fields) {
  return "{\"time_ms\":" + std::to_string(time_ms) + ",\"process\":\"" +
         process + "\",\"event\":\"" + event + '"' +
         (fields.empty() ? "" : ',' + fields) + "}\n";
}

std::string Explain(const std::string& request, const std::string& log) {
  request_explanation explanation(request);
  std::istringstream input(log);
  explanation.Read(input);
  std::ostringstream out;
  explanation.Write(out);
  return out.str();
}

void ExpectInOrder(const std::string& text,
                   const std::vector<std::string>& parts) {
  std::size_t from = 0;
  for (const std::string& part : parts) {
    const std::size_t at = text.find(part, from);
    ASSERT_NE(at, std::string::npos) << part << " is missing in\n" << text;
    from = at + part.size();
  }
}

const std::string kEndpointAdded =
    Line(1000, "gateway-1", "endpoint",
         R"("change":"added","instance":"i-7","address":"10.0.0.7:80")");
const std::string kSidecarStarted =
    Line(900, "sidecar-7", "starting", R"("engine":"10.0.0.7:80")");

// A refusal is shown with the state of the engine that refused the request.
TEST(RequestExplanation, ShowsTheEngineStateForARefusal) {
  const std::string text = Explain(
      "r1",
      Line(20004, "gateway-1", "refused",
           R"("request":"r1","status":503,"cause":"wait_too_long")") +
          kSidecarStarted + kEndpointAdded +
          Line(20003, "gateway-1", "grant_refused",
               R"("request":"r1","endpoint":"i-7","reason":"wait_too_long")") +
          Line(19000, "sidecar-7", "engine_state",
               R"("loads_waiting":9,"load_time_ms":700)") +
          Line(19000, "sidecar-8", "engine_state", R"("loads_waiting":0)") +
          Line(20003, "gateway-1", "grant_refused", R"("request":"r2")"));
  ExpectInOrder(text, {"+0 ms  gateway-1  grant_refused endpoint=i-7",
                       "+1 ms  gateway-1  refused cause=wait_too_long",
                       "-1003 ms  sidecar-7  engine_state", "load_time_ms=700",
                       "Outcome: refused 503, cause "
                       "wait_too_long: "});
  EXPECT_EQ(text.find("sidecar-8"), std::string::npos) << text;
  EXPECT_EQ(text.find("r2"), std::string::npos) << text;
}

// The limit of the endpoint is shown, also as the sidecar that counts knows it;
// limits of other endpoints are not.
TEST(RequestExplanation, ShowsTheRequestLimitOfTheEndpoint) {
  const std::string text = Explain(
      "r1", Line(20004, "gateway-1", "refused",
                 R"("request":"r1","status":503,"cause":"rate_limited")") +
                Line(20003, "gateway-1", "permit_refused",
                     R"("request":"r1","endpoint":"i-7","limit_per_s":"1.2")") +
                Line(18000, "sidecar-3", "endpoint_limit",
                     R"("change":"heard","instance":"i-7","per_s":"1.2")") +
                Line(18001, "gateway-1", "endpoint_limit",
                     R"("change":"heard","instance":"i-8","per_s":"9")"));
  ExpectInOrder(text, {"permit_refused endpoint=i-7 limit_per_s=1.2",
                       "sidecar-3  endpoint_limit",
                       "Outcome: refused 503, cause rate_limited: "});
  EXPECT_EQ(text.find("i-8"), std::string::npos) << text;
}

// A refusal for its prompt is shown with the crashes that the prompt is
// suspected of, however long ago they were, and none of others.
TEST(RequestExplanation, ShowsTheCrashesOfAQuarantinedPrompt) {
  const std::string text = Explain(
      "r1",
      Line(90004, "gateway-1", "refused",
           R"("request":"r1","status":503,"cause":"prompt_quarantined")") +
          Line(90003, "gateway-1", "prompt_quarantined",
               R"("request":"r1","part":"p3","crashes":3)") +
          Line(40000, "sidecar-7", "crash_record",
               R"("origin":"engine","parts":"p1:0 p3:0")") +
          Line(40010, "sidecar-8", "crash_record",
               R"("origin":"gateway","parts":"p1:0 p3:0")") +
          Line(50000, "sidecar-8", "crash_record",
               R"("origin":"engine","parts":"p33:1")") +
          Line(60000, "sidecar-9", "crash_record",
               R"("origin":"engine","parts":"p3:2")") +
          Line(60040, "gateway-1", "prompt_part",
               R"("part":"p3","after":"quarantined")") +
          Line(60041, "gateway-2", "prompt_part",
               R"("part":"p3","after":"quarantined")") +
          Line(60042, "gateway-1", "prompt_part",
               R"("part":"p4","after":"suspected")"));
  ExpectInOrder(text, {"prompt_quarantined crashes=3 part=p3",
                       "sidecar-7  crash_record origin=engine",
                       "sidecar-9  crash_record origin=engine parts=p3:2",
                       "gateway-1  prompt_part after=quarantined part=p3",
                       "Outcome: refused 503, cause prompt_quarantined: "});
  EXPECT_EQ(text.find("sidecar-8"), std::string::npos) << text;
  EXPECT_EQ(text.find("gateway-2"), std::string::npos) << text;
  EXPECT_EQ(text.find("p4"), std::string::npos) << text;
}

// An interrupted stream is shown with the events of its endpoint, including
// those that the gateway logged afterwards.
TEST(RequestExplanation, ShowsTheRemovedEndpointOfAnInterruptedStream) {
  const std::string text = Explain(
      "r1", kEndpointAdded +
                Line(20000, "gateway-1", "sent",
                     R"("request":"r1","endpoint":"i-7","attempt":1)") +
                Line(20500, "gateway-1", "attempt_failed",
                     R"("request":"r1","endpoint":"i-7","kind":"unknown")") +
                Line(20501, "gateway-1", "broken_off",
                     R"("request":"r1","status":200,"cause":"unknown")") +
                Line(21900, "gateway-1", "endpoint",
                     R"("change":"gone","instance":"i-7")") +
                Line(21900, "gateway-1", "endpoint",
                     R"("change":"gone","instance":"i-8")") +
                Line(29000, "gateway-1", "endpoint",
                     R"("change":"added","instance":"i-7")"));
  ExpectInOrder(text, {"sent", "attempt_failed", "broken_off",
                       "+1900 ms  gateway-1  endpoint change=gone instance=i-7",
                       "Outcome: broken_off 200, cause unknown: "});
  EXPECT_EQ(text.find("i-8"), std::string::npos) << text;
  EXPECT_EQ(text.find("+9000"), std::string::npos) << text;
}

// Guards against a cause without a description for operators.
TEST(RequestExplanation, DescribesEveryCause) {
  for (const std::string cause :
       {"wait_too_long", "wait_expired", "engine_down", "model_absent",
        "adapter_unavailable", "no_endpoint", "not_run", "repeat_budget",
        "rate_limited", "prompt_quarantined", "engines_ended", "time_limit",
        "stopping", "no_configuration", "no_route", "unknown", "not_sent",
        "stalled", "caller_does_not_read"}) {
    const std::string text = Explain(
        "r1", Line(1, "gateway-1", "failed",
                   R"("request":"r1","status":502,"cause":")" + cause + '"'));
    EXPECT_NE(text.find("cause " + cause + ": "), std::string::npos) << text;
  }
}

TEST(RequestExplanation, ReportsAMissingFinalLine) {
  EXPECT_NE(Explain("r1", Line(5, "gateway-1", "sent", R"("request":"r1")"))
                .find("no final line"),
            std::string::npos);
}

// Log collectors add a prefix to lines, and logs contain lines of other
// programs.
TEST(RequestExplanation, ReadsLogsWithPrefixesAndForeignLines) {
  request_explanation explanation("r1");
  std::istringstream input(
      "no line\n{broken\n{\"event\":1}\n  12.5 gateway-1 " +
      Line(5, "gateway-1", "refused", R"("request":"r1","status":503)"));
  explanation.Read(input);
  EXPECT_TRUE(explanation.Found());
  EXPECT_EQ(explanation.MalformedLines(), 2U);
}

TEST(ExplainCommand, ReportsInvalidUsage) {
  std::ostringstream out;
  std::ostringstream errors;
  EXPECT_EQ(RunProgram({"explain", "r1"}, out, errors), 2);
  EXPECT_EQ(RunProgram({"explain", "r1", "/does/not/exist"}, out, errors), 2);
  EXPECT_NE(errors.str().find("/does/not/exist"), std::string::npos);
  EXPECT_EQ(RunProgram({"explain", "r1", "/dev/null"}, out, errors), 1);
}

}  // namespace
}  // namespace comfreyspring::ctl
