#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "catalog/endpoint_record.h"
#include "core/ids.h"
#include "core/random_source.h"
#include "grants/messages.h"
#include "net/event_loop.h"
#include "net/frame_link.h"
#include "telemetry/event_log.h"

namespace comfreyspring::gateway {

struct sidecar_link_options {
  core::process_id gateway;
  /** Port on which the agents beside engines accept links. */
  std::uint16_t port = 0;
  core::milliseconds connect_timeout{400};
  /** Pause before a new attempt to connect. */
  core::milliseconds reconnect{200};
  /**
   * An agent that is silent for longer, or for so many times what it has
   * announced, is taken as lost.
   */
  core::milliseconds silence{600};
  int statuses_of_silence = 3;
  /** Own sign of life; less often with many agents, about 80 a second. */
  core::milliseconds hello_period{1000};
  core::milliseconds hello_period_per_link{12};
  core::milliseconds longest_hello_period{3000};
  /** Agents that pass on what gateways have read of the catalog. */
  std::size_t relays = 3;
  std::uint64_t random_seed = 1;
};

class sidecar_listener {
 public:
  virtual ~sidecar_listener() = default;
  virtual void OnSidecarLost(const std::string& ip) = 0;
  virtual void OnSidecarMessage(const std::string& ip,
                                const grants::message& value) = 0;
};

/**
 * One link to the agent of each engine, by the address of its VM; opened
 * again for as long as the engine is listed.
 */
class sidecar_links {
 public:
  sidecar_links(net::event_loop& loop, sidecar_link_options options,
                sidecar_listener& listener, telemetry::event_log& log);
  ~sidecar_links();
  sidecar_links(const sidecar_links&) = delete;
  sidecar_links& operator=(const sidecar_links&) = delete;

  /** Keeps a link to the agent at this address, with what it must know. */
  void AddOrUpdate(const std::string& ip, const grants::engine_facts& facts);
  void Forget(const std::string& ip);
  bool IsOpen(const std::string& ip) const;
  std::size_t OpenCount() const;
  std::size_t WantedCount() const { return peers_.size(); }
  /** @returns false if there is no open link. */
  bool Send(const std::string& ip, const grants::message& value);
  /** Sends to the agents that pass it on to all gateways. */
  void SendToRelays(const grants::message& value);
  /**
   * Place among the gateways that read the catalog; nothing while no relay
   * has told it.
   */
  std::optional<std::size_t> ReaderRank() const;
  /** The agent has not answered a message: the link is closed. */
  void OnUnanswered(const std::string& ip);
  /** All links may be dead after a pause: they must be heard again. */
  void OnPaused();

 private:
  struct peer {
    grants::engine_facts facts;
    std::shared_ptr<net::frame_link> link;
    bool open = false;
    core::time_point heard_at;
    core::time_point hello_at;
    core::time_point retry_at;
    /** Longest silence, after what the agent has announced. */
    core::milliseconds silence{0};
    std::size_t reader_rank = 0;
    /** Callbacks of earlier links are ignored. */
    std::uint64_t generation = 0;
  };

  void Connect(const std::string& ip, peer& target);
  void Lose(const std::string& ip, peer& target, const std::string& reason);
  void Receive(const std::string& ip, std::string_view frame);
  void Tick();
  void SendHello(peer& target);
  core::milliseconds HelloPeriod() const;
  void ChooseRelays();

  net::event_loop& loop_;
  sidecar_link_options options_;
  sidecar_listener& listener_;
  telemetry::event_log& log_;
  core::random_source random_;
  std::map<std::string, peer> peers_;
  /** Every gateway finds the same, as far as it has the same links. */
  std::vector<std::string> relays_;
  net::timer_id tick_timer_ = 0;
};

}  // namespace comfreyspring::gateway
