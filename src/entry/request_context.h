#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "config/configuration.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"
#include "ledger/call_ledger.h"
#include "net/http_server.h"

namespace comfreyspring::entry {

/** Format of the response, according to the requested path. */
enum class response_format { chat, text, service };

/** State of a request in the filter chain; each filter sets its fields. */
struct request_context {
  std::shared_ptr<net::http_exchange> exchange;
  core::time_point received;
  core::wall_time received_wall_time;
  /** Configuration at arrival; every filter uses this one. */
  std::shared_ptr<const config::configuration> configuration;

  // request_id_filter
  core::request_id request;

  // parse_filter
  core::request_kind kind = core::request_kind::completion;
  response_format format = response_format::text;
  bool stream = false;
  /** `adapter` or `adapter@version`. */
  std::string requested_model;
  std::string prompt;
  std::int64_t maximum_tokens = 0;
  core::service_id service;
  std::string service_path;

  // resolve_filter
  core::model_id model;
  core::adapter_reference adapter;

  // priority_filter
  core::priority_class priority = core::priority_class::urgent;
  core::time_point deadline;

  // idempotency_filter
  bool idempotent = true;
  core::idempotency_key key;
  std::optional<ledger::key_owner> key_owner;
};

}  // namespace comfreyspring::entry
