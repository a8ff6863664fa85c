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
 * The configuration in force, with lookup by host and path. Immutable: a
 * request keeps the table that it was matched with.
 */
class route_table {
 public:
  explicit route_table(configuration content);

  std::int64_t Version() const { return content_.version; }
  const configuration& Content() const { return content_; }

  /**
   * The route of `host` with the longest prefix that begins the path.
   * @param host value of the header, with or without a port, in any case.
   * @param target path and query as sent.
   * @returns null if no route matches.
   */
  const route* Match(std::string_view host, std::string_view target) const;

  /** @returns null if the configuration does not have the service. */
  const service* FindService(const core::service_id& id) const;

  /** The destination of a request, by weight; the same for the same seed. */
  static const core::service_id* ChooseDestination(const route& matched,
                                                   std::uint64_t seed);

 private:
  configuration content_;
  /** Routes of a host by prefix. */
  std::unordered_map<std::string,
                     std::unordered_map<std::string_view, const route*>>
      by_host_;
  std::map<core::service_id, const service*> services_;
};

}  // namespace comfreyspring::catalog
