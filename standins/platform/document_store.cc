#include "standins/platform/document_store.h"

#include <utility>

namespace comfreyspring::standins {

std::int64_t document_store::Put(const std::string& key, std::string value) {
  values_[key] = {++revision_, std::move(value)};
  return revision_;
}

std::optional<stored_value> document_store::Get(const std::string& key) const {
  if (mode_ == service_mode::down) return std::nullopt;
  const value_map& visible =
      mode_ == service_mode::stale ? *snapshot_ : values_;
  const auto found = visible.find(key);
  if (found == visible.end()) return std::nullopt;
  return found->second;
}

void document_store::SetMode(service_mode mode) {
  if (mode == service_mode::stale && !snapshot_) snapshot_ = values_;
  mode_ = mode;
}

}  // namespace comfreyspring::standins
