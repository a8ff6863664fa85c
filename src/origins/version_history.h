#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "core/ids.h"
#include "core/time.h"
#include "origins/stream_origin.h"

namespace comfreyspring::origins {

/**
 * The software versions that each service had while the streams that last may
 * have begun. Only a process that has watched for that long knows them all.
 */
class version_history {
 public:
  /** @param now since then all endpoints are reported. */
  explicit version_history(core::time_point now) : watching_since_(now) {}

  /** An endpoint is listed, or its entry has changed. */
  void OnListed(const std::string& instance, stream_origin listed,
                core::time_point now);
  void OnGone(const std::string& instance, core::time_point now);

  /** Whether several versions are known, which others may have preceded. */
  bool HasSeveral(const core::service_id& service, core::time_point now) const;
  /** Whether there certainly was no more than one version. */
  bool HasOnlyOne(const core::service_id& service, core::time_point now) const;

 private:
  struct usage {
    int endpoints = 0;
    core::time_point last_used;
  };

  std::size_t CountVersions(const core::service_id& service,
                            core::time_point now) const;

  core::time_point watching_since_;
  std::map<std::string, stream_origin> listed_;
  std::map<core::service_id, std::map<core::software_version, usage>> versions_;
};

}  // namespace comfreyspring::origins
