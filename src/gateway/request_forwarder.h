#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "catalog/catalog_follower.h"
#include "core/random_source.h"
#include "gateway/traffic_protocol.h"
#include "grants/messages.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "settings/node_settings.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

namespace comfreyspring::gateway {

class sidecar_links;

/**
 * The requests of one gateway, from arrival to final answer.
 *
 * Each request is in one of three states: it waits for a grant, it was sent
 * to an endpoint, or its stream is being passed on. It ends with exactly one
 * final answer: the endpoint's, one of its own, or a broken connection after
 * a part of a stream that cannot go on.
 */
class request_forwarder {
 public:
  /** The referenced objects must outlive the forwarder. */
  request_forwarder(net::event_loop& loop,
                    const settings::node_settings& settings,
                    const traffic_protocol& protocol,
                    net::http_client_interface& http,
                    const catalog::catalog_follower& follower,
                    telemetry::event_log& log, telemetry::metrics& metrics);
  ~request_forwarder();
  request_forwarder(const request_forwarder&) = delete;
  request_forwarder& operator=(const request_forwarder&) = delete;

  /** Must be set before the first request. */
  void SetLinks(sidecar_links& links);

  // Events.

  void OnRequest(std::shared_ptr<net::http_exchange> exchange);
  void OnEndpoint(const catalog::endpoint_change& change);
  void OnConfiguration(
      const std::shared_ptr<const catalog::route_table>& table);
  /** The process was paused: what it waits for may have come meanwhile. */
  void OnPaused();
  void OnSidecarLost(const std::string& ip);
  void OnSidecarMessage(const std::string& ip, const grants::message& value);

  /** From now on callers are told to close their connections. */
  void BeginDrain();
  /** From now on new requests are refused, so that they return elsewhere. */
  void RefuseNew();

  // State.

  std::size_t ActiveCount() const;
  void UpdateMetrics();
  /** State of the process for operators, as JSON text. */
  std::string Dump() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::gateway
