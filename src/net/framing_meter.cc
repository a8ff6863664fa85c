#include "net/framing_meter.h"

namespace comfreyspring::net {
namespace {

/** Every so many reads are checked, whether they have delivered bytes or not.
 */
constexpr int kReadsBetweenChecks = 64;
constexpr std::uint64_t kMaximumFramingBytes = 64 * 1024;
/** The framing of a chunk with a single byte takes 5 to 20 bytes. */
constexpr std::uint64_t kFramingPerDeliveredByte = 32;

}  // namespace

bool framing_meter::IsCheckDue(std::uint64_t delivered) {
  const bool has_delivered = delivered != delivered_;
  delivered_ = delivered;
  if (has_delivered && ++unchecked_reads_ < kReadsBetweenChecks) return false;
  unchecked_reads_ = 0;
  return true;
}

bool framing_meter::Accepts(std::uint64_t received, std::uint64_t delivered) {
  if (!start_) {
    start_ = position{received, delivered};
    return true;
  }
  const std::uint64_t received_since = received - start_->received;
  const std::uint64_t delivered_since = delivered - start_->delivered;
  return received_since <= kMaximumFramingBytes +
                               delivered_since * (1 + kFramingPerDeliveredByte);
}

}  // namespace comfreyspring::net
