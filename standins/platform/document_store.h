#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace comfreyspring::standins {

/** Operating mode of the simulated configuration service. */
enum class service_mode { normal, down, stale };

/** A value and the revision of its last write. */
struct stored_value {
  std::int64_t revision = 0;
  std::string value;
};

/**
 * Key-value store of the configuration service. All keys share one revision
 * counter, so a key's revision increases with each write to it.
 */
class document_store {
 public:
  /** @returns the new revision; reads in stale mode do not return it. */
  std::int64_t Put(const std::string& key, std::string value);
  /** Value visible in the current mode; nullopt if absent or in down mode. */
  std::optional<stored_value> Get(const std::string& key) const;

  /**
   * Stale mode serves a snapshot taken when it is first entered. Later stale
   * periods serve the same snapshot, which is older each time.
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
