#include "net/read_pacer.h"

#include <algorithm>
#include <cstdint>

namespace comfreyspring::net {
namespace {

constexpr core::milliseconds kPeriod{20};
/** The answer of a plain service, or the events of a second. */
constexpr std::size_t kBytesPerCall = 64 * 1024;
/** Refills what a call may read of its own: 100 kB/s, some thousand tokens. */
constexpr std::size_t kRefillBytes = 2 * 1024;
/** 13 MB/s: a small part of the loop's time, also on a slow VM. */
constexpr std::size_t kSharedBytes = 256 * 1024;

}  // namespace

read_pacer::usage::usage() : allowance_(kBytesPerCall) {}

core::milliseconds read_pacer::Take(usage& call, std::size_t bytes,
                                    core::time_point now) {
  if (now - period_ >= kPeriod) {
    period_ = now;
    shared_left_ = kSharedBytes;
  }
  const auto periods = (now - call.refilled_at_) / kPeriod;
  if (periods > 0) {
    call.refilled_at_ = now;
    const auto missing = kBytesPerCall - call.allowance_;
    call.allowance_ += std::min(
        missing, kRefillBytes * static_cast<std::size_t>(std::min<std::int64_t>(
                                    periods, kBytesPerCall / kRefillBytes)));
  }
  const std::size_t own = std::min(bytes, call.allowance_);
  const std::size_t shared = bytes - own;
  // A piece that is larger than the whole budget passes at a period's start.
  if (shared > shared_left_ && shared_left_ < kSharedBytes) {
    return std::max(core::ToMilliseconds(period_ + kPeriod - now),
                    core::milliseconds(1));
  }
  call.allowance_ -= own;
  shared_left_ -= std::min(shared, shared_left_);
  return core::milliseconds(0);
}

}  // namespace comfreyspring::net
