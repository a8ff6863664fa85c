#include "net/framing_meter.h"

#include <gtest/gtest.h>

namespace comfreyspring::net {
namespace {

/** @returns the bytes received until the meter rejects them; 0 if it never
 * does within `calls` reads. */
std::uint64_t RejectedAfter(framing_meter& meter, std::uint64_t received,
                            std::uint64_t per_call, std::uint64_t delivered,
                            int calls) {
  for (int call = 0; call < calls; ++call) {
    received += per_call;
    if (meter.IsCheckDue(delivered) && !meter.Accepts(received)) {
      return received;
    }
  }
  return 0;
}

// A read may bring 400 kB; chunks with a byte each and a long extension must
// not pass for long because each read delivers something.
TEST(framing_meter_test, RejectsLongExtensionsAfterAFewReads) {
  for (const std::uint64_t delivered : {0U, 1U, 20U, 200U}) {
    framing_meter meter;
    const auto bytes = RejectedAfter(meter, 0, 400'000, delivered, 100);
    EXPECT_GT(bytes, 0U) << delivered;
    EXPECT_LE(bytes, 1'200'000U) << delivered;
  }
}

TEST(framing_meter_test, AcceptsBodiesAndSmallChunks) {
  framing_meter bodies;
  EXPECT_EQ(RejectedAfter(bodies, 0, 4'200, 4'000, 100'000), 0U);
  framing_meter chunks;
  EXPECT_EQ(RejectedAfter(chunks, 0, 21 * 600, 600, 100'000), 0U);
}

// A connection that has carried many answers is asked seldom, but not never.
TEST(framing_meter_test, ChecksSoundConnectionsSeldom) {
  framing_meter meter;
  std::uint64_t received = 0;
  int checks = 0;
  for (int call = 0; call < 1600; ++call) {
    received += 300;
    if (!meter.IsCheckDue(280)) continue;
    ++checks;
    EXPECT_TRUE(meter.Accepts(received));
  }
  EXPECT_GE(checks, 100);
  EXPECT_LE(checks, 110);
}

}  // namespace
}  // namespace comfreyspring::net
