#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "core/time.h"
#include "origins/stream_origin.h"

namespace comfreyspring::origins {

/** Origins of recent streams, bounded in age and number. */
class origin_table {
 public:
  /** Some minutes of streams at the highest load of a gateway. */
  static constexpr std::size_t kMaximumRecords = 20'000;

  /** Replaces an earlier record of the stream. */
  void Add(const stream_key& stream, stream_origin origin,
           core::time_point now);
  std::optional<stream_origin> Find(const stream_key& stream,
                                    core::time_point now) const;
  std::size_t Size() const { return records_.size(); }

 private:
  struct record {
    stream_origin origin;
    core::time_point expires_at;
  };

  void RemoveOldest();

  std::map<stream_key, record> records_;
  /** In the order of their expiry; may name records that were replaced. */
  std::deque<std::pair<core::time_point, stream_key>> expiries_;
};

}  // namespace comfreyspring::origins
