#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "catalog/catalog_source.h"
#include "core/ids.h"
#include "core/time.h"
#include "grants/grant_types.h"
#include "origins/stream_origin.h"
#include "overload/slot_types.h"

namespace comfreyspring::grants {

// From a gateway to the agent of an engine.

/** First message on a link; repeated as the gateway's heartbeat. */
struct gateway_hello {
  core::process_id gateway;
  engine_config config;
  /** Time until the next hello. */
  core::milliseconds next_in{0};
};
/** Requests a grant. Times are relative to the time of sending. */
struct grant_request {
  std::uint64_t number = 0;
  std::string request_id;
  catalog::adapter_name adapter;
  std::int64_t minimum_version = 0;
  int priority = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  core::milliseconds event_gap_target{0};
  core::milliseconds first_output_due_in{0};
  core::milliseconds deadline_in{0};
  /** A refused caller that retries does so within this time. */
  core::milliseconds maximum_retry_after{0};
  /**
   * Engine load above which the gateway would choose another engine; 0 if there
   * is no such limit.
   */
  double load_bound = 0.0;
  /** See `engine_request`. */
  bool isolated = false;
  std::vector<quarantine::suspected_part> blamed_parts;
  /**
   * Time until the end of the answer is due. 0: the engine may not refuse
   * because of it.
   */
  core::milliseconds answer_due_in{0};
};
struct grant_withdrawn {
  std::uint64_t number = 0;
};
struct run_started {
  std::uint64_t number = 0;
};
/** The engine's streams are currently stalled. */
struct streams_stalled {};
struct run_ended {
  std::uint64_t number = 0;
  bool adapter_missing = false;
  /**
   * The connection to the engine ended before the answer went on. Answered with
   * `run_checked`.
   */
  bool lost = false;
  /**
   * Output tokens forwarded after `run_started`; 0 if the run did not end well.
   */
  std::int64_t output_tokens = 0;
};
/**
 * Requests a permit for one request to an endpoint that limits its rate and
 * whose own agent cannot be asked. Answered like a grant request.
 */
struct permit_request {
  std::uint64_t number = 0;
  limits::endpoint_incarnation endpoint;
  /** The gateway does not reach the agent that counts first. */
  bool is_fallback = false;
  limits::request_rate rate;
  int priority = 0;
  core::milliseconds deadline_in{0};
  core::milliseconds maximum_retry_after{0};
};
/** What a response says about the request rate limit of its endpoint. */
struct limit_observed {
  limits::endpoint_incarnation endpoint;
  /** The endpoint is the agent's own engine. */
  bool own_engine = false;
  /** See `permit_request`. */
  bool is_fallback = false;
  /** Grant or permit of the request that was answered; 0 if there was none. */
  std::uint64_t number = 0;
  /** Nothing: the response names no limit. */
  std::optional<limits::request_rate> rate;
  /** Time since the response was received. */
  core::milliseconds age{0};
};
/**
 * Requests a lease for the requests of a tenant with a quota. Answered with
 * `quota_answer`.
 */
struct quota_ask {
  std::uint64_t number = 0;
  core::tenant_id tenant;
  /** The amount that is wanted, and the least that is of any use. */
  std::int64_t amount = 0;
  std::int64_t minimum = 0;
  /** The quota in the version of the configuration that the gateway knows. */
  double rate = 0.0;
  double burst = 0.0;
  std::int64_t configuration = 0;
  int priority = 0;
  /** The gateway does not reach the sidecar that counts first. */
  bool is_fallback = false;
  core::milliseconds deadline_in{0};
};

/**
 * Requests a slot at one of a plain service's endpoints. Answered with
 * `slot_issued`, or like a grant request.
 */
struct slot_ask {
  std::uint64_t number = 0;
  core::service_id service;
  int priority = 0;
  /** An answer to the caller after this time is late. */
  core::milliseconds answer_due_in{0};
  core::milliseconds deadline_in{0};
  core::milliseconds maximum_retry_after{0};
  std::vector<overload::slot_candidate> candidates;
};
/** The use of a slot has ended. */
struct slot_released {
  std::uint64_t number = 0;
  overload::slot_result result = overload::slot_result::unused;
};

/** Records the origin of a stream whose first event is passed on now. */
struct stream_began {
  origins::stream_key stream;
  origins::stream_origin origin;
};
/** Asks for the origin of a stream. Answered with `origin_answer`. */
struct origin_query {
  std::uint64_t number = 0;
  origins::stream_key stream;
};

// From the agent to a gateway.

/** The request may be sent to the endpoint. */
struct slot_issued {
  std::uint64_t number = 0;
  /** Index into the candidates of the ask. */
  std::size_t candidate = 0;
};
/**
 * The request is queued. Sent immediately if it was neither granted nor
 * refused.
 */
struct grant_queued {
  std::uint64_t number = 0;
};
struct grant_issued {
  std::uint64_t number = 0;
  std::int64_t version = 0;
  /** Part of the wait that was spent on loading the adapter. */
  core::milliseconds waited_for_load{0};
};
struct grant_refused {
  std::uint64_t number = 0;
  refusal_reason reason = refusal_reason::wait_too_long;
  core::milliseconds retry_after{0};
  core::milliseconds expected_wait{0};
};
/**
 * Status of the engine; also the agent's heartbeat. The list of adapters is
 * included only when it has changed.
 */
struct status_report {
  engine_status status;
  bool has_adapters = false;
  /** Changes of the adapters since the previous report of the link. */
  std::vector<catalog::adapter_name> adapters_added;
  std::vector<catalog::adapter_name> adapters_removed;
  /** Time until the next report. */
  core::milliseconds next_in{0};
  /** Rank of the receiving gateway among the readers of the catalog. */
  std::size_t reader_rank = 0;
  /** Number of `limit_observed` messages received on this link. */
  std::uint64_t limits_observed = 0;
};

/** Whether the engine of a lost run has ended. */
struct run_checked {
  std::uint64_t number = 0;
  bool engine_ended = false;
};

/** The limit of an endpoint whose requests this agent counts has changed. */
struct limit_notice {
  limits::endpoint_incarnation endpoint;
  /** Nothing: it has ended. */
  std::optional<limits::request_rate> rate;
};

struct quota_answer {
  std::uint64_t number = 0;
  core::tenant_id tenant;
  /** 0: refused. */
  std::int64_t granted = 0;
  /** Refused: the minimum would be available after this time. */
  core::milliseconds retry_after{0};
};

struct origin_answer {
  std::uint64_t number = 0;
  /** Nothing: the agent has no record of the stream. */
  std::optional<origins::stream_origin> origin;
};

// In both directions.

/** The sender has learnt of a crash, or more about a known one. */
struct crash_notice {
  quarantine::crash_record record;
};

// Catalog changes read by one gateway and relayed to the others by agents.

using catalog::change_batch;

using message =
    std::variant<gateway_hello, grant_request, grant_withdrawn, run_started,
                 run_ended, streams_stalled, permit_request, limit_observed,
                 grant_queued, grant_issued, grant_refused, status_report,
                 run_checked, limit_notice, crash_notice, change_batch,
                 quota_ask, quota_answer, slot_ask, slot_released, slot_issued,
                 stream_began, origin_query, origin_answer>;

/**
 * Encodes a message as one flat CBOR array: the message kind, then the fields
 * in order. Lists are preceded by their length.
 */
std::string Encode(const message& value);
/**
 * Decodes a message. Additional fields at the end, sent by newer versions, are
 * ignored.
 * @throws core::invalid_value_error if the frame is not a valid message.
 */
message Decode(std::string_view frame);

}  // namespace comfreyspring::grants
