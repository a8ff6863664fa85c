#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "catalog/catalog_source.h"
#include "core/ids.h"
#include "core/time.h"
#include "grants/grant_types.h"

namespace comfreyspring::grants {

// From a gateway to the agent of an engine.

/** First message on a link, and the gateway's sign of life. */
struct gateway_hello {
  core::process_id gateway;
  engine_config config;
  /** Time until the next one. */
  core::milliseconds next_in{0};
};
/** Asks for a grant; times are relative to the sending. */
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
  /** A caller that is refused returns after this at the latest. */
  core::milliseconds maximum_retry_after{0};
  /** Beyond this load of the engine the gateway asks elsewhere; 0: never. */
  double load_bound = 0.0;
};
struct grant_withdrawn {
  std::uint64_t number = 0;
};
struct run_started {
  std::uint64_t number = 0;
};
/** Streams of the engine are in a long pause now. */
struct streams_stalled {};
struct run_ended {
  std::uint64_t number = 0;
  bool adapter_missing = false;
};

// From the agent to a gateway.

/** The request waits; sent at once if it is neither granted nor refused. */
struct grant_queued {
  std::uint64_t number = 0;
};
struct grant_issued {
  std::uint64_t number = 0;
  std::int64_t version = 0;
  /** Part of the wait that was for the load of the adapter. */
  core::milliseconds waited_for_load{0};
};
struct grant_refused {
  std::uint64_t number = 0;
  refusal_reason reason = refusal_reason::wait_too_long;
  core::milliseconds retry_after{0};
  core::milliseconds expected_wait{0};
};
/** The agent's sign of life. The list of adapters is sent when it changes. */
struct status_report {
  engine_status status;
  bool has_adapters = false;
  /** Time until the next one. */
  core::milliseconds next_in{0};
  /** Place of the receiver among the gateways that may read the catalog. */
  std::size_t reader_rank = 0;
};

// Between gateways, by way of agents: what one has read of the catalog.

using catalog::change_batch;

using message =
    std::variant<gateway_hello, grant_request, grant_withdrawn, run_started,
                 run_ended, streams_stalled, grant_queued, grant_issued,
                 grant_refused, status_report, change_batch>;

/**
 * Encodes as one flat CBOR array: the kind of the message and its fields in
 * order, lists with their length in front.
 */
std::string Encode(const message& value);
/**
 * Fields that a newer sender appends are ignored.
 * @throws core::invalid_value_error on any other bytes.
 */
message Decode(std::string_view frame);

}  // namespace comfreyspring::grants
