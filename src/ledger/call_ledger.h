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
 * Owner of a key: the member with the greatest rendezvous weight in the epoch
 * that was in force when the key was created.
 * @returns nullopt if no kept epoch covers the key's timestamp.
 * @throws core::invalid_value_error if the key is not a UUIDv7.
 */
struct key_owner {
  core::endpoint_id endpoint;
  std::int64_t epoch = 0;
};
std::optional<key_owner> OwnerOfKey(const config::service_record& service,
                                    const core::idempotency_key& key);

/** The call runs now; it is recorded as accepted. */
struct run_call {};
/** A call with the same key has finished; this is its recorded response. */
struct replay_response {
  int status = 200;
  std::string content_type;
  std::string body;
};
/** A call with the same key is in progress; its response is sent to this
 * attempt as well. */
struct join_running {};
/** The call does not run. */
struct reject_call {
  core::outcome outcome = core::outcome::unknown;
  /** Machine-readable identifier, such as `key_older_than_record`,
   * `key_conflict`. */
  std::string reason;
  std::string message;
  core::milliseconds retry_after{0};
};
using ledger_decision =
    std::variant<run_call, replay_response, join_running, reject_call>;

struct ledger_options {
  core::endpoint_id own_endpoint;
  /** Start time of this process; a previous one may have run older keys. */
  core::wall_time started_at;
  core::milliseconds clock_skew{2000};
  core::milliseconds retention{3600 * 1000};
  /** At this number of records new keys are rejected as not run. */
  std::size_t maximum_records = 40000;
  /** Of a response with a longer body only the status is recorded. */
  std::size_t maximum_response_bytes = 64 * 1024;
};

/**
 * Records the non-repeatable calls of one endpoint. Performs no I/O and reads
 * no clock.
 */
class call_ledger {
 public:
  explicit call_ledger(ledger_options options);
  ~call_ledger();
  call_ledger(const call_ledger&) = delete;
  call_ledger& operator=(const call_ledger&) = delete;

  // Events.

  void OnConfiguration(std::shared_ptr<const config::configuration> current);
  /** Configuration versions reported by other agents of the service. */
  void OnPeerVersions(const wire::peer_versions& message, core::wall_time now);
  void OnVmRemoved(const core::vm_id& vm, core::wall_time now);
  /** Decides whether a submitted non-repeatable call runs. */
  ledger_decision OnSubmit(const wire::submit& message, core::wall_time now);
  /** From now on, bytes of the call may reach the service. */
  void OnDispatched(const core::idempotency_key& key);
  /** Records a response. @returns the attempts that wait for it. */
  std::vector<core::attempt_id> OnResponse(const core::idempotency_key& key,
                                           int status,
                                           const std::string& content_type,
                                           const std::string& body);
  /** A dispatched call got no response. @returns the attempts that wait. */
  std::vector<core::attempt_id> OnOutcomeUnknown(
      const core::idempotency_key& key);
  /**
   * The call was refused or withdrawn before it was dispatched. Its attempts
   * are recorded, so that their submits are rejected if they arrive again.
   * @returns the attempts that wait for the response.
   */
  std::vector<core::attempt_id> OnNotRun(const core::idempotency_key& key);
  /** Removes ended calls and refused attempts past their retention. */
  void OnTick(core::wall_time now);

  // State.

  std::size_t RecordCount() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::ledger
