#include "origins/version_history.h"

#include <algorithm>
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

bool version_history::HasSeveral(const core::service_id& service,
                                 core::time_point now) const {
  return CountVersions(service, now) > 1;
}

bool version_history::HasOnlyOne(const core::service_id& service,
                                 core::time_point now) const {
  return now - watching_since_ >= kStreamMemory &&
         CountVersions(service, now) == 1;
}

std::size_t version_history::CountVersions(const core::service_id& service,
                                           core::time_point now) const {
  const auto found = versions_.find(service);
  if (found == versions_.end()) return 0;
  const auto counts = [now](const auto& entry) {
    return entry.second.endpoints > 0 ||
           now - entry.second.last_used <= kStreamMemory;
  };
  return static_cast<std::size_t>(
      std::count_if(found->second.begin(), found->second.end(), counts));
}

}  // namespace comfreyspring::origins
