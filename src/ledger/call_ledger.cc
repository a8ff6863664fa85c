#include "ledger/call_ledger.h"

#include <algorithm>
#include <cassert>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "core/error.h"
#include "core/hash.h"
#include "core/uuid.h"
#include "ledger/handover_tracker.h"

namespace comfreyspring::ledger {

namespace {

// Retry-after hint while a configuration or version report is propagating.
constexpr core::milliseconds kPropagationRetryDelay{1000};
// How long a refused attempt is kept. A submit on an old link cannot arrive
// later than this: agents refuse it after its expiry, normally far sooner.
constexpr core::milliseconds kRefusedAttemptRetention{600 * 1000};

enum class call_state { accepted, dispatched, finished, unknown };

struct call_record {
  call_state state = call_state::accepted;
  core::wall_time key_time;
  std::uint64_t fingerprint = 0;
  std::vector<core::attempt_id> waiting;
  int status = 0;
  std::string content_type;
  std::string body;
  bool response_kept = false;
};

struct refused_attempt {
  core::attempt_id attempt;
  core::wall_time refused_at;
};

std::uint64_t Fingerprint(const wire::submit& message) {
  std::uint64_t hash = 0;
  for (const std::string* part :
       {&message.service.Value(), &message.method, &message.path,
        &message.content_type, &message.body}) {
    hash = core::Hash64(*part, hash);
  }
  return hash;
}

reject_call RejectAsUnknown(std::string reason, std::string message) {
  return {.outcome = core::outcome::unknown,
          .reason = std::move(reason),
          .message = std::move(message)};
}

reject_call RejectAsNotRun(
    std::string reason, std::string message,
    core::milliseconds retry_after = core::milliseconds(0)) {
  return {.outcome = core::outcome::not_run,
          .reason = std::move(reason),
          .message = std::move(message),
          .retry_after = retry_after};
}

const config::ownership_epoch* EpochAt(const config::service_record& service,
                                       core::wall_time time) {
  const config::ownership_epoch* in_force = nullptr;
  for (const config::ownership_epoch& epoch : service.epochs) {
    if (epoch.effective_from_ms > core::UnixMilliseconds(time)) continue;
    if (in_force == nullptr || epoch.epoch > in_force->epoch) in_force = &epoch;
  }
  return in_force;
}

}  // namespace

std::optional<key_owner> OwnerOfKey(const config::service_record& service,
                                    const core::idempotency_key& key) {
  const auto* epoch = EpochAt(service, core::UuidV7Time(key.Value()));
  if (epoch == nullptr || epoch->members.empty()) return std::nullopt;
  return key_owner{OwnerInEpoch(*epoch, key), epoch->epoch};
}

struct call_ledger::impl {
  explicit impl(ledger_options settings)
      : options(std::move(settings)), handover(options.own_endpoint) {}

  ledger_options options;
  handover_tracker handover;
  std::shared_ptr<const config::configuration> current;
  std::unordered_map<core::idempotency_key, call_record> records;
  // Attempts that were reported as `not_run`, oldest first.
  std::deque<refused_attempt> refused_order;
  std::unordered_set<core::attempt_id> refused_attempts;
  // Greatest time seen: when the wall clock steps back, keys whose records were
  // removed must not become acceptable again.
  core::wall_time latest_time = core::wall_time::min();

  void AdvanceClock(core::wall_time now) {
    latest_time = std::max(latest_time, now);
  }

  bool IsBeyondRetention(core::wall_time key_time) const {
    return key_time < latest_time - options.retention;
  }

  void AddRefusedAttempt(const core::attempt_id& attempt) {
    if (!refused_attempts.insert(attempt).second) return;
    refused_order.push_back({attempt, latest_time});
    if (refused_order.size() > options.maximum_records) RemoveOldestRefused();
  }

  void RemoveOldestRefused() {
    refused_attempts.erase(refused_order.front().attempt);
    refused_order.pop_front();
  }

