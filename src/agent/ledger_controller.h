#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <vector>

#include "config/configuration.h"
#include "core/ids.h"
#include "core/time.h"
#include "ledger/call_ledger.h"
#include "net/event_loop.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

/**
 * Runs the call ledger of this endpoint on the event loop: supplies the wall
 * time, reports VMs that disappear from the VM list, and expires old records.
 */
class ledger_controller {
 public:
  ledger_controller(net::event_loop& loop, ledger::ledger_options options);
  ~ledger_controller();
  ledger_controller(const ledger_controller&) = delete;
  ledger_controller& operator=(const ledger_controller&) = delete;

  // Fleet state.

  void OnConfiguration(std::shared_ptr<const config::configuration> current);
  void OnPeerVersions(const wire::peer_versions& message);
  /** @param list the newest list that this agent has received. */
  void OnVmList(const wire::vm_list& list);

  // Calls.

  /** True for the non-idempotent service calls, which use the ledger. */
  static bool AppliesTo(const wire::submit& message);
  ledger::ledger_decision OnSubmit(const wire::submit& message);
  void OnDispatched(const wire::submit& message);
  std::vector<core::attempt_id> OnResponse(const wire::submit& message,
                                           int status,
                                           const std::string& content_type,
                                           const std::string& body);
  std::vector<core::attempt_id> OnOutcomeUnknown(const wire::submit& message);
  std::vector<core::attempt_id> OnNotRun(const wire::submit& message);

  nlohmann::json ToJson() const;

 private:
  net::event_loop& loop_;
  ledger::call_ledger ledger_;
  std::set<core::vm_id> known_vms_;
  net::timer_id tick_timer_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t replays_ = 0;
  std::uint64_t joins_ = 0;
  std::uint64_t rejections_ = 0;
};

}  // namespace comfreyspring::agent
