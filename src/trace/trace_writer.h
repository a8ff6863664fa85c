#pragma once

#include <cstddef>
#include <fstream>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/time.h"
#include "trace/field_codec.h"

namespace comfreyspring::trace {

/**
 * Writes one trace, line by line. Stops at an event limit so that a recording
 * left enabled cannot fill the disk or log.
 */
class trace_writer {
 public:
  /** `out` must outlive the writer. */
  trace_writer(std::ostream& out, std::size_t limit_events);
  /**
   * Appends to a file; `/dev/stderr` and `/dev/stdout` are written as streams.
   * @throws core::error if the file cannot be opened.
   */
  trace_writer(const std::string& path, std::size_t limit_events);
  trace_writer(const trace_writer&) = delete;
  trace_writer& operator=(const trace_writer&) = delete;

  /** Writes the header line. Events before this call are not recorded. */
  void Begin(std::string_view subject, core::time_point now);

  template <class Event>
  void WriteEvent(const Event& event, core::time_point now) {
    if (AcceptEvent(now)) Write(ToLine(event, start_));
  }
  /** Records an event without a time of its own at the last event's time. */
  template <class Event>
  void WriteEvent(const Event& event) {
    WriteEvent(event, last_);
  }

  /** Records the actions caused by the last event. */
  template <class Action>
  void WriteActions(const std::vector<Action>& actions) {
    if (!open_) return;
    for (const Action& action : actions) {
      std::visit([this](const auto& typed) { Write(ToLine(typed, start_)); },
                 action);
    }
  }

 private:
  bool AcceptEvent(core::time_point now);
  void Write(trace_line line);

  std::ofstream file_;
  std::ostream* out_;
  std::size_t limit_events_;
  std::size_t events_ = 0;
  core::time_point start_;
  core::time_point last_;
  bool open_ = false;
};

/** @returns nullptr if the path is empty. @throws core::error */
std::unique_ptr<trace_writer> OpenTrace(const std::string& path,
                                        std::size_t limit_events);

}  // namespace comfreyspring::trace
