// Guards against callers that exhaust the memory or the descriptors of a
// gateway. Each test holds one pattern of such a crowd open and checks that the
// gateway runs, stays within its machine's limits and answers a small request.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstddef>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/socket_address.h"
#include "net/tcp_socket.h"
#include "small_fleet.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;

constexpr int kMemoryMb = 60;
constexpr int kDescriptors = 256;
constexpr std::size_t kBodyBytes = 1024 * 1024;
constexpr int kCallers = 60;
/** A crowd that exceeds the descriptors of the machine. */
constexpr int kManyCallers = 400;
/** A fifth of the machine's memory is left to its system. */
constexpr long kHighestResidentKib = kMemoryMb * 1000L * 1000 / 1024 * 4 / 5;

constexpr milliseconds kTick{5};
/** A closed caller connects again this many times. */
constexpr int kReconnections = 2;
constexpr milliseconds kCrowdTime{45000};
/** Bytes after which an endless body stops and stays open. */
constexpr std::size_t kEndless = 12 * kBodyBytes;

/** What each caller of a crowd sends. */
struct pattern {
  std::string head_fields;
  /** Follows the head, over and over ... */
  std::string unit = std::string(64 * 1024, 'x');
  /** ... up to this many bytes. */
  std::size_t bytes = 0;
  /** Bytes that one caller sends in one tick. */
  std::size_t bytes_per_tick = 64 * 1024;
  bool ends_head = true;
};

pattern Announced(std::size_t length, std::size_t sent) {
  return {.head_fields = "content-length: " + std::to_string(length) + "\r\n",
          .bytes = sent};
}

constexpr const char* kChunked = "transfer-encoding: chunked\r\n";

pattern LargeChunks(std::size_t chunks) {
  const std::size_t chunk = 64 * 1024;
  const std::string unit = "10000\r\n" + std::string(chunk, 'x') + "\r\n";
  return {.head_fields = kChunked, .unit = unit, .bytes = chunks * unit.size()};
}

class hostile_caller {
 public:
  hostile_caller(const net::socket_address& gateway, const pattern& what,
                 const std::string& id)
      : gateway_(gateway), what_(what) {
    head_ =
        "POST /order/x HTTP/1.1\r\nhost: h.example\r\ndeadline-ms: 3000\r\n"
        "request-id: " +
        id + "\r\n" + what.head_fields;
    if (what.ends_head) head_ += "\r\n";
    Connect();
  }

  /** All is sent, or the gateway has closed every connection. */
  bool IsSettled() const {
    return !socket_.IsValid() || sent_ == head_.size() + what_.bytes;
  }
  bool IsOpen() const { return socket_.IsValid(); }

  void Tick() {
    if (!socket_.IsValid()) return;
    if (!Discard() || !Send()) Reconnect();
  }

 private:
  void Connect() {
    sent_ = 0;
    socket_ = net::tcp_socket::Connect(gateway_);
  }
  void Reconnect() {
    socket_.Close();
    if (reconnections_++ < kReconnections) Connect();
  }
  bool Discard() {
    std::array<char, 4096> block{};
    for (;;) {
      const auto result = socket_.Read(block.data(), block.size());
      if (result.outcome == net::transfer_result::kind::done) continue;
      return result.outcome == net::transfer_result::kind::would_block ||
             socket_.ConnectError() == EINPROGRESS;
    }
  }
  bool Send() {
    std::size_t left = what_.bytes_per_tick;
    while (left > 0 && !IsSettled()) {
      const std::string_view next = Next().substr(0, left);
      const auto result = socket_.Write(next.data(), next.size());
      if (result.outcome == net::transfer_result::kind::would_block) break;
      if (result.outcome == net::transfer_result::kind::ended) return false;
      sent_ += result.bytes;
      left -= result.bytes;
    }
    return true;
  }
  std::string_view Next() const {
    if (sent_ < head_.size()) return std::string_view{head_}.substr(sent_);
    const std::size_t position = sent_ - head_.size();
    return std::string_view{what_.unit}.substr(position % what_.unit.size(),
                                               what_.bytes - position);
  }

  net::socket_address gateway_;
  const pattern& what_;
  std::string head_;
  net::tcp_socket socket_;
  std::size_t sent_ = 0;
  int reconnections_ = 0;
};

class hostile_callers_test : public small_fleet_test {
 protected:
  hostile_callers_test()
      : small_fleet_test({.name = "hostile_callers",
                          .gateways = 1,
                          .engines = 0,
                          .plain = 1,
                          .plain_time = milliseconds(100),
                          .machine_limits = {{"MemoryMb", kMemoryMb},
                                             {"MaxFds", kDescriptors}},
                          .caller_limits = {{"BodyBytes", kBodyBytes}}}) {}

