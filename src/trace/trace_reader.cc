#include "trace/trace_reader.h"

namespace comfreyspring::trace {
namespace {

constexpr std::int64_t kFormatVersion = 1;
// Start of hand-written traces without base_us. Not 0, so that no event has the
// default time point, which may mean "never".
constexpr core::time_point kDefaultStart{core::seconds(1000)};

struct header_fields {
  std::int64_t version = 0;
  std::string subject;
  std::string expect = "actions";
  std::optional<std::int64_t> base_us;
};

}  // namespace

template <>
struct item_format<header_fields> {
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("version", self.version);
    visit.Required("subject", self.subject);
    visit("expect", self.expect);
    visit("base_us", self.base_us);
  }
};

namespace {

trace_header ReadHeader(const trace_line& line) {
  if (line.name != "comfreyspring_trace" || line.time_us) {
    throw trace_error(line.number, 1, "expected comfreyspring_trace version=1");
  }
  const auto fields = FromLine<header_fields>(line, {});
  const auto fail = [&line](std::string_view key, const std::string& message) {
    for (const trace_field& field : line.fields) {
      if (field.key == key) {
        throw trace_error(line.number, field.column, message);
      }
    }
  };
  if (fields.version != kFormatVersion) fail("version", "unsupported version");
  if (fields.subject != "router" && fields.subject != "scheduler") {
    fail("subject", "expected router or scheduler");
  }
  if (fields.expect != "actions" && fields.expect != "outcomes") {
    fail("expect", "expected actions or outcomes");
  }
  trace_header header;
  header.subject = fields.subject;
  header.expects_actions = fields.expect == "actions";
  header.start = fields.base_us
                     ? core::time_point(core::microseconds(*fields.base_us))
                     : kDefaultStart;
  return header;
}

void CheckTime(const trace_line& line, std::int64_t last_us) {
  if (!line.time_us && line.name != "outcome") {
    throw trace_error(line.number, 1, "expected a time or an outcome");
  }
  if (line.time_us && *line.time_us < last_us) {
    throw trace_error(line.number, 1,
                      "time is earlier than on a preceding line");
  }
}

}  // namespace

trace_text ReadTraceText(std::istream& in) {
  trace_text text;
  bool header_read = false;
  std::int64_t last_us = 0;
  std::string raw;
  std::size_t number = 0;
  while (std::getline(in, raw)) {
    ++number;
    if (raw.empty() || raw.front() == '#') continue;
    trace_line line = ParseTraceLine(raw, number);
    if (!header_read) {
      text.header = ReadHeader(line);
      header_read = true;
      continue;
    }
    CheckTime(line, last_us);
    last_us = line.time_us.value_or(last_us);
    text.lines.push_back(std::move(line));
  }
  if (!header_read) throw trace_error(number + 1, 1, "the trace is empty");
  return text;
}

}  // namespace comfreyspring::trace
