#include "stream/replay_buffer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "stream/stream_assembler.h"

namespace comfreyspring::stream {
namespace {

using core::attempt_id;
using core::milliseconds;
using core::time_point;

const attempt_id kAttempt("a");

void Deliver(stream_assembler& assembler, const wire::message& message,
             std::string& output) {
  if (const auto* chunk = std::get_if<wire::chunk>(&message)) {
    for (const auto& data : assembler.OnChunk(*chunk)) output += data;
  } else {
    assembler.OnFinished(std::get<wire::finished>(message));
  }
}

void Resume(const replay_buffer& buffer, stream_assembler& assembler,
            std::string& output) {
  const auto frames = buffer.From(kAttempt, assembler.NextSequence());
  ASSERT_TRUE(frames.has_value());
  for (const auto& frame : *frames) Deliver(assembler, frame, output);
}

// A link may break at any point, several times: resuming at the assembler's
// next sequence number must complete the response without loss or duplicates.
RC_GTEST_PROP(ReplayBuffer, ResumeAfterAnyLossCompletesTheAnswer,
              (const std::vector<std::string>& data)) {
  replay_buffer buffer;
  buffer.Begin(kAttempt);
  stream_assembler assembler;
  std::string expected;
  std::string output;
  bool link_up = true;
  for (const std::string& piece : data) {
    expected += piece;
    const wire::chunk sent = buffer.Append(kAttempt, piece);
    if (*rc::gen::inRange(0, 4) == 0) link_up = false;
    if (link_up) Deliver(assembler, sent, output);
    if (!link_up && *rc::gen::inRange(0, 3) == 0) {
      link_up = true;
      Resume(buffer, assembler, output);
    }
  }
  buffer.End(kAttempt, wire::finished{.attempt = kAttempt}, time_point());
  Resume(buffer, assembler, output);
  RC_ASSERT(assembler.State() == assembly_state::complete);
  RC_ASSERT(output == expected);
}

// The byte limits must hold, and a resume must not silently skip dropped
// chunks.
RC_GTEST_PROP(ReplayBuffer, BoundsHoldAndAResumeHasNoGap, ()) {
  const replay_options options{.maximum_attempt_bytes = 400,
                               .maximum_total_bytes = 900};
  replay_buffer buffer(options);
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
  for (const int step : steps) {
    const attempt_id attempt(std::to_string(step));
    buffer.Begin(attempt);
    if (buffer.HasEnded(attempt)) continue;
    buffer.Append(attempt, std::string(*rc::gen::inRange(0, 300), 'x'));
    if (*rc::gen::inRange(0, 5) == 0) {
      buffer.End(attempt, wire::finished{.attempt = attempt}, time_point());
    }
    RC_ASSERT(buffer.Bytes() <= options.maximum_total_bytes);
    const auto from = *rc::gen::inRange<std::uint64_t>(0, 20);
    const auto frames = buffer.From(attempt, from);
    if (!frames) continue;
    std::uint64_t expected = from;
    for (const auto& frame : *frames) {
      const auto* chunk = std::get_if<wire::chunk>(&frame);
      if (chunk != nullptr) RC_ASSERT(chunk->sequence == expected++);
    }
    RC_ASSERT(expected == buffer.ChunkCount(attempt));
  }
}

// A late resume must succeed within the retention time, and the memory must be
// freed after it.
TEST(ReplayBuffer, KeepsAnEndedAttemptForTenSeconds) {
  replay_buffer buffer;
  buffer.Begin(kAttempt);
  buffer.Append(kAttempt, "text");
  const time_point end{milliseconds(1000)};
  buffer.End(kAttempt, wire::finished{.attempt = kAttempt}, end);
  buffer.OnTick(end + milliseconds(9999));
  EXPECT_EQ(buffer.From(kAttempt, 0)->size(), 2U);
  buffer.OnTick(end + milliseconds(10000));
  EXPECT_FALSE(buffer.IsKnown(kAttempt));
  EXPECT_EQ(buffer.Bytes(), 0U);
}

}  // namespace
}  // namespace comfreyspring::stream
