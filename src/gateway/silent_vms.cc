#include "gateway/silent_vms.h"

#include <algorithm>

namespace comfreyspring::gateway {

void silent_vms::OnSidecarSilent(const std::string& ip) { silent_.insert(ip); }

void silent_vms::OnHeard(const std::string& ip) { silent_.erase(ip); }

void silent_vms::OnGone(const std::string& ip) { silent_.erase(ip); }

void silent_vms::LeaveOut(endpoint_views& candidates) const {
  if (silent_.empty()) return;
  const auto is_silent = [this](const endpoint_view* view) {
    return IsSilent(view->record.address.ip);
  };
  if (std::all_of(candidates.begin(), candidates.end(), is_silent)) return;
  std::erase_if(candidates, is_silent);
}

}  // namespace comfreyspring::gateway
