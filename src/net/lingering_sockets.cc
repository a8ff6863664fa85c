#include "net/lingering_sockets.h"

#include <fcntl.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <thread>
#include <utility>

#include "net/transfer_count.h"

namespace comfreyspring::net {
namespace {

constexpr std::size_t kDiscardBlockBytes = 64 * 1024;
/** Reads in one turn; a fast peer would hold the loop otherwise. */
constexpr int kBlocksPerTurn = 16;
constexpr core::milliseconds kFlushInterval{2};

bool HasUnsentBytes(int descriptor) {
  int bytes = 0;
  return ::ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

bool HasUnreadBytes(int descriptor) {
  int bytes = 0;
  return ::ioctl(descriptor, FIONREAD, &bytes) == 0 && bytes > 0;
}

}  // namespace

lingering_sockets::lingering_sockets(event_loop& loop, const limits& bounds)
    : loop_(loop), limits_(bounds) {}

lingering_sockets::~lingering_sockets() { loop_.Cancel(expiry_timer_); }

void lingering_sockets::Add(int descriptor) {
  // Nothing can be lost on an idle connection, and a reset tells a client whose
  // request crosses the close that it was not read.
  if (!HasUnsentBytes(descriptor) && !HasUnreadBytes(descriptor)) return;
  if (HasEnded(descriptor)) return;
  tcp_socket kept(::fcntl(descriptor, F_DUPFD_CLOEXEC, 0));
  // Without a free descriptor the connection is closed as it is.
  if (!kept.IsValid()) return;
  ::shutdown(kept.Descriptor(), SHUT_WR);
  if (sockets_.size() >= limits_.maximum_sockets) sockets_.pop_front();
  const auto each = sockets_.emplace(sockets_.end());
  each->socket = std::move(kept);
  each->ends_at = loop_.Now() + limits_.maximum_time;
  each->watcher.emplace(
      loop_, each->socket.Descriptor(), io_interest::read,
      io_watcher::callbacks{[this, each] { Read(each); }, nullptr});
  ScheduleExpiry();
}

void lingering_sockets::Read(position each) {
  if (!Discard(*each)) sockets_.erase(each);
}

bool lingering_sockets::Discard(entry& each) const {
  std::array<char, kDiscardBlockBytes> block;
  for (int i = 0; i < kBlocksPerTurn; ++i) {
    const auto result = each.socket.Read(block.data(), block.size());
    if (result.outcome == transfer_result::kind::ended) return false;
    if (result.outcome == transfer_result::kind::would_block) break;
    each.discarded += result.bytes;
    if (each.discarded > limits_.maximum_bytes) return false;
  }
  return true;
}

void lingering_sockets::ScheduleExpiry() {
  if (expiry_timer_ != 0 || sockets_.empty()) return;
  const auto left = sockets_.front().ends_at - loop_.Now();
  expiry_timer_ =
      loop_.Schedule(std::chrono::ceil<core::milliseconds>(left), [this] {
        expiry_timer_ = 0;
        while (!sockets_.empty() && sockets_.front().ends_at <= loop_.Now()) {
          sockets_.pop_front();
        }
        ScheduleExpiry();
      });
}

void lingering_sockets::Flush(core::milliseconds limit) {
  const auto ends_at = std::chrono::steady_clock::now() + limit;
  while (true) {
    std::erase_if(sockets_, [this](entry& each) {
      return !Discard(each) || !HasUnsentBytes(each.socket.Descriptor());
    });
    if (sockets_.empty() || std::chrono::steady_clock::now() >= ends_at) break;
    std::this_thread::sleep_for(kFlushInterval);
  }
}

}  // namespace comfreyspring::net
