#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "grants/messages.h"
#include "limits/endpoint_incarnation.h"

namespace comfreyspring::gateway {

/**
 * A gateway's asks for the slots of plain services, and the slots that it uses.
 * One sidecar gives the slots of a service; all gateways choose it alike.
 *
 * Load pattern: more requests than a plain service's endpoints process, while
 * the sidecar is slowed, frozen, restarted or cut off. An ask that is not
 * answered in time is given up, as are all that wait at its sidecar, and the
 * sidecar is not asked again for a while; without a slot, requests are sent as
 * if there were no queue.
 */
class slot_client {
 public:
  using sender =
      std::function<bool(const std::string& ip, const grants::message& value)>;

  /** A sidecar answers within some milliseconds. */
  static constexpr core::milliseconds kAckTimeout{100};
  /**
   * Time that one tick counts at most. A gateway with a small share of a core
   * is regularly stopped for longer; answers are then still unread.
   */
  static constexpr core::milliseconds kMaximumTick{30};
  /** A sidecar that has not answered is not asked for this long. */
  static constexpr core::milliseconds kSilence{1000};

  /** @param send returns false if there is no open link. */
  explicit slot_client(sender send) : send_(std::move(send)) {}

  /**
   * Asks for a slot.
   * @param request the gateway's number of the request.
   * @returns false if the sidecar cannot be asked now.
   */
  bool Ask(const std::string& ip, std::uint64_t request, grants::slot_ask ask,
           core::time_point now);
  void OnQueued(std::uint64_t number);

  struct issued_slot {
    std::uint64_t request = 0;
    limits::endpoint_incarnation endpoint;
    core::milliseconds waited{0};
  };
  /** @returns nothing if the slot is not wanted any more; it is given back. */
  std::optional<issued_slot> OnIssued(const std::string& ip,
                                      const grants::slot_issued& issued,
                                      core::time_point now);
  struct refused_ask {
    std::uint64_t request = 0;
    std::string sidecar_ip;
  };
  /** @returns nothing if the number is not of an open ask. */
  std::optional<refused_ask> OnRefused(std::uint64_t number);
  /** Gives up an ask or a slot. */
  void Release(std::uint64_t number, overload::slot_result result);

  // The results are requests that waited and will not get a slot.

  std::vector<std::uint64_t> OnSidecarLost(const std::string& ip);
  /** Call every 20 ms. */
  std::vector<std::uint64_t> OnTick(core::time_point now);

  std::size_t Waiting() const;
  std::size_t InUse() const { return open_.size() - Waiting(); }

 private:
  struct open_ask {
    std::uint64_t request = 0;
    std::string sidecar_ip;
    std::vector<overload::slot_candidate> candidates;
    core::time_point asked_at;
    /** Value of `running_time_` then. */
    core::microseconds asked_at_running{0};
    bool is_queued = false;
    bool is_issued = false;
  };

  sender send_;
  /** Time in which this process could read answers. */
  core::microseconds running_time_{0};
  core::time_point last_tick_;
  /** By number. */
  std::map<std::uint64_t, open_ask> open_;
  /** Sidecars that have not answered, and until when they are not asked. */
  std::map<std::string, core::time_point> silent_until_;
};

}  // namespace comfreyspring::gateway
