#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace comfreyspring::catalog {

/** How often a request of a route may run. */
enum class repeat_rule {
  /** A second run does no harm. */
  idempotent,
  /** At most one run for each attempt of a client. */
  non_idempotent,
};

/** A service that a route leads to, and its share of the requests. */
struct destination {
  core::service_id service;
  double weight = 1.0;
};

/** One rule of the configuration: which requests go where, and how. */
struct route {
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string prefix;
  repeat_rule repeats = repeat_rule::non_idempotent;
  /** The answer is a series of events. */
  bool streams = false;
  /** A broken stream may go on at another endpoint from its last event. */
  bool resumable = false;
  /** Longest time that a request may stay unanswered. */
  core::milliseconds timeout{0};
  /** Time to the first output that counts as prompt. */
  core::milliseconds first_output_target{0};
  /** Longest pause between two events that counts as prompt; 0: none set. */
  core::milliseconds event_gap_target{0};
  /** 0 is the most urgent. */
  int priority = 0;
  /** Endpoints to which one request may be sent. */
  int maximum_endpoints = 1;
  std::vector<destination> destinations;

  /** True if a second run of the request does no harm. */
  bool MayRepeat() const {
    return repeats == repeat_rule::idempotent || resumable;
  }
};

/** A base model that engines of a service can hold. */
struct model_profile {
  core::model_id model;
  double weights_mb = 0.0;
  double adapter_mb = 0.0;
  /** Adapters are named a1, a2 and so on up to this number. */
  std::size_t adapters = 0;
};

/** What the configuration says of the model engines of a service. */
struct engine_profile {
  /** Requests in one batch. */
  std::size_t batch_slots = 0;
  std::size_t adapter_slots = 0;
  /** Memory for prompts and output. */
  std::int64_t cache_tokens = 0;
  /** Tokens that one event of a stream holds. */
  std::int64_t tokens_per_event = 1;
  /** Memory for weights and adapters together. */
  double weights_mb = 0.0;
  std::vector<model_profile> models;
};

struct service {
  core::service_id id;
  /** Connections that one endpoint accepts from all callers. */
  std::size_t maximum_connections = 0;
  /** Empty for a plain service. */
  std::optional<engine_profile> engine;
};

/** What clients may send. */
struct client_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 4 * 1024 * 1024;
  core::milliseconds header_timeout{3000};
  core::milliseconds idle_timeout{15000};
};

/** One version of the operators' configuration. */
struct configuration {
  std::int64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  client_limits limits;
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

/** Newest announced version of each adapter that had more than its first. */
using adapter_versions = std::map<adapter_name, std::int64_t>;

}  // namespace comfreyspring::catalog