  ledger_decision Decide(const wire::submit& message, core::wall_time now) {
    if (refused_attempts.count(message.attempt) > 0) {
      return RejectAsNotRun("attempt_withdrawn",
                            "the attempt was refused or withdrawn earlier");
    }
    const auto found = records.find(message.key);
    if (found != records.end()) return DecideRepeat(found->second, message);
    core::wall_time key_time;
    try {
      key_time = core::UuidV7Time(message.key.Value());
    } catch (const core::invalid_value_error& failure) {
      return RejectAsNotRun("invalid_key", failure.what());
    }
    if (auto rejected = CheckAge(key_time, now)) return *rejected;
    if (auto rejected = CheckOwnership(message, key_time)) return *rejected;
    if (records.size() >= options.maximum_records) {
      return RejectAsNotRun(
          "ledger_full", "the ledger has reached its maximum number of records",
          kPropagationRetryDelay);
    }
    records[message.key] = {.key_time = key_time,
                            .fingerprint = Fingerprint(message),
                            .waiting = {message.attempt}};
    return run_call{};
  }

  ledger_decision DecideRepeat(call_record& record,
                               const wire::submit& message) {
    if (record.fingerprint != Fingerprint(message)) {
      return RejectAsNotRun(
          "key_conflict",
          "the key has already been used with a different request");
    }
    switch (record.state) {
      case call_state::accepted:
      case call_state::dispatched:
        if (std::find(record.waiting.begin(), record.waiting.end(),
                      message.attempt) == record.waiting.end()) {
          record.waiting.push_back(message.attempt);
        }
        return join_running{};
      case call_state::unknown:
        return RejectAsUnknown(
            "outcome_unknown",
            "the call was sent, but no response was received");
      case call_state::finished:
        break;
    }
    if (!record.response_kept) {
      return reject_call{
          .outcome = core::outcome::incomplete,
          .reason = "answer_not_kept",
          .message = "the call finished with status " +
                     std::to_string(record.status) +
                     "; its response was too large to be recorded"};
    }
    return replay_response{record.status, record.content_type, record.body};
  }

  std::optional<reject_call> CheckAge(core::wall_time key_time,
                                      core::wall_time now) const {
    if (key_time > now + options.clock_skew) {
      return RejectAsNotRun("key_time_in_future",
                            "the timestamp of the key is " +
                                std::to_string((key_time - now).count()) +
                                " ms in the future");
    }
    if (key_time <= options.started_at + options.clock_skew) {
      return RejectAsUnknown(
          "key_older_than_record",
          "the key may have run before this process started");
    }
    if (IsBeyondRetention(key_time)) {
      return RejectAsUnknown(
          "key_older_than_retention",
          "the key is older than the retention of the records");
    }
    return std::nullopt;
  }

  // A linear search is enough for the small number of services.
  const config::service_record* FindService(
      const core::service_id& wanted) const {
    if (current == nullptr) return nullptr;
    for (const auto& service : current->services) {
      if (service.service == wanted) return &service;
    }
    return nullptr;
  }

  std::optional<reject_call> CheckOwnership(const wire::submit& message,
                                            core::wall_time key_time) const {
    const config::service_record* service = FindService(message.service);
    if (service == nullptr) {
      return RejectAsNotRun(
          "not_home", "the configuration of this endpoint has no such service",
          kPropagationRetryDelay);
    }
    const auto owner = OwnerOfKey(*service, message.key);
    if (!owner) {
      return RejectAsUnknown(
          "epoch_not_kept",
          "no kept ownership epoch covers the timestamp of the key");
    }
    if (owner->endpoint != options.own_endpoint) {
      return RejectAsNotRun(
          "not_home", "the key is owned by endpoint " + owner->endpoint.Value(),
          kPropagationRetryDelay);
    }
    if (!handover.OwnershipConfirmed(service->service, owner->epoch)) {
      // The outcome is not `not_run`: by a newer configuration another endpoint
      // may own the key and may have run it.
      reject_call rejected =
          RejectAsUnknown("ownership_unconfirmed",
                          "ownership has not been confirmed by a majority of "
                          "the service members since this process started");
      rejected.retry_after = kPropagationRetryDelay;
      return rejected;
    }
    const auto since =
        handover.HandoverCompletedAt(*service, owner->epoch, message.key);
    // Twice the clock skew: between the creator of the key and the former
    // owner, and between the former owner and this endpoint.
    if (!since || (*since != core::wall_time::min() &&
                   key_time <= *since + 2 * options.clock_skew)) {
      return RejectAsUnknown("handover_incomplete",
                             "a former owner may have run the key");
    }
    return std::nullopt;
  }

