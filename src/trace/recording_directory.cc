#include "trace/recording_directory.h"

#include <utility>

#include "trace/router_format.h"

namespace comfreyspring::trace {

void recording_directory::OnConfiguration(
    std::shared_ptr<const config::configuration> current) {
  if (writer_ != nullptr) {
    for (const config::endpoint_record& record : current->endpoints) {
      writer_->WriteEvent(directory_endpoint{record});
    }
    for (const config::planned_stop& stop : current->stops) {
      writer_->WriteEvent(directory_planned_stop{stop});
    }
    writer_->WriteEvent(directory_configuration{current->version});
  }
  directory_.OnConfiguration(std::move(current));
}

void recording_directory::RecordVmList(const wire::vm_list& list) {
  if (writer_ == nullptr) return;
  directory_vm_list event;
  event.revision = list.revision;
  for (const wire::vm_entry& entry : list.vms) {
    const bool live = entry.state == wire::vm_state::live;
    (live ? event.live : event.leaving).push_back(entry.vm);
  }
  writer_->WriteEvent(event);
}

void recording_directory::OnHello(const core::endpoint_id& endpoint,
                                  const wire::hello& message,
                                  core::time_point now) {
  if (writer_ != nullptr) {
    writer_->WriteEvent(directory_hello{endpoint, message.instance_ms,
                                        message.version, message.report},
                        now);
  }
  directory_.OnHello(endpoint, message, now);
}

void recording_directory::OnReport(const core::endpoint_id& endpoint,
                                   const wire::endpoint_report& report,
                                   core::time_point now) {
  if (writer_ != nullptr) {
    writer_->WriteEvent(directory_report{endpoint, report}, now);
  }
  directory_.OnReport(endpoint, report, now);
}

void recording_directory::OnVersion(const core::endpoint_id& endpoint,
                                    core::config_version version) {
  if (writer_ != nullptr) {
    writer_->WriteEvent(directory_version{endpoint, version});
  }
  directory_.OnVersion(endpoint, version);
}

void recording_directory::OnLeaving(const core::endpoint_id& endpoint,
                                    core::time_point now) {
  if (writer_ != nullptr) {
    writer_->WriteEvent(directory_leaving{endpoint}, now);
  }
  directory_.OnLeaving(endpoint, now);
}

void recording_directory::OnLinkLost(const core::endpoint_id& endpoint,
                                     core::time_point now) {
  if (writer_ != nullptr) {
    writer_->WriteEvent(directory_link_lost{endpoint}, now);
  }
  directory_.OnLinkLost(endpoint, now);
}

void recording_directory::OnPause(core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(directory_pause{}, now);
  directory_.OnPause(now);
}

void recording_directory::OnWallTime(core::wall_time now) {
  if (writer_ != nullptr) writer_->WriteEvent(directory_wall_time{now});
  directory_.OnWallTime(now);
}

void recording_directory::SetHeartbeatLimit(core::milliseconds limit) {
  if (writer_ != nullptr) {
    writer_->WriteEvent(directory_heartbeat_limit{limit});
  }
  directory_.SetHeartbeatLimit(limit);
}

}  // namespace comfreyspring::trace
