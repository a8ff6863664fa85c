#include "net/read_pacer.h"

#include <gtest/gtest.h>

#include <vector>

namespace comfreyspring::net {
namespace {

using core::milliseconds;

constexpr std::size_t kPiece = 16 * 1024;

class read_pacer_test : public ::testing::Test {
 protected:
  /** Reads pieces until the call is held back. @returns the bytes read. */
  std::size_t ReadAll(read_pacer::usage& call) {
    std::size_t bytes = 0;
    while (pacer_.Take(call, kPiece, now_).count() == 0) bytes += kPiece;
    return bytes;
  }

  core::time_point now_ = core::time_point() + core::seconds(100);
  read_pacer pacer_;
};

// Load: one to 400 engines that send without end and as fast as they are read.
// What each call has of its own comes on top of the shared 13 MB/s.
TEST_F(read_pacer_test, BoundsWhatManyCallsReadInASecond) {
  for (const std::size_t count : {1U, 40U, 400U}) {
    std::vector<read_pacer::usage> calls(count);
    std::size_t total = 0;
    for (int step = 0; step < 1000; ++step) {
      now_ += milliseconds(1);
      for (auto& call : calls) total += ReadAll(call);
    }
    constexpr std::size_t kOwn = 64 * 1024 + 51 * 2 * 1024;
    EXPECT_LE(total, 51U * 256 * 1024 + count * kOwn) << count;
  }
}

// Load: the same, beside answers of plain services and streams of tokens.
TEST_F(read_pacer_test, NeverHoldsACallThatReadsLittle) {
  std::vector<read_pacer::usage> heavy(400);
  read_pacer::usage stream;
  for (int step = 0; step < 500; ++step) {
    now_ += milliseconds(20);
    for (auto& call : heavy) ReadAll(call);
    EXPECT_EQ(pacer_.Take(stream, 2000, now_).count(), 0);
    read_pacer::usage answer;
    for (int piece = 0; piece < 4; ++piece) {
      EXPECT_EQ(pacer_.Take(answer, kPiece, now_).count(), 0);
    }
  }
}

// A call alone reads a large answer, such as a list of the platform, quickly.
TEST_F(read_pacer_test, ACallAloneHasTheWholeBudget) {
  read_pacer::usage call;
  std::size_t total = 0;
  for (int step = 0; step < 50; ++step) {
    now_ += milliseconds(20);
    total += ReadAll(call);
  }
  EXPECT_GE(total, 12U * 1000 * 1000);
}

TEST_F(read_pacer_test, APieceLargerThanTheBudgetPasses) {
  read_pacer::usage call;
  int held = 0;
  for (int piece = 0; piece < 10; ++piece) {
    for (auto wait = pacer_.Take(call, 4 * 1024 * 1024, now_); wait.count() > 0;
         wait = pacer_.Take(call, 4 * 1024 * 1024, now_)) {
      EXPECT_LE(wait, milliseconds(20));
      now_ += wait;
      ++held;
    }
  }
  EXPECT_LE(held, 10);
}

}  // namespace
}  // namespace comfreyspring::net
