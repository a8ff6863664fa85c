#include "net/framing_meter.h"

#include <algorithm>

namespace comfreyspring::net {
namespace {

constexpr int kMaximumCallsBetweenChecks = 16;
constexpr std::uint64_t kMaximumFramingBytes = 64 * 1024;
/** The framing of a chunk with a single byte takes 5 to 20 bytes. */
constexpr std::uint64_t kFramingPerDeliveredByte = 32;
/** Above this, and a byte for each delivered one, every call is checked. */
constexpr std::uint64_t kSuspiciousFramingBytes = 8 * 1024;

}  // namespace

bool framing_meter::IsCheckDue(std::uint64_t delivered) {
  delivered_ += delivered;
  if (++unchecked_calls_ < calls_between_checks_) return false;
  unchecked_calls_ = 0;
  return true;
}

bool framing_meter::Accepts(std::uint64_t received) {
  const bool is_suspicious =
      received > kSuspiciousFramingBytes + 2 * delivered_;
  calls_between_checks_ = is_suspicious ? 1
                                        : std::min(2 * calls_between_checks_,
                                                   kMaximumCallsBetweenChecks);
  return received <=
         kMaximumFramingBytes + delivered_ * (1 + kFramingPerDeliveredByte);
}

}  // namespace comfreyspring::net
