#include "catalog/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "core/random_source.h"

namespace comfreyspring::catalog {
namespace {

std::string NormalHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos &&
      host.find_first_not_of("0123456789", colon + 1) ==
          std::string_view::npos) {
    host = host.substr(0, colon);
  }
  std::string normal(host);
  std::transform(
      normal.begin(), normal.end(), normal.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return normal;
}

}  // namespace

route_table::route_table(configuration content) : content_(std::move(content)) {
  for (const route& entry : content_.routes) {
    by_host_[NormalHost(entry.host)][entry.prefix] = &entry;
  }
  for (const service& entry : content_.services) services_[entry.id] = &entry;
}

const route* route_table::Match(std::string_view host,
                                std::string_view target) const {
  const auto found = by_host_.find(NormalHost(host));
  if (found == by_host_.end()) return nullptr;
  std::string_view path = target.substr(0, target.find('?'));
  // Prefixes end with a slash, so only paths cut after a slash can match.
  while (true) {
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) return nullptr;
    path = path.substr(0, slash + 1);
    const auto matched = found->second.find(path);
    if (matched != found->second.end()) return matched->second;
    path = path.substr(0, slash);
  }
}

const service* route_table::FindService(const core::service_id& id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : found->second;
}

const core::service_id* route_table::ChooseDestination(const route& matched,
                                                       std::uint64_t seed) {
  double total = 0.0;
  for (const destination& each : matched.destinations) total += each.weight;
  if (matched.destinations.empty()) return nullptr;
  double position = core::random_source(seed).NextUnit() * total;
  for (const destination& each : matched.destinations) {
    position -= each.weight;
    if (position < 0.0) return &each.service;
  }
  return &matched.destinations.back().service;
}

}  // namespace comfreyspring::catalog
