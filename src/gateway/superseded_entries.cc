#include "gateway/superseded_entries.h"

#include <algorithm>

namespace comfreyspring::gateway {

void superseded_entries::OnListed(const catalog::endpoint_record& record) {
  listed_[record.address][record.instance] = record.started_unix_ms;
}

void superseded_entries::OnGone(const catalog::endpoint_record& record) {
  const auto found = listed_.find(record.address);
  if (found == listed_.end()) return;
  found->second.erase(record.instance);
  if (found->second.empty()) listed_.erase(found);
}

void superseded_entries::OnReported(const std::string& ip,
                                    const core::service_id& service,
                                    std::int64_t started_unix_ms) {
  if (started_unix_ms == 0) return;
  reported_start& known = reported_[ip];
  // A report that was delayed must not bring an earlier start back.
  if (started_unix_ms < known.started_unix_ms) return;
  known = {service, started_unix_ms};
}

bool superseded_entries::IsSuperseded(
    const catalog::endpoint_record& record) const {
  if (record.started_unix_ms == 0) return false;
  const auto reported = reported_.find(record.address.ip);
  if (reported != reported_.end() &&
      reported->second.service == record.service &&
      reported->second.started_unix_ms > record.started_unix_ms) {
    return true;
  }
  const auto listed = listed_.find(record.address);
  return listed != listed_.end() &&
         std::any_of(listed->second.begin(), listed->second.end(),
                     [&](const auto& entry) {
                       return entry.second > record.started_unix_ms;
                     });
}

}  // namespace comfreyspring::gateway
