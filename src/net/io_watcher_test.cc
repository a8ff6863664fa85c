#include "net/io_watcher.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <optional>

namespace comfreyspring::net {
namespace {

using descriptor_pair = std::array<int, 2>;

descriptor_pair OpenPipe() {
  descriptor_pair ends{-1, -1};
  EXPECT_EQ(::pipe(ends.data()), 0);
  return ends;
}

// Guards against a crash: on an error without data the reactor drops the
// descriptor. If its owner closed it in that callback and immediately watched a
// new one with the same number, the reactor kept the destroyed handler.
TEST(io_watcher_test, DescriptorMayBeReusedInTheCallbackOfAnError) {
  event_loop loop;
  descriptor_pair first = OpenPipe();
  descriptor_pair second = OpenPipe();
  const int number = first[0];
  bool replaced = false;
  int later_events = 0;
  std::optional<io_watcher> watcher;
  const auto read_second = [&] {
    char byte = 0;
    if (::read(number, &byte, 1) == 1) ++later_events;
  };
  const auto replace = [&] {
    if (replaced) return;
    replaced = true;
    watcher.reset();
    // The number of the closed descriptor is used again.
    ASSERT_EQ(::dup2(second[0], number), number);
    ::close(second[0]);
    watcher.emplace(loop, number, io_interest::read,
                    io_watcher::callbacks{read_second, nullptr});
  };
  watcher.emplace(loop, first[0], io_interest::read,
                  io_watcher::callbacks{replace, nullptr});
  // A read end without writers reports EPOLLHUP and has no data.
  ::close(first[1]);
  ASSERT_TRUE(
      loop.RunUntil([&] { return replaced; }, core::milliseconds(1000)));
  // The destroyed handler is gone by now.
  loop.RunUntil([] { return false; }, core::milliseconds(20));
  for (int i = 1; i <= 3; ++i) {
    ASSERT_EQ(::write(second[1], "x", 1), 1);
    EXPECT_TRUE(loop.RunUntil([&] { return later_events == i; },
                              core::milliseconds(1000)));
  }
  watcher.reset();
  ::close(number);
  ::close(second[1]);
}

// Guards against a crash: the reactor keeps the handler of a descriptor that
// was closed before its watcher, because it can no longer remove it, and
// passes it the events of the next descriptor with that number.
TEST(io_watcher_test, DescriptorMayBeClosedBeforeItsWatcher) {
  event_loop loop;
  const descriptor_pair first = OpenPipe();
  std::optional<io_watcher> watcher;
  int early_events = 0;
  watcher.emplace(loop, first[0], io_interest::read,
                  io_watcher::callbacks{[&] { ++early_events; }, nullptr});
  ::close(first[0]);
  watcher.reset();
  loop.RunUntil([] { return false; }, core::milliseconds(20));
  const descriptor_pair second = OpenPipe();
  if (second[0] != first[0]) {
    ASSERT_EQ(::dup2(second[0], first[0]), first[0]);
    ::close(second[0]);
  }
  int later_events = 0;
  watcher.emplace(loop, first[0], io_interest::read,
                  io_watcher::callbacks{[&] {
                                          char byte = 0;
                                          if (::read(first[0], &byte, 1) == 1) {
                                            ++later_events;
                                          }
                                        },
                                        nullptr});
  for (int i = 1; i <= 3; ++i) {
    ASSERT_EQ(::write(second[1], "x", 1), 1);
    EXPECT_TRUE(loop.RunUntil([&] { return later_events == i; },
                              core::milliseconds(1000)));
  }
  EXPECT_EQ(early_events, 0);
  watcher.reset();
  ::close(first[0]);
  ::close(first[1]);
  ::close(second[1]);
}

}  // namespace
}  // namespace comfreyspring::net
