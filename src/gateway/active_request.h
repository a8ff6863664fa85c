#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "catalog/route_table.h"
#include "core/ids.h"
#include "core/network_address.h"
#include "core/time.h"
#include "gateway/caller_admission.h"
#include "gateway/prompt_quarantine.h"
#include "gateway/retry_policy.h"
#include "gateway/traffic_protocol.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "quarantine/crash_evidence.h"
#include "stream/event_splitter.h"

namespace comfreyspring::gateway {

/** What a request waits for. */
enum class request_phase {
  /** For a grant or a permit. */
  waiting,
  sent,
  /** For whether the engine of the lost attempt has ended. */
  awaiting_verdict,
};

const char* ToString(request_phase phase);

/** A grant request that is open at a sidecar, or its grant. */
struct open_grant {
  catalog::instance_id endpoint;
  std::string sidecar_ip;
  std::uint64_t number = 0;
  core::time_point requested_at;
  /** The sidecar has confirmed that the grant request is in its queue. */
  bool queued = false;
};

/** One request of a caller. */
struct active_request {
  std::uint64_t number = 0;
  std::shared_ptr<net::http_exchange> exchange;
  request_metadata metadata;
  /** Owns `route`. */
  std::shared_ptr<const catalog::route_table> table;
  const catalog::route* route = nullptr;
  core::service_id service;
  core::time_point arrived;
  /** Time of the last output to the caller, or of the arrival. */
  core::time_point last_output;
  core::milliseconds first_event{0};
  core::milliseconds longest_gap{0};
  /** The final response is due by then. */
  core::time_point deadline;
  request_timeouts timeouts;

  request_phase state = request_phase::waiting;
  /** Endpoint of the current grant or permit request, or attempt. */
  catalog::instance_id endpoint;
  std::string sidecar_ip;
  /** Number of the current grant request or grant; 0 if there is none. */
  std::uint64_t grant_number = 0;
  core::time_point grant_requested_at;
  /** The sidecar has confirmed that the grant request is in its queue. */
  bool queued = false;
  /**
   * A sidecar refused because its engine was more loaded than this gateway
   * knew.
   */
  bool view_was_outdated = false;
  /** Part of the wait for the grant that was due to loading the adapter. */
  core::milliseconds load_wait{0};
  /** Of the engine that was asked last; see `engine_choice`. */
  double relative_speed = 1.0;
  std::optional<core::milliseconds> finish_in;
  int grant_requests = 0;
  /** The current grant request is one for a permit. */
  bool awaits_permit = false;
  /** The next attempt has a permit. */
  bool has_permit = false;
  /** Number of the permit of the current attempt; 0 if there is none. */
  std::uint64_t permit_number = 0;
  /** Number of the ask for a slot, or of the slot; 0 if there is none. */
  std::uint64_t slot_number = 0;

  /**
   * The request may end its engine, so it runs at the one engine that this
   * part selects; nothing if it may run at any.
   */
  std::optional<core::prompt_part_id> isolation;
  bool grant_is_isolated = false;
  /** See `prompt_quarantine`. */
  prompt_quarantine::part_list suspects;
  /** What is blamed if the engine of the current grant ends. */
  std::vector<quarantine::suspected_part> blamed_parts;
  /** Engines that ended before the answer went on. */
  int engines_ended = 0;
  /** The answer of the current attempt has gone on. */
  bool answer_went_on = false;
  /** Lost grant on which the sidecar's verdict is awaited, and until when. */
  std::uint64_t lost_number = 0;
  core::time_point verdict_due;

  /**
   * Requested because the current attempt is silent. The attempt is given up
   * once this grant is issued, so that it goes on if no other engine takes
   * the request.
   */
  std::optional<open_grant> standby;
  /** No standby is requested before. */
  core::time_point standby_due;
  /** Endpoints that refused to take over during the current silence. */
  std::set<catalog::instance_id> refused_standby;

  net::http_call_id call = 0;
  core::time_point sent_at;
  core::time_point last_progress;
  /** The sidecar has been told that the granted run has produced output. */
  bool run_started_sent = false;
  int attempts = 0;
  /**
   * Endpoints that may have received the request, with the addresses that it
   * was sent to.
   */
  std::map<catalog::instance_id, core::network_address> used;
  /** The current attempt is the first at its endpoint. */
  bool is_first_at_endpoint = false;
  std::set<catalog::instance_id> excluded;
  /** Only endpoints in `used` may be chosen. */
  bool restricted = false;
  bool may_have_run = false;
  /** Of the software of the endpoint of the current attempt. */
  core::software_version attempt_version;
  /** The version that began the stream: no other one may go on with it. */
  std::optional<core::software_version> stream_version;

  // Response of the current attempt.
  int status = 0;
  net::header_map headers;
  response_metadata response;
  bool forwards_events = false;
  /** Of the last complete attempt. */
  net::body_end body_end = net::body_end::framed;
  std::string body;
  stream::event_splitter events;
  /** Comments and empty lines since the last event. */
  std::size_t bytes_between_events = 0;
  /** The endpoint waits until the caller has read more. */
  bool is_held = false;
  /** Fewest bytes that were pending since then, and since when. */
  std::size_t unread_bytes = 0;
  core::time_point caller_read_at;

  // Response to the caller.
  bool response_started = false;
  /** Of the stream that has been started. */
  std::string content_type;
  std::size_t events_sent = 0;
  /** Events of earlier attempts. */
  std::size_t events_before_attempt = 0;
  /** An error response of an endpoint, returned if all retries fail. */
  std::optional<net::http_response> fallback;
  std::optional<core::milliseconds> retry_after;
  std::string refusal;

  admitted_caller caller;

  /** The caller has a part of the stream already. */
  bool TakesUpStream() const {
    return route->streams && route->resumable && !metadata.last_event.empty();
  }
  /** The caller may take the stream up again if it breaks. */
  bool BeginsResumableStream() const {
    return route->streams && route->resumable && metadata.last_event.empty();
  }
  /** Its software fits what the caller has of the stream. */
  bool MayContinueAt(const catalog::endpoint_record& record) const {
    return !stream_version || record.version == *stream_version;
  }
};

}  // namespace comfreyspring::gateway
