#include "trace/trace_writer.h"

#include <algorithm>
#include <iostream>

#include "core/error.h"
#include "trace/router_format.h"

namespace comfreyspring::trace {

trace_writer::trace_writer(std::ostream& out, std::size_t limit_events)
    : out_(&out), limit_events_(limit_events) {}

trace_writer::trace_writer(const std::string& path, std::size_t limit_events)
    : out_(&file_), limit_events_(limit_events) {
  if (path == "/dev/stderr") {
    out_ = &std::cerr;
  } else if (path == "/dev/stdout") {
    out_ = &std::cout;
  } else {
    file_.open(path, std::ios::app);
    if (!file_) throw core::error("cannot open trace file " + path);
  }
}

void trace_writer::Begin(std::string_view subject, core::time_point now) {
  start_ = now;
  last_ = now;
  open_ = true;
  trace_line line;
  line.name = "comfreyspring_trace";
  line.fields = {{"version", "1"},
                 {"subject", std::string(subject)},
                 {"base_us", std::to_string(now.time_since_epoch().count())}};
  *out_ << FormatTraceLine(line) << std::endl;
}

bool trace_writer::AcceptEvent(core::time_point now) {
  if (!open_) return false;
  last_ = std::max(last_, now);
  if (events_ == limit_events_) {
    Write(ToLine(end_of_recording{"limit"}, start_));
    open_ = false;
    return false;
  }
  ++events_;
  return true;
}

void trace_writer::Write(trace_line line) {
  line.time_us = (last_ - start_).count();
  // Flushed on every line so that a crash does not lose the last events.
  *out_ << FormatTraceLine(line) << std::endl;
  if (!*out_) open_ = false;
}

std::unique_ptr<trace_writer> OpenTrace(const std::string& path,
                                        std::size_t limit_events) {
  if (path.empty()) return nullptr;
  return std::make_unique<trace_writer>(path, limit_events);
}

}  // namespace comfreyspring::trace
