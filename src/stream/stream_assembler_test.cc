#include "stream/stream_assembler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace comfreyspring::stream {
namespace {

std::vector<wire::chunk> Chunks(const std::vector<std::string>& data) {
  std::vector<wire::chunk> chunks;
  for (std::size_t i = 0; i < data.size(); ++i) {
    chunks.push_back({.sequence = i, .data = data[i]});
  }
  return chunks;
}

wire::finished FinalOf(const std::vector<std::string>& data) {
  chunk_checksum checksum;
  for (const std::string& piece : data) checksum.Add(piece);
  return {.chunk_count = data.size(), .checksum = checksum.Value()};
}

std::string Join(const std::vector<std::string>& data) {
  std::string all;
  for (const std::string& piece : data) all += piece;
  return all;
}

// Feeds the chunks, with the final marker before chunk `final_position`.
std::string Feed(stream_assembler& assembler,
                 const std::vector<wire::chunk>& chunks,
                 const wire::finished& final, std::size_t final_position) {
  std::string output;
  for (std::size_t i = 0; i <= chunks.size(); ++i) {
    if (i == final_position) assembler.OnFinished(final);
    if (i == chunks.size()) break;
    for (const auto& data : assembler.OnChunk(chunks[i])) output += data;
  }
  return output;
}

std::vector<wire::chunk> Shuffle(std::vector<wire::chunk> chunks) {
  for (std::size_t i = chunks.size(); i > 1; --i) {
    std::swap(chunks[i - 1], chunks[*rc::gen::inRange<std::size_t>(0, i)]);
  }
  return chunks;
}

// Guards against lost or duplicated data when frames arrive late, twice or out
// of order.
RC_GTEST_PROP(StreamAssembler, AnyOrderWithDuplicatesGivesTheAnswer,
              (const std::vector<std::string>& data)) {
  std::vector<wire::chunk> chunks = Chunks(data);
  const std::size_t original = chunks.size();
  for (std::size_t i = 0; i < original; ++i) {
    if (*rc::gen::arbitrary<bool>()) chunks.push_back(chunks[i]);
  }
  chunks = Shuffle(std::move(chunks));
  const auto position = *rc::gen::inRange<std::size_t>(0, chunks.size() + 1);
  stream_assembler assembler;
  const std::string output = Feed(assembler, chunks, FinalOf(data), position);
  RC_ASSERT(assembler.State() == assembly_state::complete);
  RC_ASSERT(output == Join(data));
}

// Guards against a truncated response that is reported as complete.
RC_GTEST_PROP(StreamAssembler, MissingChunkIsNeverComplete, ()) {
  const auto data = *rc::gen::nonEmpty<std::vector<std::string>>();
  std::vector<wire::chunk> chunks = Shuffle(Chunks(data));
  chunks.resize(*rc::gen::inRange<std::size_t>(0, chunks.size()));
  const auto position = *rc::gen::inRange<std::size_t>(0, chunks.size() + 1);
  stream_assembler assembler;
  Feed(assembler, chunks, FinalOf(data), position);
  RC_ASSERT(assembler.State() == assembly_state::open);
  RC_ASSERT(assembler.NextSequence() < data.size());
}

// Guards against a response with wrong content that is reported as complete:
// corrupted data or exchanged sequence numbers.
RC_GTEST_PROP(StreamAssembler, DamagedAnswerIsNeverComplete, ()) {
  const auto data = *rc::gen::nonEmpty<std::vector<std::string>>();
  std::vector<wire::chunk> chunks = Chunks(data);
  const auto victim = *rc::gen::inRange<std::size_t>(0, chunks.size());
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      chunks[victim].data += *rc::gen::nonEmpty<std::string>();
      break;
    case 1: {
      const auto other = *rc::gen::inRange<std::size_t>(0, chunks.size());
      RC_PRE(chunks[victim].data != chunks[other].data);
      std::swap(chunks[victim].data, chunks[other].data);
      break;
    }
    default:
      RC_PRE(!chunks[victim].data.empty());
      chunks[victim].data.pop_back();
  }
  chunks = Shuffle(std::move(chunks));
  const auto position = *rc::gen::inRange<std::size_t>(0, chunks.size() + 1);
  stream_assembler assembler;
  Feed(assembler, chunks, FinalOf(data), position);
  RC_ASSERT(assembler.State() == assembly_state::broken);
  RC_ASSERT(!assembler.Reason().empty());
}

// Guards against chunks that are exchanged without being noticed.
TEST(StreamAssembler, ChecksumDependsOnTheOrderOfChunks) {
  chunk_checksum first;
  first.Add("a");
  first.Add("b");
  chunk_checksum second;
  second.Add("b");
  second.Add("a");
  EXPECT_NE(first.Value(), second.Value());
}

// Bounds the memory used while an earlier chunk is missing.
TEST(StreamAssembler, TooManyHeldChunksBreakTheAnswer) {
  stream_assembler assembler(2);
  assembler.OnChunk({.sequence = 2, .data = "c"});
  assembler.OnChunk({.sequence = 1, .data = "b"});
  assembler.OnChunk({.sequence = 1, .data = "b"});
  EXPECT_EQ(assembler.State(), assembly_state::open);
  assembler.OnChunk({.sequence = 3, .data = "d"});
  EXPECT_EQ(assembler.State(), assembly_state::broken);
}

// Guards against a final marker of an earlier, shorter state of the response.
TEST(StreamAssembler, ChunkBeyondTheFinalCountBreaks) {
  stream_assembler assembler;
  assembler.OnChunk({.sequence = 3, .data = "d"});
  assembler.OnFinished({.chunk_count = 2, .checksum = 0});
  EXPECT_EQ(assembler.State(), assembly_state::broken);
}

}  // namespace
}  // namespace comfreyspring::stream
