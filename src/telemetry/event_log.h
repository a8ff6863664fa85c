#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/time.h"

namespace comfreyspring::telemetry {

/** Class of a log line; each class has a rate limit of its own. */
enum class line_class {
  /** A request that succeeded; has the lowest rate limit by default. */
  routine,
  /** A request that was refused, retried or failed. */
  failure,
  /** An event that does not belong to a request, such as a state change. */
  system,
};

struct event_log_options {
  /** Maximum lines per second for each class, which is also the burst size. */
  double routine_per_second = 60;
  double failures_per_second = 150;
  double system_events_per_second = 200;
  /** Maximum size of the output buffer; lines that exceed it are dropped. */
  std::size_t maximum_buffered_bytes = 256 * 1024;
};

/**
 * Structured log with one JSON object per line. Never blocks: lines are kept in
 * a bounded buffer until Flush writes them. Lines that do not fit in the buffer
 * or exceed the rate limit of their class are dropped, and the number of
 * dropped lines is logged.
 *
 * Example: `log.SystemEvent("endpoint").Add("instance", id);`
 */
class event_log {
 public:
  /** Non-blocking write; returns the number of bytes written, or -1. */
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
    /** Null if the line is dropped. */
    event_log* log_;
    std::string text_;
  };

  /**
   * @param process name of this process, included in every line.
   * @param clock returns the wall-clock time for the timestamps.
   */
  event_log(std::string process, event_log_options options,
            std::function<core::wall_time()> clock, writer write);
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  /** Writer for standard output, which it sets to non-blocking mode. */
  static writer StandardOutput();

  /** Logs a process event such as start, stop or reload; has no rate limit. */
  line Process(std::string_view event);
  /** Logs an event that does not belong to a request. */
  line SystemEvent(std::string_view event);
  /** Logs that the connection to a dependency was lost or regained. */
  line Dependency(std::string_view name, std::string_view change);
  /** Logs an event of a request. */
  line Request(line_class kind, std::string_view event,
               std::string_view request_id);

  /**
   * Writes as much of the buffer as the reader accepts. Call at least every
   * 100 ms.
   */
  void Flush();
  /** Number of lines dropped since the start of the process. */
  std::uint64_t Dropped() const;

 private:
  friend class line;
  struct impl;

  /** Applies the rate limit; returns false if the line must be dropped. */
  bool Admit(line_class kind);
  void Finish(std::string text);

  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::telemetry
