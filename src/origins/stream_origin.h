#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "core/hash.h"
#include "core/ids.h"
#include "core/time.h"

namespace comfreyspring::origins {

/** Origins are kept for this long: no stream lasts longer, with its retries. */
inline constexpr core::milliseconds kStreamMemory{60'000};
/** Sidecars at which the origin of a stream is recorded. */
inline constexpr std::size_t kCopies = 2;

/** The engine software that began a stream. */
struct stream_origin {
  core::service_id service;
  core::software_version version;

  friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

/** A stream, named by a hash of the id of the request that began it. */
class stream_key {
 public:
  /** @param value as given by `Value`. */
  explicit stream_key(std::uint64_t value) : value_(value) {}
  explicit stream_key(const core::request_id& began)
      : value_(core::Hash64(began.Value()) >> 1U) {}

  /** At most 63 bits. */
  std::uint64_t Value() const { return value_; }

  // clang-tidy 14 takes the 0 in the defaulted comparison for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const stream_key&, const stream_key&) = default;
  // NOLINTEND(modernize-use-nullptr)

 private:
  std::uint64_t value_;
};

}  // namespace comfreyspring::origins
