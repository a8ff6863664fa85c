#include "wire/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyspring::wire {
namespace {

submit SampleSubmit() {
  submit value;
  value.attempt = core::attempt_id("r1.1");
  value.adapter = {core::adapter_id("straps"), core::version_id("v2")};
  value.version = {7, 0xffffffffffffffffULL};
  value.remaining = core::milliseconds(1200);
  value.body = std::string("{\"a\":1}\0\xff", 9);
  return value;
}

// Guards against payloads that are not valid UTF-8 being changed or rejected.
TEST(Codec, RoundTripsEveryFieldOfSubmit) {
  const message original = SampleSubmit();
  EXPECT_EQ(Decode(Encode(original)), original);
}

TEST(Codec, RoundTripsEveryMessageType) {
  const std::vector<message> all = {
      hello{.process = core::process_id("e"), .report = endpoint_report{}},
      heartbeat{.nonce = 9, .service_read_age_ms = 5, .wants_readers = true},
      heartbeat_reply{.nonce = 9, .entries = {core::process_id("e")}},
      config_request{},
      config_request{.hash = 12},
      config_part{.manifest = true, .hash = 3, .bytes = "\xfe"},
      vm_list{.revision = 4, .vms = {{core::vm_id("vm-1"), vm_state::leaving}}},
      peer_versions{.peers = {{core::endpoint_id("desk-1"), 5, {1, 2}}}},
      accepted{.attempt = core::attempt_id("a")},
      chunk{.attempt = core::attempt_id("a"), .sequence = 1, .data = "\x80"},
      finished{.attempt = core::attempt_id("a"), .chunk_count = 2},
      refused{.attempt = core::attempt_id("a"), .reason = "queue_full"},
      withdraw{.attempt = core::attempt_id("a")},
      withdrawn{.attempt = core::attempt_id("a")},
      resume{.attempt = core::attempt_id("a"), .next_sequence = 3},
      leaving{}};
  for (const message& original : all) {
    EXPECT_EQ(Decode(Encode(original)), original);
  }
}

// Guards against a frame that exhausts the stack of its reader.
TEST(Codec, RejectsDeeplyNestedFrames) {
  constexpr std::size_t kSize = 1'000'000;
  for (const char nesting : {'\x81', '\xa1', '\x9f', '\xbf', '\x7f', '\x5f'}) {
    EXPECT_THROW(Decode(std::string(kSize, nesting)), wire_error);
    EXPECT_THROW(Decode('\x81' + std::string(kSize, nesting)), wire_error);
  }
}

// Guards against an exception of another type, which would terminate the
// process, on malformed data from a faulty peer.
RC_GTEST_PROP(Codec, ThrowsOnlyWireErrorOnArbitraryBytes,
              (const std::string& bytes)) {
  try {
    Decode(bytes);
  } catch (const wire_error&) {
  }
}

// Guards against an exception of another type on a truncated or corrupted
// frame.
RC_GTEST_PROP(Codec, ThrowsOnlyWireErrorOnCorruptedFrames, ()) {
  std::string frame = Encode(SampleSubmit());
  const auto position = *rc::gen::inRange<std::size_t>(0, frame.size());
  frame[position] = *rc::gen::arbitrary<char>();
  frame.resize(*rc::gen::inRange<std::size_t>(0, frame.size() + 1));
  try {
    Decode(frame);
  } catch (const wire_error&) {
  }
}

}  // namespace
}  // namespace comfreyspring::wire
