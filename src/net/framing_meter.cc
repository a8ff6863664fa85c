#include "net/framing_meter.h"

namespace comfreyspring::net {
namespace {

/** Every so many calls are checked, whether they have delivered bytes or not.
 */
constexpr int kCallsBetweenChecks = 16;
constexpr std::uint64_t kMaximumFramingBytes = 64 * 1024;
/** The framing of a chunk with a single byte takes 5 to 20 bytes. */
constexpr std::uint64_t kFramingPerDeliveredByte = 32;

}  // namespace

bool framing_meter::IsCheckDue(std::uint64_t delivered) {
  delivered_ += delivered;
  if (delivered > 0 && ++unchecked_calls_ < kCallsBetweenChecks) return false;
  unchecked_calls_ = 0;
  return true;
}

bool framing_meter::Accepts(std::uint64_t received) const {
  return received <=
         kMaximumFramingBytes + delivered_ * (1 + kFramingPerDeliveredByte);
}

}  // namespace comfreyspring::net
