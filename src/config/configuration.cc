#include "config/configuration.h"

#include <cstddef>

namespace comfreyspring::config {
namespace {

template <class Record, class Id>
const Record* Find(const std::unordered_map<Id, std::size_t>& index,
                   const std::vector<Record>& records, const Id& id) {
  const auto found = index.find(id);
  return found == index.end() ? nullptr : &records[found->second];
}

}  // namespace

void configuration::Index() {
  adapter_index_.clear();
  endpoint_index_.clear();
  service_index_.clear();
  adapter_index_.reserve(adapters.size());
  endpoint_index_.reserve(endpoints.size());
  service_index_.reserve(services.size());
  for (std::size_t at = 0; at < adapters.size(); ++at) {
    adapter_index_.emplace(adapters[at].adapter, at);
  }
  for (std::size_t at = 0; at < endpoints.size(); ++at) {
    endpoint_index_.emplace(endpoints[at].endpoint, at);
  }
  for (std::size_t at = 0; at < services.size(); ++at) {
    service_index_.emplace(services[at].service, at);
  }
}

const adapter_record* configuration::FindAdapter(
    const core::adapter_id& adapter) const {
  return Find(adapter_index_, adapters, adapter);
}

const endpoint_record* configuration::FindEndpoint(
    const core::endpoint_id& endpoint) const {
  return Find(endpoint_index_, endpoints, endpoint);
}

const service_record* configuration::FindService(
    const core::service_id& service) const {
  return Find(service_index_, services, service);
}

}  // namespace comfreyspring::config
