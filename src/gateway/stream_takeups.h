#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "catalog/endpoint_table.h"
#include "core/ids.h"
#include "gateway/sidecar_links.h"
#include "grants/messages.h"
#include "net/event_loop.h"
#include "origins/origin_lookups.h"
#include "origins/origin_table.h"
#include "origins/version_history.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

namespace comfreyspring::gateway {

/** Where a stream that its caller takes up again may go on. */
struct takeup_decision {
  /** The version that began it cannot be found, and there may be several. */
  bool is_refused = false;
  /** Nothing: at any endpoint of the service. */
  std::optional<origins::stream_origin> origin;
};

/**
 * Records which software version began each stream, and finds it for streams
 * that callers take up again at this gateway. Owns the records of this gateway
 * and the open searches at sidecars.
 */
class stream_takeups {
 public:
  using decision_callback = std::function<void(const takeup_decision&)>;

  /** The referenced objects must outlive the object. */
  stream_takeups(net::event_loop& loop, telemetry::event_log& log,
                 telemetry::metrics& metrics);
  ~stream_takeups();
  stream_takeups(const stream_takeups&) = delete;
  stream_takeups& operator=(const stream_takeups&) = delete;

  /** @param links must outlive the last call. */
  void SetLinks(sidecar_links& links) { links_ = &links; }

  /** Call before the first event of a stream is passed on. */
  void OnBegan(const core::request_id& stream,
               const origins::stream_origin& origin);
  /**
   * Calls `on_decision` once, possibly before it returns, unless the object is
   * destroyed first.
   * @param request takes up ...
   * @param stream ... the stream of this request; empty if it names none.
   * @param service to which the route leads.
   */
  void Decide(const core::request_id& request, const core::request_id& stream,
              const core::service_id& service, decision_callback on_decision);

  void OnEndpoint(const catalog::endpoint_change& change);
  /** Ignores messages that do not concern origins. */
  void OnSidecarMessage(const std::string& ip, const grants::message& value);

 private:
  struct pending_decision {
    core::request_id request;
    core::request_id stream;
    core::service_id service;
    core::time_point started;
    decision_callback on_decision;
  };

  /** The sidecar soon cannot be asked any more. */
  bool IsLeaving(const std::string& ip) const;
  origins::origin_lookups::candidates FirstCandidates() const;
  void Perform(const origins::origin_lookups::actions& actions);
  void ScheduleTick();
  /** @param source where the origin was found, if it was. */
  void OnFound(const pending_decision& pending,
               const std::optional<origins::stream_origin>& origin,
               const char* source = "sidecar");

  net::event_loop& loop_;
  telemetry::event_log& log_;
  telemetry::metrics& metrics_;
  sidecar_links* links_ = nullptr;
  origins::origin_table own_;
  origins::version_history history_;
  origins::origin_lookups lookups_;
  std::map<std::uint64_t, pending_decision> pending_;
  /** Engines that leave, and the addresses of their sidecars. */
  std::map<catalog::instance_id, std::string> leaving_;
  std::uint64_t last_number_ = 0;
  net::timer_id tick_timer_ = 0;
};

}  // namespace comfreyspring::gateway
