#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/endpoint_directory.h"
#include "routing/request_router.h"
#include "trace/outcome_assertion.h"
#include "trace/router_format.h"

namespace comfreyspring::trace {

/** Replays recorded events into a new router and directory. */
class router_replayer {
 public:
  using subject = router_subject;

  router_replayer();
  /** The first event must be the options. @throws core::error */
  std::vector<routing::router_action> Apply(const router_subject::event& event,
                                            core::time_point now);
  /** @returns why the outcome is not met, or empty if it is met.
   * @throws core::error if it does not apply to a router. */
  std::string Check(const outcome_assertion& assertion) const;

 private:
  using actions = std::vector<routing::router_action>;
  struct sent_attempt {
    core::attempt_id attempt;
    core::endpoint_id endpoint;
    core::time_point at;
  };
  struct request_history {
    std::vector<sent_attempt> attempts;
    /** Every result of the request; more than one is an error. */
    std::vector<std::string> results;
    core::endpoint_id completed_by;
    routing::fail_request failure;
  };

  actions ApplyEvent(const routing::router_options& event,
                     core::time_point now);
  actions ApplyEvent(const routing::request_attributes& event,
                     core::time_point now);
  actions ApplyEvent(const router_caller_gone& event, core::time_point now);
  actions ApplyEvent(const wire::accepted& event, core::time_point now);
  actions ApplyEvent(const router_first_chunk& event, core::time_point now);
  actions ApplyEvent(const router_progress& event, core::time_point now);
  actions ApplyEvent(const wire::finished& event, core::time_point now);
  actions ApplyEvent(const wire::refused& event, core::time_point now);
  actions ApplyEvent(const wire::withdrawn& event, core::time_point now);
  actions ApplyEvent(const router_broken_answer& event, core::time_point now);
  actions ApplyEvent(const router_nothing_to_continue& event,
                     core::time_point now);
  actions ApplyEvent(const router_continuation_disallowed& event,
                     core::time_point now);
  actions ApplyEvent(const router_not_sent& event, core::time_point now);
  actions ApplyEvent(const router_endpoint_lost& event, core::time_point now);
  actions ApplyEvent(const router_tick& event, core::time_point now);
  actions ApplyEvent(const directory_endpoint& event, core::time_point now);
  actions ApplyEvent(const directory_planned_stop& event, core::time_point now);
  actions ApplyEvent(const directory_configuration& event,
                     core::time_point now);
  actions ApplyEvent(const directory_vm_list& event, core::time_point now);
  actions ApplyEvent(const directory_hello& event, core::time_point now);
  actions ApplyEvent(const directory_report& event, core::time_point now);
  actions ApplyEvent(const directory_version& event, core::time_point now);
  actions ApplyEvent(const directory_leaving& event, core::time_point now);
  actions ApplyEvent(const directory_link_lost& event, core::time_point now);
  actions ApplyEvent(const directory_pause& event, core::time_point now);
  actions ApplyEvent(const directory_wall_time& event, core::time_point now);
  actions ApplyEvent(const directory_heartbeat_limit& event,
                     core::time_point now);
  actions ApplyEvent(const end_of_recording& event, core::time_point now);

  void RecordAction(const routing::router_action& action, core::time_point now);
  std::string CheckRequest(const outcome_assertion& assertion) const;
  std::string CheckNoSubmit(const outcome_assertion& assertion) const;

  membership::endpoint_directory directory_;
  std::unique_ptr<routing::request_router> router_;
  config::configuration next_configuration_;
  std::unordered_map<core::request_id, request_history> requests_;
};

}  // namespace comfreyspring::trace
