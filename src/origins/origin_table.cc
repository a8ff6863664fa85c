#include "origins/origin_table.h"

namespace comfreyspring::origins {

void origin_table::Add(const stream_key& stream, stream_origin origin,
                       core::time_point now) {
  while (!expiries_.empty() && (expiries_.front().first <= now ||
                                expiries_.size() >= kMaximumRecords)) {
    RemoveOldest();
  }
  const auto expires_at = now + kStreamMemory;
  records_[stream] = {std::move(origin), expires_at};
  expiries_.emplace_back(expires_at, stream);
}

std::optional<stream_origin> origin_table::Find(const stream_key& stream,
                                                core::time_point now) const {
  const auto found = records_.find(stream);
  if (found == records_.end() || found->second.expires_at <= now) {
    return std::nullopt;
  }
  return found->second.origin;
}

void origin_table::RemoveOldest() {
  const auto [expires_at, stream] = expiries_.front();
  expiries_.pop_front();
  const auto found = records_.find(stream);
  if (found != records_.end() && found->second.expires_at == expires_at) {
    records_.erase(found);
  }
}

}  // namespace comfreyspring::origins
