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

/** One start of an endpoint; a restart is mostly a new instance. */
using instance_id = core::strong_id<struct instance_tag>;

/** A model that an engine holds, with its adapters. */
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
  /** Requests that it processes at once. */
  std::size_t slots = 1;
  /** It has announced that it leaves. */
  bool leaving = false;
  /** Start of the process, Unix milliseconds; 0 if it is not told. */
  std::int64_t started_unix_ms = 0;
  std::vector<loaded_model> models;
};

}  // namespace comfreyspring::catalog
