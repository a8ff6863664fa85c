#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/ids.h"
#include "core/time.h"
#include "origins/stream_origin.h"

namespace comfreyspring::origins {

/**
 * The software versions that each service had while streams of today may have
 * begun. Only a process that has watched for that long can tell.
 */
class version_history {
 public:
  /** @param now since then all endpoints are reported. */
  explicit version_history(core::time_point now) : watching_since_(now) {}

  /** An endpoint is listed, or its entry has changed. */
  void OnListed(const std::string& instance, stream_origin listed,
                core::time_point now);
  void OnGone(const std::string& instance, core::time_point now);

  /** @returns nothing if there were several, or earlier ones may be unknown. */
  std::optional<core::software_version> OnlyVersion(
      const core::service_id& service, core::time_point now) const;

 private:
  struct usage {
    int endpoints = 0;
    core::time_point last_used;
  };

  core::time_point watching_since_;
  std::map<std::string, stream_origin> listed_;
  std::map<core::service_id, std::map<core::software_version, usage>> versions_;
};

}  // namespace comfreyspring::origins
