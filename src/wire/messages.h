#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::wire {

/** Load and state of an endpoint when its agent sent the message. */
struct endpoint_report {
  std::int64_t running = 0;
  std::int64_t waiting_urgent = 0;
  std::int64_t waiting_may_wait = 0;
  /** Estimated queueing time of a new urgent request of average size. */
  core::milliseconds expected_wait{0};
  std::int64_t batch_limit = 0;
  bool draining = false;
  bool endpoint_up = false;
  /** Whether the adapter that the message refers to is loaded. */
  bool resident = false;
  /** Rate of requests that this agent receives for that adapter, per second. */
  double adapter_rate = 0.0;
  friend bool operator==(const endpoint_report&,
                         const endpoint_report&) = default;
};

/** First message on a new link, sent by both sides. */
struct hello {
  core::process_id process;
  /** `entry` or `agent`. */
  std::string role;
  /** Start time of the process in milliseconds since the Unix epoch. */
  std::int64_t instance_ms = 0;
  core::data_centre_id data_centre;
  core::config_version version;
  std::int64_t vm_list_revision = 0;
  /** Set by agents only. */
  std::optional<endpoint_report> report;
  friend bool operator==(const hello&, const hello&) = default;
};

/** Sent by an entry; the agent replies with the same nonce. */
struct heartbeat {
  std::uint64_t nonce = 0;
  core::config_version version;
  std::int64_t vm_list_revision = 0;
  /** Time since the configuration service last responded to this entry. */
  std::optional<std::int64_t> service_read_age_ms;
  /** Requests `service_read_age_ms` and `entries` in the reply. */
  bool wants_readers = false;
  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

struct heartbeat_reply {
  std::uint64_t nonce = 0;
  core::config_version version;
  endpoint_report report;
  /** Time since the service last responded to any entry known to the agent. */
  std::optional<std::int64_t> service_read_age_ms;
  /** Live entries in the data centre of the requesting entry. */
  std::vector<core::process_id> entries;
  friend bool operator==(const heartbeat_reply&,
                         const heartbeat_reply&) = default;
};

/** Requests the manifest (no `hash`) or the part with the given hash. */
struct config_request {
  std::optional<std::uint64_t> hash;
  friend bool operator==(const config_request&,
                         const config_request&) = default;
};

/**
 * The manifest or a part; the receiver verifies the hash. `bytes` is empty if
 * the sender does not have it.
 */
struct config_part {
  bool manifest = false;
  std::uint64_t hash = 0;
  std::string bytes;
  /** `hash` of the matching config_request; nullopt for the manifest. */
  std::optional<std::uint64_t> RequestedHash() const {
    return manifest ? std::nullopt : std::optional(hash);
  }
  friend bool operator==(const config_part&, const config_part&) = default;
};

enum class vm_state { live, leaving };

struct vm_entry {
  core::vm_id vm;
  vm_state state = vm_state::live;
  friend bool operator==(const vm_entry&, const vm_entry&) = default;
};

/** The platform's list of VMs, which may be out of date. */
struct vm_list {
  std::int64_t revision = 0;
  std::vector<vm_entry> vms;
  friend bool operator==(const vm_list&, const vm_list&) = default;
};

/** Configuration version reported by an agent of the same service. */
struct peer_version {
  core::endpoint_id endpoint;
  std::int64_t instance_ms = 0;
  core::config_version version;
  friend bool operator==(const peer_version&, const peer_version&) = default;
};

/** Sent by an entry to the agent of a plain service: versions of its peers. */
struct peer_versions {
  std::vector<peer_version> peers;
  friend bool operator==(const peer_versions&, const peer_versions&) = default;
};

/** Submits an attempt to an agent. */
struct submit {
  core::attempt_id attempt;
  core::request_kind kind = core::request_kind::completion;
  core::adapter_reference adapter;
  core::config_version version;
  core::priority_class priority = core::priority_class::urgent;
  /** Time until the deadline when the message was sent. */
  core::milliseconds remaining{0};
  /** Wall-clock expiry; the agent refuses a submit that arrives after it. */
  std::int64_t expires_unix_ms = 0;
  core::token_count expected_tokens;
  /** True if it is safe to run the request more than once. */
  bool idempotent = true;
  core::idempotency_key key;
  std::int64_t ownership_epoch = 0;
  core::service_id service;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  friend bool operator==(const submit&, const submit&) = default;
};

/** The agent has queued the attempt. */
struct accepted {
  core::attempt_id attempt;
  endpoint_report report;
  friend bool operator==(const accepted&, const accepted&) = default;
};

/** Part of a response; sequence numbers start at 0 and have no gaps. */
struct chunk {
  core::attempt_id attempt;
  std::uint64_t sequence = 0;
  std::string data;
  friend bool operator==(const chunk&, const chunk&) = default;
};

/** Marks the end of a complete response. */
struct finished {
  core::attempt_id attempt;
  std::uint64_t chunk_count = 0;
  /** Hash64 chained over the data of all chunks; see stream::ChunkChecksum. */
  std::uint64_t checksum = 0;
  core::adapter_reference adapter;
  /** HTTP status of a service call; 200 for a completion. */
  int status = 200;
  std::string content_type;
  core::token_count tokens;
  endpoint_report report;
  friend bool operator==(const finished&, const finished&) = default;
};

/** The attempt ended without a complete response. */
struct refused {
  core::attempt_id attempt;
  core::outcome outcome = core::outcome::not_run;
  /** Stable reason code, such as `expected_wait_exceeds_deadline`. */
  std::string reason;
  std::string message;
  core::milliseconds retry_after{0};
  endpoint_report report;
  friend bool operator==(const refused&, const refused&) = default;
};

/** Asks the agent to cancel an attempt. */
struct withdraw {
  core::attempt_id attempt;
  friend bool operator==(const withdraw&, const withdraw&) = default;
};

/** Reply to withdraw with the outcome of the attempt. */
struct withdrawn {
  core::attempt_id attempt;
  core::outcome outcome = core::outcome::unknown;
  friend bool operator==(const withdrawn&, const withdrawn&) = default;
};

/** Resumes a response on a new link from the given sequence number. */
struct resume {
  core::attempt_id attempt;
  std::uint64_t next_sequence = 0;
  friend bool operator==(const resume&, const resume&) = default;
};

/** Announces that the agent accepts no more work. */
struct leaving {
  friend bool operator==(const leaving&, const leaving&) = default;
};

using message =
    std::variant<hello, heartbeat, heartbeat_reply, config_request, config_part,
                 vm_list, peer_versions, submit, accepted, chunk, finished,
                 refused, withdraw, withdrawn, resume, leaving>;

}  // namespace comfreyspring::wire
