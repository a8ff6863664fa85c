#include "entry/link_plan.h"

#include <map>

#include "placement/subset.h"

namespace comfreyspring::entry {
namespace {

/** Number of links to each remote data centre, for overflow and for the loss of
 * a data centre. */
constexpr std::size_t kLinksPerRemoteDataCentre = 8;

}  // namespace

std::vector<core::endpoint_id> PlanLinks(
    const config::configuration& current, const core::process_id& process,
    const core::data_centre_id& data_centre) {
  std::vector<core::endpoint_id> plan;
  std::map<core::data_centre_id, std::vector<core::endpoint_id>> remote;
  std::size_t own_engines = 0;
  for (const config::endpoint_record& record : current.endpoints) {
    const bool engine = record.kind == core::endpoint_kind::engine;
    if (engine && record.data_centre != data_centre) {
      remote[record.data_centre].push_back(record.endpoint);
      continue;
    }
    if (engine) ++own_engines;
    plan.push_back(record.endpoint);
  }
  const bool has_local_placement =
      own_engines >= placement::kMinimumLocalEngines;
  for (auto& [name, engines] : remote) {
    const auto linked = has_local_placement ? placement::DeterministicSubset(
                                                  process, std::move(engines),
                                                  kLinksPerRemoteDataCentre)
                                            : std::move(engines);
    plan.insert(plan.end(), linked.begin(), linked.end());
  }
  return plan;
}

}  // namespace comfreyspring::entry
