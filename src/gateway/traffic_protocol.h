#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "catalog/endpoint_record.h"
#include "catalog/route.h"
#include "core/ids.h"
#include "core/time.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace comfreyspring::gateway {

/** What a caller says of its request. */
struct caller_request {
  core::request_id id;
  std::string host;
  /** Time that the caller waits, from the arrival of the request. */
  std::optional<core::milliseconds> time_limit;
  /** Both empty for a plain service; the adapter for the base model alone. */
  catalog::adapter_name adapter;
  std::int64_t prompt_tokens = 0;
  std::int64_t maximum_output_tokens = 0;
  /** Estimate of the caller; the maximum if it gives none. */
  std::int64_t expected_output_tokens = 0;
  /** Last event that the caller has; empty for a new stream. */
  std::string last_event;
};

/** What the system adds to a request that it passes on. */
struct forward_terms {
  core::network_address address;
  /** Another instance at that address refuses the request unrun. */
  catalog::instance_id instance;
  core::milliseconds time_left{0};
  /** Set for model engines: 0 is the most urgent. */
  std::optional<int> rank;
  /** An engine with another version refuses unrun; 0: any will do. */
  std::int64_t adapter_version = 0;
  /** The stream goes on after this event; empty: as the caller said. */
  std::string last_event;
};

/** What an endpoint's answer proves. */
struct answer_facts {
  /** The endpoint states that the request has not run there. */
  bool not_run = false;
  /** Another instance has the address, or it lacks the model or adapter. */
  bool misdirected = false;
  /** Made by the endpoint for this very request, and not re-encoded. */
  bool authentic = false;
  /** Made by the endpoint for another request: it came late, or twice. */
  bool for_another = false;
  /** The endpoint leaves, and takes no new requests before long. */
  bool leaving = false;
  /** The endpoint wants nothing from this gateway for a time ... */
  bool refuses_gateway = false;
  /** ... of this length, if it has given one that can be read. */
  std::optional<core::milliseconds> refusal_time;
  /** Idle time after which the endpoint closes the connection. */
  std::optional<core::seconds> idle_timeout;
};

/** A final answer of the system's own. */
struct own_answer {
  int status = 503;
  /** Machine-readable cause. */
  std::string type;
  std::string message;
  /** When to return; only for requests that have not run. */
  std::optional<core::milliseconds> retry_after;
};

/** Translates between callers, endpoints and the gateway. */
class traffic_protocol {
 public:
  virtual ~traffic_protocol() = default;

  virtual caller_request ReadRequest(
      const net::http_request& request) const = 0;
  virtual net::http_call MakeCall(const net::http_request& request,
                                  const forward_terms& terms) const = 0;
  virtual answer_facts ReadAnswer(int status, const net::header_map& headers,
                                  const core::request_id& id) const = 0;
  /** Headers of an endpoint's answer that are passed back. */
  virtual net::header_map AnswerHeaders(
      const net::header_map& headers) const = 0;
  virtual net::http_response MakeAnswer(const own_answer& answer,
                                        const core::request_id& id) const = 0;
};

}  // namespace comfreyspring::gateway
