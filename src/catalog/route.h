#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace comfreyspring::catalog {

/** Whether a request of a route may be executed more than once. */
enum class retry_rule {
  /** Repeated execution is harmless. */
  idempotent,
  /** At most one execution per attempt of a client. */
  non_idempotent,
};

/** A service that receives a share of a route's requests. */
struct destination {
  core::service_id service;
  double weight = 1.0;
};

/** A routing rule of the configuration. */
struct route {
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string prefix;
  retry_rule retries = retry_rule::non_idempotent;
  /** The response is a stream of events. */
  bool streams = false;
  /**
   * An interrupted stream may be resumed at another endpoint after its last
   * event.
   */
  bool resumable = false;
  /** Longest time for which a request may remain unanswered. */
  core::milliseconds timeout{0};
  /** Target for the time to the first output. */
  core::milliseconds first_output_target{0};
  /** Target for the longest gap between two events; 0 if there is none. */
  core::milliseconds event_gap_target{0};
  /** 0 is the most urgent. */
  int priority = 0;
  /** Callers need no API key. */
  bool is_public = false;
  /** Maximum number of endpoints to which one request is sent. */
  int maximum_endpoints = 1;
  std::vector<destination> destinations;

  /** Returns true if repeated execution of the request is harmless. */
  bool MayRetry() const {
    return retries == retry_rule::idempotent || resumable;
  }
  bool LeadsTo(const core::service_id& service) const {
    return std::any_of(
        destinations.begin(), destinations.end(),
        [&](const destination& each) { return each.service == service; });
  }
};

/** A base model that the engines of a service can load. */
struct model_profile {
  core::model_id model;
  double weights_mb = 0.0;
  double adapter_mb = 0.0;
  /** Number of adapters, which are named a1, a2 and so on. */
  std::size_t adapters = 0;
};

/** Properties of the model engines of a service. */
struct engine_profile {
  /** Number of requests in one batch. */
  std::size_t batch_slots = 0;
  std::size_t adapter_slots = 0;
  /** Cache capacity for prompts and output. */
  std::int64_t cache_tokens = 0;
  /** Number of tokens per event of a stream. */
  std::int64_t tokens_per_event = 1;
  /** Memory for weights and adapters together. */
  double weights_mb = 0.0;
  std::vector<model_profile> models;
};

struct service {
  core::service_id id;
  /** Number of connections that one endpoint accepts in total. */
  std::size_t maximum_connections = 0;
  /** Not set for services without model engines. */
  std::optional<engine_profile> engine;
};

/** Limits on the requests of clients. */
struct client_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 4 * 1024 * 1024;
  core::milliseconds header_timeout{3000};
  core::milliseconds idle_timeout{15000};
};

/** What a tenant's requests may use over all gateways together. */
struct tenant_quota {
  enum class unit { requests, tokens };
  unit counted_in = unit::requests;
  /** Units a second; 0 if there is no limit. */
  double rate = 0.0;
  /** Units beyond the rate that may be used at once. */
  double burst = 0.0;
  /** Units of a request that names no tokens; only used for tokens. */
  double plain_tokens = 0.0;

  bool IsLimited() const { return rate > 0.0; }
};

/** A tenant and the keys by which its callers are known. */
struct tenant {
  core::tenant_id id;
  std::vector<std::string> api_keys;
  /** Replaces the priority of the routes. */
  std::optional<int> priority;
  tenant_quota quota;
};

/** One version of the operators' configuration. */
struct configuration {
  std::int64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  client_limits limits;
  /** Not set if callers need no keys. */
  std::optional<std::vector<tenant>> tenants;
};

/** Identifies an adapter across models. */
struct adapter_name {
  core::model_id model;
  core::adapter_id adapter;
  // clang-tidy 14 mistakes the compiler's own comparison with 0 for a pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const adapter_name&, const adapter_name&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

/** Newest announced version of each adapter that has been updated. */
using adapter_versions = std::map<adapter_name, std::int64_t>;

}  // namespace comfreyspring::catalog
