#pragma once

#include <chrono>
#include <cstdint>

namespace comfreyspring::core {

using microseconds = std::chrono::microseconds;
using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/** Monotonic time; only comparable within one process. */
using time_point = std::chrono::time_point<std::chrono::steady_clock,
                                           std::chrono::microseconds>;
/** Wall-clock time; comparable across processes, apart from clock skew. */
using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::milliseconds>;

/** Milliseconds since the Unix epoch. */
inline std::int64_t UnixMilliseconds(wall_time time) {
  return time.time_since_epoch().count();
}

/** Wall time from milliseconds since the Unix epoch. */
inline wall_time WallTimeFromUnix(std::int64_t unix_ms) {
  return wall_time(milliseconds(unix_ms));
}

/** Rounds a duration down to whole milliseconds. */
template <class Rep, class Period>
milliseconds ToMilliseconds(std::chrono::duration<Rep, Period> duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

}  // namespace comfreyspring::core
