#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/configuration.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"
#include "wire/messages.h"

namespace comfreyspring::ledger {

/**
 * Owner of a key: rendezvous hash over the members of the epoch in force when
 * the key was made.
 * @returns nullopt if no kept epoch covers the key's time.
 * @throws core::invalid_value_error if the key is not a UUIDv7.
 */
struct key_home {
  core::endpoint_id endpoint;
  std::int64_t epoch = 0;
};
std::optional<key_home> HomeOfKey(const config::service_record& service,
                                  const core::idempotency_key& key);

/** Run the call now; it is recorded as accepted. */
struct run_call {};
/** The same key has finished; answer with this record. */
struct replay_response {
  int status = 200;
  std::string content_type;
  std::string body;
};
/** The same key is running; the answer goes to this attempt as well. */
struct join_running {};
/** Do not run. */
struct reject_call {
  core::outcome outcome = core::outcome::unknown;
  /** Fixed short name, such as `key_older_than_record`, `key_conflict`. */
  std::string reason;
  std::string message;
  core::milliseconds retry_after{0};
};
using ledger_decision =
    std::variant<run_call, replay_response, join_running, reject_call>;

struct ledger_options {
  core::endpoint_id own_endpoint;
  /** Start of this process: older keys may have run before it. */
  core::wall_time started_at;
  core::milliseconds clock_skew{2000};
  core::milliseconds retention{3600 * 1000};
  /** New keys are refused as not run when this many are recorded. */
  std::size_t maximum_records = 40000;
  /** Longer answers are recorded by status only. */
  std::size_t maximum_answer_bytes = 64 * 1024;
};

/** Record of the non-repeatable calls of one endpoint. Pure. */
class call_ledger {
 public:
  explicit call_ledger(ledger_options options);
  ~call_ledger();
  call_ledger(const call_ledger&) = delete;
  call_ledger& operator=(const call_ledger&) = delete;

  // Events.

  void OnConfiguration(std::shared_ptr<const config::configuration> current);
  /** What other agents of the service have reported, for the handover. */
  void OnPeerVersions(const wire::peer_versions& message, core::wall_time now);
  void OnVmRemoved(const core::vm_id& vm, core::wall_time now);
  /** Decides about a submit of a non-repeatable call. */
  ledger_decision OnSubmit(const wire::submit& message, core::wall_time now);
  /** Bytes may reach the service from now on. */
  void OnDispatched(const core::idempotency_key& key);
  /** The service has answered. @returns attempts that wait for the answer. */
  std::vector<core::attempt_id> OnResponse(const core::idempotency_key& key,
                                           int status,
                                           const std::string& content_type,
                                           const std::string& body);
  /** Dispatched, but no answer came. @returns attempts that wait. */
  std::vector<core::attempt_id> OnOutcomeUnknown(
      const core::idempotency_key& key);
  /** Not dispatched: refused or withdrawn in the queue. The attempt is
   * remembered, so that its submit is refused if it arrives again. */
  std::vector<core::attempt_id> OnNotRun(const core::idempotency_key& key);
  /** Drops records older than the retention. */
  void OnTick(core::wall_time now);

  // State.

  std::size_t RecordCount() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::ledger
