#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "origins/stream_origin.h"

namespace comfreyspring::origins {

/**
 * A gateway's searches for the origins of streams that callers take up again.
 *
 * Load pattern: all gateways are killed at once, so that all streams break and
 * their callers come back together, to processes that know nothing and whose
 * links are still to be opened. A search waits for the sidecars that may have
 * the record, for a short time.
 */
class origin_lookups {
 public:
  /**
   * Sidecars that are asked. More than have the record: while a release
   * replaces half of the engines, others come before them in the order.
   */
  static constexpr std::size_t kAsked = 3 * kCopies;
  /** A process that has just started opens its links within this time. */
  static constexpr core::milliseconds kTimeout{600};

  struct sidecar {
    std::string ip;
    bool is_open = false;
  };
  /** The first `kAsked` sidecars for a stream, reachable or not. */
  using candidates = std::function<std::vector<sidecar>(const stream_key&)>;

  struct ask {
    std::string ip;
    std::uint64_t number = 0;
    stream_key stream;
  };
  struct result {
    std::uint64_t number = 0;
    /** Nothing: it cannot be found. */
    std::optional<stream_origin> origin;
  };
  struct actions {
    std::vector<ask> asks;
    std::vector<result> results;
  };

  /** @param number not used by another search. */
  actions Start(std::uint64_t number, const stream_key& stream,
                const candidates& sidecars, core::time_point now);
  /** @param origin nothing if the sidecar has no record. */
  actions OnAnswer(const std::string& ip, std::uint64_t number,
                   const std::optional<stream_origin>& origin,
                   const candidates& sidecars, core::time_point now);
  /** Call about every 20 ms while there are searches. */
  actions OnTick(const candidates& sidecars, core::time_point now);

  std::size_t Size() const { return searches_.size(); }

 private:
  struct search {
    stream_key stream;
    core::time_point started;
    std::set<std::string> asked;
    std::set<std::string> without_record;
  };

  /** @returns whether the search has ended without a result. */
  static bool Advance(std::uint64_t number, search& each,
                      const std::vector<sidecar>& sidecars,
                      core::time_point now, actions& out);

  std::map<std::uint64_t, search> searches_;
};

}  // namespace comfreyspring::origins
