#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "catalog/endpoint_record.h"
#include "catalog/transit_time.h"
#include "core/ids.h"
#include "core/random_source.h"
#include "grants/messages.h"
#include "net/event_loop.h"
#include "net/frame_link.h"
#include "net/receive_watch.h"
#include "telemetry/event_log.h"

namespace comfreyspring::gateway {

/** Number of gateways until a sidecar reports how many are connected to it. */
inline constexpr std::size_t kAssumedGateways = 32;

struct sidecar_link_options {
  core::process_id gateway;
  /** Port on which the sidecars accept links. */
  std::uint16_t port = 0;
  core::milliseconds connect_timeout{400};
  /** Mean delay before a reconnection attempt. */
  core::milliseconds reconnect_delay{200};
  /**
   * A link is closed when its sidecar is silent for longer than this, and for
   * longer than this number of its announced status periods.
   */
  core::milliseconds silence_timeout{600};
  int silence_status_periods = 3;
  /**
   * Interval of hellos, which serve as heartbeats. It grows with the number of
   * links, up to the maximum, to keep the rate at about 80 hellos a second.
   */
  core::milliseconds hello_period{1000};
  core::milliseconds hello_period_per_link{12};
  core::milliseconds maximum_hello_period{3000};
  /** Number of sidecars that relay catalog reads between gateways. */
  std::size_t relay_count = 3;
  std::uint64_t random_seed = 1;
};

class sidecar_listener {
 public:
  virtual ~sidecar_listener() = default;
  /**
   * The sidecar does not answer, or not even its VM. `OnSidecarLost` follows if
   * the link was open.
   */
  virtual void OnSidecarSilent(const std::string& /*ip*/) {}
  /** The VM of the sidecar has accepted a link or refused a connection. */
  virtual void OnVmHeard(const std::string& /*ip*/) {}
  virtual void OnSidecarLost(const std::string& ip) = 0;
  virtual void OnSidecarMessage(const std::string& ip,
                                const grants::message& value) = 0;
};

/**
 * Keeps one link to the sidecar of each engine, keyed by the IP address of its
 * VM. Reconnects for as long as the engine is listed.
 */
class sidecar_links {
 public:
  sidecar_links(net::event_loop& loop, sidecar_link_options options,
                sidecar_listener& listener, telemetry::event_log& log);
  ~sidecar_links();
  sidecar_links(const sidecar_links&) = delete;
  sidecar_links& operator=(const sidecar_links&) = delete;

  /**
   * Opens a link to the sidecar at this address if there is none, and sends it
   * what the configuration says of its engine if that has changed.
   */
  void AddOrUpdate(const std::string& ip, const grants::engine_config& config);
  void Remove(const std::string& ip);
  bool IsOpen(const std::string& ip) const;
  std::size_t OpenCount() const;
  std::size_t TargetCount() const { return peers_.size(); }
  /** Changes whenever a sidecar is added or removed; never 0. */
  std::uint64_t TargetsVersion() const { return targets_version_; }
  /**
   * The first two sidecars in rendezvous order for a key, reachable or not.
   * Empty where there are fewer. Gateways with the same catalog agree on them.
   */
  std::pair<std::string, std::string> FirstTargets(std::string_view key) const;
  struct known_sidecar {
    std::string ip;
    bool is_open = false;
  };
  using sidecar_filter = std::function<bool(const known_sidecar&)>;
  /**
   * The first sidecars in rendezvous order for a key, at most `count`.
   * @param accepts without it, any sidecar.
   */
  std::vector<known_sidecar> FirstTargets(
      std::string_view key, std::size_t count,
      const sidecar_filter& accepts = nullptr) const;
  /** @returns false if there is no open link. */
  bool Send(const std::string& ip, const grants::message& value);
  /**
   * Sends to the sidecars that relay the message to all gateways; a large one
   * to the first only. Whoever misses it sees a gap in the next batch and reads
   * the platform.
   */
  void SendToRelays(const grants::message& value);
  /**
   * Rank among the gateways that read the catalog; nothing while no link to a
   * relay is open.
   */
  std::optional<std::size_t> ReaderRank() const;
  /** Closes the link of a sidecar that has not answered a message. */
  void OnUnanswered(const std::string& ip);
  /**
   * The process was suspended or busy for this long, which does not count as
   * silence of the sidecars.
   */
  void OnPaused(core::milliseconds length);

 private:
  struct peer {
    grants::engine_config config;
    std::shared_ptr<net::frame_link> link;
    bool open = false;
    /** The VM has refused the latest attempt to connect. */
    bool was_refused = false;
    net::receive_watch received;
    catalog::transit_time transit;
    /** The next hello is due as the latest one has announced. */
    core::time_point hello_due;
    core::time_point retry_at;
    /** Silence timeout, as derived from the announced status period. */
    core::milliseconds silence_timeout{0};
    std::size_t reader_rank = 0;
    /** Callbacks of links with an older generation are ignored. */
    std::uint64_t generation = 0;
  };

  void Connect(const std::string& ip, peer& target);
  void CloseLink(const std::string& ip, peer& target,
                 const std::string& reason);
  void CloseSilentLink(const std::string& ip, peer& target,
                       const std::string& reason);
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
  std::uint64_t targets_version_ = 1;
  /** Relays in use. Gateways with the same open links choose the same ones. */
  std::vector<std::string> relays_;
  net::timer_id tick_timer_ = 0;
};

}  // namespace comfreyspring::gateway
