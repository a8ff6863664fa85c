#include "standins/engine_batch.h"

#include <gtest/gtest.h>

#include "standins/engine_adapters.h"

namespace comfreyspring::standins {
namespace {

stream_request Request(std::size_t tokens, bool urgent = true) {
  return {{"straps", "v2"}, "prompt", tokens, urgent};
}

TEST(EngineBatch, GeneratesOneTokenPerStepUpToTheLimit) {
  engine_batch batch(4);
  const std::string id = batch.Add(Request(2));
  batch.Step();
  EXPECT_EQ(batch.Find(id)->tokens, 1U);
  EXPECT_TRUE(batch.Find(id)->IsActive());
  batch.Step();
  EXPECT_EQ(batch.Find(id)->tokens, 2U);
  EXPECT_EQ(batch.Find(id)->current_phase, engine_stream::phase::done);
  EXPECT_TRUE(batch.Step().empty());
}

// Guards the start order that the agent relies on when it fills the batch.
TEST(EngineBatch, StartsUrgentStreamsFirst) {
  engine_batch batch(1);
  const std::string first = batch.Add(Request(1, false));
  const std::string second = batch.Add(Request(1, true));
  EXPECT_EQ(batch.Step(), std::vector<std::string>{second});
  EXPECT_EQ(batch.Step(), std::vector<std::string>{first});
}

TEST(EngineBatch, CancelFreesTheBatchSlotAndIsIdempotent) {
  engine_batch batch(1);
  const std::string first = batch.Add(Request(10));
  const std::string second = batch.Add(Request(10));
  batch.Step();
  batch.Cancel(first);
  batch.Cancel(first);
  batch.Cancel("unknown");
  EXPECT_EQ(batch.Step(), std::vector<std::string>{second});
  EXPECT_EQ(batch.Find(first)->tokens, 1U);
  EXPECT_EQ(batch.ActiveStreams({"straps", "v2"}),
            std::vector<std::string>{second});
}

TEST(EngineBatch, TokenNamesAdapterVersionAndIndex) {
  EXPECT_EQ(TokenText(Request(1), 17), "straps@v2:17 ");
  stream_request tagged = Request(1);
  tagged.prompt = "tag:abc and more";
  EXPECT_EQ(TokenText(tagged, 0), "straps@v2:0:abc ");
  tagged.prompt = "tag:abc";
  EXPECT_EQ(TokenText(tagged, 0), "straps@v2:0:abc ");
}

// Guards against a request that continues after a preemption, or on another
// engine, producing other text than an uninterrupted run.
TEST(EngineBatch, ContinuedOutputKeepsCounting) {
  for (const std::string prompt :
       {"", "p", "tag:abc", "tag:abc and straps@v2:0 "}) {
    engine_batch batch(1);
    stream_request whole = Request(1);
    whole.prompt = prompt;
    std::string text;
    for (std::size_t k = 0; k < 12; ++k) {
      stream_request later = Request(1);
      later.prompt = prompt + text;
      const engine_stream* stream = batch.Find(batch.Add(later));
      if (prompt.find("straps") == std::string::npos) {
        EXPECT_EQ(stream->request.earlier_tokens, k);
      }
      EXPECT_EQ(TokenText(stream->request, 0), TokenText(whole, k)) << prompt;
      text += TokenText(whole, k);
    }
  }
}

// Guards against taking text that only resembles earlier output for it.
TEST(EngineBatch, SimilarTextIsNotEarlierOutput) {
  for (const char* prompt :
       {"straps@v2:1 ", "straps@v2:0 straps@v2:2 ", "straps@v2:0",
        "straps@v1:0 ", "straps@v2:0 x", "straps@v2:00 "}) {
    stream_request request = Request(1);
    request.prompt = prompt;
    SplitEarlierTokens(request);
    EXPECT_EQ(request.earlier_tokens, 0U) << prompt;
    EXPECT_EQ(request.prompt, prompt);
  }
}

TEST(EngineAdapters, LoadsHoldTheirSlotFromTheStart) {
  engine_adapters adapters(1);
  EXPECT_EQ(adapters.StartLoad({"a", "1"}),
            engine_adapters::load_start::started);
  EXPECT_EQ(adapters.StartLoad({"a", "1"}),
            engine_adapters::load_start::in_progress);
  EXPECT_EQ(adapters.StartLoad({"b", "1"}),
            engine_adapters::load_start::no_free_slot);
  EXPECT_TRUE(adapters.FinishLoad({"a", "1"}, true));
  EXPECT_EQ(adapters.StartLoad({"a", "1"}),
            engine_adapters::load_start::resident);
  EXPECT_TRUE(adapters.Unload({"a", "1"}));
  EXPECT_FALSE(adapters.Unload({"a", "1"}));
  EXPECT_EQ(adapters.StartLoad({"b", "1"}),
            engine_adapters::load_start::started);
  EXPECT_TRUE(adapters.FinishLoad({"b", "1"}, false));
  EXPECT_FALSE(adapters.IsResident({"b", "1"}));
}

}  // namespace
}  // namespace comfreyspring::standins
