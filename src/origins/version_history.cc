#include "origins/version_history.h"

#include <utility>

namespace comfreyspring::origins {

void version_history::OnListed(const std::string& instance,
                               stream_origin listed, core::time_point now) {
  const auto found = listed_.find(instance);
  if (found != listed_.end()) {
    if (found->second == listed) return;
    OnGone(instance, now);
  }
  ++versions_[listed.service][listed.version].endpoints;
  listed_.emplace(instance, std::move(listed));
}

void version_history::OnGone(const std::string& instance,
                             core::time_point now) {
  const auto found = listed_.find(instance);
  if (found == listed_.end()) return;
  auto& versions = versions_.at(found->second.service);
  usage& used = versions.at(found->second.version);
  --used.endpoints;
  used.last_used = now;
  std::erase_if(versions, [now](const auto& entry) {
    return entry.second.endpoints == 0 &&
           now - entry.second.last_used > kStreamMemory;
  });
  listed_.erase(found);
}

std::optional<core::software_version> version_history::OnlyVersion(
    const core::service_id& service, core::time_point now) const {
  const auto found = versions_.find(service);
  if (found == versions_.end() || now - watching_since_ < kStreamMemory) {
    return std::nullopt;
  }
  std::optional<core::software_version> only;
  for (const auto& [version, used] : found->second) {
    if (used.endpoints == 0 && now - used.last_used > kStreamMemory) continue;
    if (only) return std::nullopt;
    only = version;
  }
  return only;
}

}  // namespace comfreyspring::origins
