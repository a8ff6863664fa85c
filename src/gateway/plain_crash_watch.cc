#include "gateway/plain_crash_watch.h"

#include <iterator>
#include <utility>

namespace comfreyspring::gateway {

bool plain_crash_watch::OnLost(
    const catalog::endpoint_record& endpoint,
    const std::vector<quarantine::suspected_part>& blamed,
    core::time_point now) {
  Forget(now);
  endpoint_losses& known = endpoints_[endpoint.instance];
  if (known.losses.size() < kMaximumLosses) {
    known.losses.push_back({now, blamed});
  }
  if (now - known.probed_at < kProbeInterval && !known.has_ended) return false;
  known.probed_at = now;
  return true;
}

std::optional<quarantine::crash_record> plain_crash_watch::OnProbed(
    const catalog::endpoint_record& endpoint, bool refused,
    core::time_point now) {
  Forget(now);
  const auto found = endpoints_.find(endpoint.instance);
  if (found == endpoints_.end()) return std::nullopt;
  const auto losses = std::move(found->second.losses);
  found->second.losses.clear();
  found->second.has_ended = refused;
  if (!refused || losses.empty()) return std::nullopt;
  quarantine::crash_record record{
      .crash = {core::process_id(endpoint.instance.Value()),
                endpoint.started_unix_ms},
      .age = core::ToMilliseconds(now - losses.front().at)};
  for (const loss& each : losses) {
    record.parts.insert(record.parts.end(), each.blamed.begin(),
                        each.blamed.end());
  }
  return record;
}

void plain_crash_watch::Forget(core::time_point now) {
  for (auto position = endpoints_.begin(); position != endpoints_.end();) {
    endpoint_losses& known = position->second;
    std::erase_if(known.losses, [now](const loss& each) {
      return now - each.at >= kLossMemory;
    });
    const bool is_over =
        known.losses.empty() && now - known.probed_at >= kProbeInterval;
    position = is_over ? endpoints_.erase(position) : std::next(position);
  }
}

}  // namespace comfreyspring::gateway
