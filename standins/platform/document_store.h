#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace comfreyspring::standins {

/** How the configuration service behaves. */
enum class service_mode { normal, down, stale };

/** A value and the revision at which it was set. */
struct stored_value {
  std::int64_t revision = 0;
  std::string value;
};

/**
 * Values of the configuration service. One revision counter serves all keys,
 * so that a key's revision grows with each of its changes.
 */
class document_store {
 public:
  /** @returns the new revision; a stale service does not show it. */
  std::int64_t Put(const std::string& key, std::string value);
  /** The value that readers see in the present mode; nullopt if absent. */
  std::optional<stored_value> Get(const std::string& key) const;

  /**
   * A stale service shows the values of the moment it first became stale, so
   * that later stale periods show an ever older state.
   */
  void SetMode(service_mode mode);
  service_mode Mode() const { return mode_; }

 private:
  using value_map = std::map<std::string, stored_value>;

  value_map values_;
  std::optional<value_map> snapshot_;
  service_mode mode_ = service_mode::normal;
  std::int64_t revision_ = 0;
};

}  // namespace comfreyspring::standins
