#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "membership/endpoint_directory.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "wire/messages.h"

namespace comfreyspring::entry {

/** Owns the endpoint directory and updates it with the platform's VM list. */
class membership_controller {
 public:
  /** @param platform_url if empty, the VM list comes from agents only. */
  membership_controller(net::event_loop& loop, net::http_client_interface& http,
                        net::url platform_url, core::milliseconds poll_period);
  ~membership_controller();
  membership_controller(const membership_controller&) = delete;
  membership_controller& operator=(const membership_controller&) = delete;

  membership::endpoint_directory& Directory() { return directory_; }

  /** Sets the callback for each list that is newer than the last one. */
  void OnNewVmList(std::function<void(const wire::vm_list&)> callback);
  /** The platform is read only while `condition` returns true; otherwise agents
   * relay the list. */
  void SetReadCondition(std::function<bool()> condition);
  /** Applies a list if it is newer than the last one. */
  void UpdateVmList(const wire::vm_list& list);
  const wire::vm_list& VmList() const { return list_; }

  nlohmann::json ToJson() const;

 private:
  void SchedulePoll();
  void Poll();
  void OnPollResponse(const net::http_result& result);

  net::event_loop& loop_;
  net::http_client_interface& http_;
  net::url platform_url_;
  core::milliseconds poll_period_;
  membership::endpoint_directory directory_;
  wire::vm_list list_;
  std::function<void(const wire::vm_list&)> on_new_list_;
  std::function<bool()> read_condition_;
  net::timer_id timer_ = 0;
  net::http_call_id call_ = 0;
  bool platform_reachable_ = false;
};

}  // namespace comfreyspring::entry
