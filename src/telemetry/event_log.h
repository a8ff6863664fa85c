#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/time.h"

namespace comfreyspring::telemetry {

/** How much a line is worth when there are too many. */
enum class line_class {
  /** Success as usual; the first to be left out. */
  routine,
  /** A request that was refused, repeated or failed. */
  failure,
  /** What the process believes, its dependencies, start and stop. */
  system,
};

struct event_log_options {
  /** Lines a second of each class; a second's worth may come at once. */
  double routine_per_second = 60;
  double failures_per_second = 150;
  double system_events_per_second = 200;
  /** Lines that wait for a reader; more are dropped. */
  std::size_t maximum_buffered_bytes = 256 * 1024;
};

/**
 * Structured lines, one JSON object each. Never blocks: lines wait in a
 * bounded buffer until Flush can write them; those that find no room, or
 * exceed the rate of their class, are counted and the count is logged.
 *
 * Example: `log.SystemEvent("endpoint").Add("instance", id).Add("change",
 * "gone");`
 */
class event_log {
 public:
  /** Writes to a descriptor without blocking; returns bytes taken, or -1. */
  using writer = std::function<std::int64_t(std::string_view)>;

  /** A line under construction; written when it goes out of scope. */
  class line {
   public:
    line(event_log* log, std::string_view event);
    line(line&& other) noexcept;
    line(const line&) = delete;
    line& operator=(const line&) = delete;
    line& operator=(line&&) = delete;
    ~line();

    line& Add(std::string_view name, std::string_view value);
    line& Add(std::string_view name, const char* value) {
      return Add(name, std::string_view{value});
    }
    line& Add(std::string_view name, const std::string& value) {
      return Add(name, std::string_view{value});
    }
    line& Add(std::string_view name, std::int64_t value);
    line& Add(std::string_view name, int value) {
      return Add(name, static_cast<std::int64_t>(value));
    }
    line& Add(std::string_view name, std::size_t value) {
      return Add(name, static_cast<std::int64_t>(value));
    }
    line& Add(std::string_view name, bool value);

   private:
    /** Null if the line is left out. */
    event_log* log_;
    std::string text_;
  };

  /**
   * @param process name of this process in every line.
   * @param clock wall time for the lines.
   */
  event_log(std::string process, event_log_options options,
            std::function<core::wall_time()> clock, writer write);
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  /** Writes to standard output, which becomes non-blocking. */
  static writer StandardOutput();

  /** A line of the life of the process: start, stop, reload. */
  line Process(std::string_view event);
  /** A line about a changed belief. */
  line SystemEvent(std::string_view event);
  /** A dependency was lost or regained. */
  line Dependency(std::string_view name, std::string_view change);
  /** A line about a request. */
  line Request(line_class kind, std::string_view event,
               std::string_view request_id);

  /** Writes what the reader takes. Call at least each 100 ms. */
  void Flush();
  /** Lines left out since the start. */
  std::uint64_t Dropped() const;

 private:
  friend class line;
  struct impl;

  /** True if a line of the class may be written now. */
  bool Admit(line_class kind);
  void Finish(std::string text);

  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::telemetry
