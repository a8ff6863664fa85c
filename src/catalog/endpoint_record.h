#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/network_address.h"
#include "core/time.h"

namespace comfreyspring::catalog {

/**
 * Identifies one run of an endpoint. A restart usually creates a new instance.
 */
using instance_id = core::strong_id<struct instance_tag>;

/** A model that an engine has loaded, with its adapters. */
struct loaded_model {
  core::model_id model;
  struct loaded_adapter {
    core::adapter_id adapter;
    std::int64_t version = 1;
  };
  std::vector<loaded_adapter> adapters;
};

/** What an endpoint publishes about itself. */
struct endpoint_record {
  instance_id instance;
  core::service_id service;
  core::network_address address;
  core::data_centre_id data_centre;
  /** Of its software, not of its models; empty if it names none. */
  core::software_version version;
  /** Number of requests that it processes concurrently. */
  std::size_t slots = 1;
  /** It has announced that it is shutting down. */
  bool leaving = false;
  /** Start time of the process, Unix milliseconds; 0 if unknown. */
  std::int64_t started_unix_ms = 0;
  std::vector<loaded_model> models;
};

}  // namespace comfreyspring::catalog
