#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "catalog/route.h"

namespace comfreyspring::catalog {

/**
 * The configuration in force, with lookup by host and path. Immutable, so that
 * a request can keep the table with which it was matched.
 */
class route_table {
 public:
  explicit route_table(configuration content);

  std::int64_t Version() const { return content_.version; }
  const configuration& Content() const { return content_; }

  /**
   * Returns the route of `host` with the longest prefix of the path.
   * @param host value of the Host header, case-insensitive, with or without
   *     port.
   * @param target path and query as sent.
   * @returns null if no route matches.
   */
  const route* Match(std::string_view host, std::string_view target) const;

  /** @returns null if the configuration does not have the service. */
  const service* FindService(const core::service_id& id) const;

  /**
   * Selects a destination by weight, deterministically for each seed.
   * @returns null if the route has no destinations.
   */
  static const core::service_id* ChooseDestination(const route& matched,
                                                   std::uint64_t seed);

 private:
  configuration content_;
  /** Routes by host and prefix. */
  std::unordered_map<std::string,
                     std::unordered_map<std::string_view, const route*>>
      by_host_;
  std::map<core::service_id, const service*> services_;
};

}  // namespace comfreyspring::catalog
