#include "net/read_pacer.h"

#include <algorithm>

namespace comfreyspring::net {
namespace {

constexpr core::milliseconds kPeriod{20};
/** More than a stream of tokens or an answer of a few kilobytes takes. */
constexpr std::size_t kBytesPerCall = 32 * 1024;
/** 25 MB/s: a small part of the loop's time, also on a slow VM. */
constexpr std::size_t kSharedBytes = 512 * 1024;

}  // namespace

core::milliseconds read_pacer::Take(usage& call, std::size_t bytes,
                                    core::time_point now) {
  if (now - period_ >= kPeriod) {
    period_ = now;
    shared_left_ = kSharedBytes;
  }
  if (call.period_ != period_) {
    call.period_ = period_;
    call.bytes_ = 0;
  }
  const std::size_t own_left =
      kBytesPerCall - std::min(kBytesPerCall, call.bytes_);
  const std::size_t shared = bytes - std::min(bytes, own_left);
  // A piece that is larger than the whole budget passes at a period's start.
  if (shared > shared_left_ && shared_left_ < kSharedBytes) {
    return std::max(core::ToMilliseconds(period_ + kPeriod - now),
                    core::milliseconds(1));
  }
  call.bytes_ += bytes;
  shared_left_ -= std::min(shared, shared_left_);
  return core::milliseconds(0);
}

}  // namespace comfreyspring::net