  std::vector<core::attempt_id> SetFinalState(call_record& record,
                                              call_state state) {
    record.state = state;
    return std::exchange(record.waiting, {});
  }
};

call_ledger::call_ledger(ledger_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}

call_ledger::~call_ledger() = default;

void call_ledger::OnConfiguration(
    std::shared_ptr<const config::configuration> current) {
  assert(current != nullptr);
  impl_->handover.OnConfiguration(current);
  impl_->current = std::move(current);
}

void call_ledger::OnPeerVersions(const wire::peer_versions& message,
                                 core::wall_time now) {
  impl_->handover.OnPeerVersions(message, now);
}

void call_ledger::OnVmRemoved(const core::vm_id& vm, core::wall_time now) {
  impl_->handover.OnVmRemoved(vm, now);
}

ledger_decision call_ledger::OnSubmit(const wire::submit& message,
                                      core::wall_time now) {
  impl_->AdvanceClock(now);
  ledger_decision decision = impl_->Decide(message, now);
  const auto* rejected = std::get_if<reject_call>(&decision);
  if (rejected != nullptr && rejected->outcome == core::outcome::not_run) {
    impl_->AddRefusedAttempt(message.attempt);
  }
  return decision;
}

void call_ledger::OnDispatched(const core::idempotency_key& key) {
  const auto found = impl_->records.find(key);
  assert(found != impl_->records.end());
  assert(found->second.state == call_state::accepted);
  found->second.state = call_state::dispatched;
}

std::vector<core::attempt_id> call_ledger::OnResponse(
    const core::idempotency_key& key, int status,
    const std::string& content_type, const std::string& body) {
  const auto found = impl_->records.find(key);
  assert(found != impl_->records.end());
  call_record& record = found->second;
  record.status = status;
  record.response_kept = body.size() <= impl_->options.maximum_response_bytes;
  if (record.response_kept) {
    record.content_type = content_type;
    record.body = body;
  }
  return impl_->SetFinalState(record, call_state::finished);
}

std::vector<core::attempt_id> call_ledger::OnOutcomeUnknown(
    const core::idempotency_key& key) {
  const auto found = impl_->records.find(key);
  assert(found != impl_->records.end());
  return impl_->SetFinalState(found->second, call_state::unknown);
}

std::vector<core::attempt_id> call_ledger::OnNotRun(
    const core::idempotency_key& key) {
  const auto found = impl_->records.find(key);
  assert(found != impl_->records.end());
  std::vector<core::attempt_id> waiting = std::move(found->second.waiting);
  impl_->records.erase(found);
  for (const auto& attempt : waiting) impl_->AddRefusedAttempt(attempt);
  return waiting;
}

void call_ledger::OnTick(core::wall_time now) {
  impl_->AdvanceClock(now);
  for (auto entry = impl_->records.begin(); entry != impl_->records.end();) {
    const bool in_progress = entry->second.state == call_state::accepted ||
                             entry->second.state == call_state::dispatched;
    const bool drop =
        !in_progress && impl_->IsBeyondRetention(entry->second.key_time);
    entry = drop ? impl_->records.erase(entry) : std::next(entry);
  }
  while (!impl_->refused_order.empty() &&
         impl_->refused_order.front().refused_at + kRefusedAttemptRetention <
             impl_->latest_time) {
    impl_->RemoveOldestRefused();
  }
}

std::size_t call_ledger::RecordCount() const { return impl_->records.size(); }

}  // namespace comfreyspring::ledger
