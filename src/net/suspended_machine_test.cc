// Simulates a suspend of the machine: this program's clock_gettime takes
// precedence over that of the C library.

#include <dlfcn.h>
#include <gtest/gtest.h>

#include <atomic>
#include <ctime>

#include "net/event_loop.h"

namespace {

/** How long the machine was suspended since the start. */
std::atomic<int> suspended_seconds{0};

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* result) noexcept {
  using function = int (*)(clockid_t, timespec*);
  static const auto original =
      reinterpret_cast<function>(::dlsym(RTLD_NEXT, "clock_gettime"));
  const int status = original(clock, result);
  if (status == 0 && clock == CLOCK_BOOTTIME) {
    result->tv_sec += suspended_seconds;
  }
  return status;
}

namespace comfreyspring::net {
namespace {

using core::milliseconds;

TEST(suspended_machine_test, TheTimeCountsAndIsNoticedAsAPause) {
  event_loop loop;
  milliseconds pause{0};
  loop.OnPause(milliseconds(300), [&](milliseconds length) { pause = length; });
  const auto before = loop.Now();
  loop.Schedule(milliseconds(20), [] { suspended_seconds = 4; });
  EXPECT_TRUE(
      loop.RunUntil([&] { return pause.count() > 0; }, milliseconds(9000)));
  EXPECT_GT(pause, milliseconds(3500));
  EXPECT_GT(loop.Now() - before, milliseconds(4000));
  suspended_seconds = 0;
}

}  // namespace
}  // namespace comfreyspring::net
