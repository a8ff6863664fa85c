#include "sidecar/adapter_list_updates.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace comfreyspring::sidecar {

void adapter_list_updates::Complete(grants::status_report& report,
                                    core::time_point now) {
  const bool is_due =
      !sent_revision_ || now - whole_list_at_ >= kWholeListPeriod;
  if (!is_due && sent_revision_ == report.status.adapters_revision) return;
  std::set<catalog::adapter_name> current(report.status.adapters.begin(),
                                          report.status.adapters.end());
  std::set_difference(current.begin(), current.end(), sent_.begin(),
                      sent_.end(), std::back_inserter(report.adapters_added));
  std::set_difference(sent_.begin(), sent_.end(), current.begin(),
                      current.end(),
                      std::back_inserter(report.adapters_removed));
  const std::size_t changes =
      report.adapters_added.size() + report.adapters_removed.size();
  if (is_due || changes >= current.size()) {
    report.has_adapters = true;
    report.adapters_added.clear();
    report.adapters_removed.clear();
    whole_list_at_ = now;
  }
  sent_revision_ = report.status.adapters_revision;
  sent_ = std::move(current);
}

}  // namespace comfreyspring::sidecar
