#pragma once

#include <string>
#include <unordered_map>

#include "catalog/route.h"

namespace comfreyspring::tenants {

/** The API keys of one version of the configuration. Immutable. */
class key_directory {
 public:
  /**
   * @param content must outlive the directory. A key that several tenants list
   *     belongs to the first.
   */
  explicit key_directory(const catalog::configuration& content);

  /** @returns false if the configuration requires no keys. */
  bool RequiresKeys() const { return requires_keys_; }
  /** @returns null for a key that the configuration does not contain. */
  const catalog::tenant* Find(const std::string& key) const;

 private:
  bool requires_keys_ = false;
  std::unordered_map<std::string, const catalog::tenant*> by_key_;
};

}  // namespace comfreyspring::tenants
