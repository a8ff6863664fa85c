#include "tenants/key_directory.h"

namespace comfreyspring::tenants {

key_directory::key_directory(const catalog::configuration& content)
    : requires_keys_(content.tenants.has_value()) {
  if (!requires_keys_) return;
  for (const catalog::tenant& tenant : *content.tenants) {
    for (const std::string& key : tenant.api_keys) {
      // An empty key would admit callers that send none.
      if (!key.empty()) by_key_.try_emplace(key, &tenant);
    }
  }
}

const catalog::tenant* key_directory::Find(const std::string& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

}  // namespace comfreyspring::tenants
