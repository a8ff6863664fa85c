#pragma once

#include <memory>

#include "membership/endpoint_directory.h"
#include "trace/trace_writer.h"

namespace comfreyspring::trace {

/** Forwards events to an endpoint_directory and records them in the trace. */
class recording_directory {
 public:
  /** `directory` and `writer` must outlive this object. Records nothing if
   * `writer` is null. */
  recording_directory(membership::endpoint_directory& directory,
                      trace_writer* writer)
      : directory_(directory), writer_(writer) {}
  recording_directory(const recording_directory&) = delete;
  recording_directory& operator=(const recording_directory&) = delete;

  void OnConfiguration(std::shared_ptr<const config::configuration> current);
  /** Records a list that the directory has already received. Does not forward
   * it. */
  void RecordVmList(const wire::vm_list& list);
  void OnHello(const core::endpoint_id& endpoint, const wire::hello& message,
               core::time_point now);
  void OnReport(const core::endpoint_id& endpoint,
                const wire::endpoint_report& report, core::time_point now);
  void OnVersion(const core::endpoint_id& endpoint,
                 core::config_version version);
  void OnLeaving(const core::endpoint_id& endpoint, core::time_point now);
  void OnLinkLost(const core::endpoint_id& endpoint, core::time_point now);
  void OnPause(core::time_point now);
  void OnWallTime(core::wall_time now);
  void SetHeartbeatLimit(core::milliseconds limit);

 private:
  membership::endpoint_directory& directory_;
  trace_writer* writer_;
};

}  // namespace comfreyspring::trace
