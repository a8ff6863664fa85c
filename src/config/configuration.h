#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::config {

struct adapter_record {
  core::adapter_id adapter;
  core::model_id model;
  /** At least one. */
  std::vector<core::version_id> versions;
  /** Used if a request names no version; must be one of `versions`. */
  core::version_id default_version;
  core::priority_class priority = core::priority_class::urgent;
  /** Deadline of a request that specifies none. */
  core::milliseconds deadline{30000};
};

struct endpoint_record {
  core::endpoint_id endpoint;
  core::vm_id vm;
  core::endpoint_kind kind = core::endpoint_kind::engine;
  core::data_centre_id data_centre;
  std::string address;
  /** Port of the agent's WebSocket listener. */
  std::uint16_t agent_port = 0;
  /** Set for engines only. */
  core::model_id model;
  bool checks_fencing = false;
  /** Set for plain services only. */
  core::service_id service;
};

/** The members that own keys created at or after `effective_from_ms`. */
struct ownership_epoch {
  std::int64_t epoch = 0;
  /** Milliseconds since the Unix epoch. */
  std::int64_t effective_from_ms = 0;
  std::vector<core::endpoint_id> members;
};

struct service_record {
  core::service_id service;
  /** False if a call must be executed at most once. */
  bool repeatable = true;
  core::priority_class priority = core::priority_class::urgent;
  core::milliseconds deadline{10000};
  /** In ascending order of `epoch`; at most kMaximumEpochs. */
  std::vector<ownership_epoch> epochs;
};

/** A graceful shutdown that the operators have scheduled. */
struct planned_stop {
  core::endpoint_id endpoint;
  core::wall_time starts_at;
  core::wall_time ends_at;
  /** Maximum time for running work to finish. */
  core::seconds drain{60};
};

/**
 * One configuration set. Immutable once adopted; share it as
 * `shared_ptr<const configuration>`.
 */
class configuration {
 public:
  core::config_version version;
  std::int64_t published_ms = 0;
  std::vector<core::model_id> models;
  std::vector<adapter_record> adapters;
  std::vector<endpoint_record> endpoints;
  std::vector<service_record> services;
  std::vector<planned_stop> stops;

  /** Builds the lookup tables; call it after the lists are filled. */
  void Index();

  /** Lookups by id; valid after Index(). @returns nullptr if unknown. */
  const adapter_record* FindAdapter(const core::adapter_id& adapter) const;
  const endpoint_record* FindEndpoint(const core::endpoint_id& endpoint) const;
  const service_record* FindService(const core::service_id& service) const;

 private:
  std::unordered_map<core::adapter_id, std::size_t> adapter_index_;
  std::unordered_map<core::endpoint_id, std::size_t> endpoint_index_;
  std::unordered_map<core::service_id, std::size_t> service_index_;
};

}  // namespace comfreyspring::config
