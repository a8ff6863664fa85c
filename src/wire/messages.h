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

/** Load and state of an endpoint as its agent sees it at sending time. */
struct endpoint_report {
  std::int64_t running = 0;
  std::int64_t waiting_urgent = 0;
  std::int64_t waiting_may_wait = 0;
  /** Wait that a new urgent request of average size would see. */
  core::milliseconds expected_wait{0};
  std::int64_t batch_limit = 0;
  bool draining = false;
  bool endpoint_up = false;
  /** Whether the adapter of the message at hand is loaded. */
  bool resident = false;
  /** Requests a second that this agent receives for that adapter. */
  double adapter_rate = 0.0;
  friend bool operator==(const endpoint_report&,
                         const endpoint_report&) = default;
};

/** First message in both directions of a new link. */
struct hello {
  core::process_id process;
  /** `entry` or `agent`. */
  std::string role;
  /** Start of the process, milliseconds since the Unix epoch. */
  std::int64_t instance_ms = 0;
  core::data_centre_id data_centre;
  core::config_version version;
  std::int64_t vm_list_revision = 0;
  /** Set by agents only. */
  std::optional<endpoint_report> report;
  friend bool operator==(const hello&, const hello&) = default;
};

/** Entry to agent; the agent answers with the same nonce. */
struct heartbeat {
  std::uint64_t nonce = 0;
  core::config_version version;
  std::int64_t vm_list_revision = 0;
  /** Age of this entry's last answer from the configuration service. */
  std::optional<std::int64_t> service_read_age_ms;
  /** Asks for the reader fields of the reply. */
  bool wants_readers = false;
  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

struct heartbeat_reply {
  std::uint64_t nonce = 0;
  core::config_version version;
  endpoint_report report;
  /** Age of the last answer of the service to any entry of this agent. */
  std::optional<std::int64_t> service_read_age_ms;
  /** Live entries of the asking entry's data centre. */
  std::vector<core::process_id> entries;
  friend bool operator==(const heartbeat_reply&,
                         const heartbeat_reply&) = default;
};

/** Asks for the manifest (`hash` empty) or for one part. */
struct config_request {
  std::optional<std::uint64_t> hash;
  friend bool operator==(const config_request&,
                         const config_request&) = default;
};

/**
 * A manifest or a part, checked by its hash on arrival. Without bytes: the
 * sender does not hold it.
 */
struct config_part {
  bool manifest = false;
  std::uint64_t hash = 0;
  std::string bytes;
  /** Hash of the request that this answers; nullopt for the manifest. */
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

/** The platform's lagging list of VMs. */
struct vm_list {
  std::int64_t revision = 0;
  std::vector<vm_entry> vms;
  friend bool operator==(const vm_list&, const vm_list&) = default;
};

/** Configuration that agents of the same service have reported. */
struct peer_version {
  core::endpoint_id endpoint;
  std::int64_t instance_ms = 0;
  core::config_version version;
  friend bool operator==(const peer_version&, const peer_version&) = default;
};

/** Entry to agent of a plain service: what its peers have reported. */
struct peer_versions {
  std::vector<peer_version> peers;
  friend bool operator==(const peer_versions&, const peer_versions&) = default;
};

/** Hands one attempt to an agent. */
struct submit {
  core::attempt_id attempt;
  core::request_kind kind = core::request_kind::completion;
  core::adapter_reference adapter;
  core::config_version version;
  core::priority_class priority = core::priority_class::urgent;
  /** Time left until the deadline when the message was sent. */
  core::milliseconds remaining{0};
  /** Wall-clock expiry; an agent refuses a submit that arrives later. */
  std::int64_t expires_unix_ms = 0;
  core::token_count expected_tokens;
  /** True if a second run does no harm. */
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

/** The agent holds the attempt in its queue. */
struct accepted {
  core::attempt_id attempt;
  endpoint_report report;
  friend bool operator==(const accepted&, const accepted&) = default;
};

/** A piece of the answer; sequences start at 0 and have no gaps. */
struct chunk {
  core::attempt_id attempt;
  std::uint64_t sequence = 0;
  std::string data;
  friend bool operator==(const chunk&, const chunk&) = default;
};

/** Final marker of an answer. */
struct finished {
  core::attempt_id attempt;
  std::uint64_t chunk_count = 0;
  /** Running Hash64 over the data of all chunks, see stream::ChunkChecksum. */
  std::uint64_t checksum = 0;
  core::adapter_reference adapter;
  /** HTTP status of a service call; 200 for a completion. */
  int status = 200;
  std::string content_type;
  core::token_count tokens;
  endpoint_report report;
  friend bool operator==(const finished&, const finished&) = default;
};

/** The attempt ends without a whole answer. */
struct refused {
  core::attempt_id attempt;
  core::outcome outcome = core::outcome::not_run;
  /** Fixed short name, such as `expected_wait_exceeds_deadline`. */
  std::string reason;
  std::string message;
  core::milliseconds retry_after{0};
  endpoint_report report;
  friend bool operator==(const refused&, const refused&) = default;
};

/** Asks the agent to give an attempt up. */
struct withdraw {
  core::attempt_id attempt;
  friend bool operator==(const withdraw&, const withdraw&) = default;
};

/** The agent confirms what became of a withdrawn attempt. */
struct withdrawn {
  core::attempt_id attempt;
  core::outcome outcome = core::outcome::unknown;
  friend bool operator==(const withdrawn&, const withdrawn&) = default;
};

/** Continues an answer on a new link from the given sequence. */
struct resume {
  core::attempt_id attempt;
  std::uint64_t next_sequence = 0;
  friend bool operator==(const resume&, const resume&) = default;
};

/** The agent takes no new work from now on. */
struct leaving {
  friend bool operator==(const leaving&, const leaving&) = default;
};

using message =
    std::variant<hello, heartbeat, heartbeat_reply, config_request, config_part,
                 vm_list, peer_versions, submit, accepted, chunk, finished,
                 refused, withdraw, withdrawn, resume, leaving>;

}  // namespace comfreyspring::wire