  /** Sends a request on a new connection. @returns 0 without an answer. */
  int Status(std::string body) {
    std::optional<net::http_result> result;
    net::http_client caller(loop_);
    caller.Start(
        {.method = "POST",
         .url = net::url::Parse(
             "http://" +
             fleet_layout::At(layout_.Gateway(0), fleet_layout::kCallerPort) +
             "/order/x"),
         .headers = {{"host", "h.example"},
                     {"request-id", "o-" + std::to_string(++sent_)},
                     {"deadline-ms", "3000"}},
         .body = std::move(body),
         .total_timeout = kTimeout},
        {.on_done = [&](const net::http_result& done) { result = done; }});
    loop_.RunUntil([&] { return result.has_value(); }, kTimeout);
    return result ? result->status : 0;
  }

  void CheckCrowd(const pattern& what, int callers = kCallers) {
    ASSERT_EQ(Status("before"), 200);
    const long idle = Gateway(0).ResidentKib();
    std::vector<std::unique_ptr<hostile_caller>> crowd;
    const net::socket_address gateway(layout_.Gateway(0),
                                      fleet_layout::kCallerPort);
    for (int i = 0; i < callers; ++i) {
      crowd.push_back(std::make_unique<hostile_caller>(
          gateway, what, "h-" + std::to_string(i)));
    }
    int descriptors = 0;
    const auto timer = loop_.SchedulePeriodic(kTick, [&] {
      for (const auto& caller : crowd) caller->Tick();
      descriptors = std::max(descriptors, Gateway(0).OpenDescriptors());
    });
    loop_.RunUntil(
        [&] {
          return std::all_of(
              crowd.begin(), crowd.end(),
              [](const auto& caller) { return caller->IsSettled(); });
        },
        kCrowdTime);
    Wait(milliseconds(300));
    EXPECT_EQ(Status("ordinary"), 200);
    loop_.Cancel(timer);
    EXPECT_FALSE(Gateway(0).HasEnded());
    EXPECT_LE(Gateway(0).PeakResidentKib(), kHighestResidentKib);
    EXPECT_LE(descriptors, kDescriptors);
    std::cout << "idle " << idle << " KiB, peak "
              << Gateway(0).PeakResidentKib() << " KiB, " << descriptors
              << " descriptors, "
              << std::count_if(
                     crowd.begin(), crowd.end(),
                     [](const auto& caller) { return caller->IsOpen(); })
              << " callers open\n";
  }
};

TEST_F(hostile_callers_test, LargeChunksThatStopShort) {
  CheckCrowd(LargeChunks(kBodyBytes / (64 * 1024)));
}

TEST_F(hostile_callers_test, ChunksOfOneByteThatStopShort) {
  std::string unit;
  for (int i = 0; i < 16 * 1024; ++i) unit += "1\r\nx\r\n";
  CheckCrowd({.head_fields = kChunked,
              .unit = unit,
              .bytes = kBodyBytes * 6,
              .bytes_per_tick = unit.size()});
}

TEST_F(hostile_callers_test, ChunksWithoutEnd) {
  CheckCrowd(LargeChunks(kEndless / (64 * 1024)));
}

TEST_F(hostile_callers_test, LengthsFarOverTheLimit) {
  CheckCrowd(Announced(std::size_t{1} << 40, kEndless));
}

TEST_F(hostile_callers_test, OneChunkWithAnEnormousLength) {
  pattern what = Announced(0, kEndless);
  what.head_fields = kChunked;
  what.unit.insert(0, "fffffffff\r\n");
  what.unit.resize(kEndless, 'x');
  CheckCrowd(what);
}

TEST_F(hostile_callers_test, LargeBodiesAtOnce) {
  pattern what = Announced(kBodyBytes, kBodyBytes);
  what.bytes_per_tick = kBodyBytes;
  CheckCrowd(what);
}

TEST_F(hostile_callers_test, LargeBodiesInPieces) {
  pattern what = Announced(kBodyBytes, kBodyBytes);
  what.bytes_per_tick = 16 * 1024;
  CheckCrowd(what);
}

TEST_F(hostile_callers_test, LargeBodiesThatLackAByte) {
  CheckCrowd(Announced(kBodyBytes, kBodyBytes - 1));
}

TEST_F(hostile_callers_test, MoreCallersThanDescriptorsWithoutAWholeHead) {
  pattern what;
  what.ends_head = false;
  CheckCrowd(what, kManyCallers);
}

// Guards against a limit that callers meet in ordinary use.
TEST_F(hostile_callers_test, OneBodyOfTheFullSizeIsServed) {
  EXPECT_EQ(Status(std::string(kBodyBytes, 'x')), 200);
  EXPECT_EQ(Status(std::string(kBodyBytes, 'y')), 200);
}

}  // namespace
}  // namespace comfreyspring::process_test
