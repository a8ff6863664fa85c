#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/time.h"
#include "trace/field_codec.h"
#include "trace/outcome_assertion.h"

namespace comfreyspring::trace {

/** Contents of the first line. */
struct trace_header {
  std::string subject;
  /** If false, only the outcomes are checked. */
  bool expects_actions = true;
  core::time_point start;
};

/** The parsed header and lines of a trace, without comments. */
struct trace_text {
  trace_header header;
  std::vector<trace_line> lines;
};

/**
 * Parses all lines and checks that times do not decrease.
 * @throws trace_error
 */
trace_text ReadTraceText(std::istream& in);

/** An event and the actions recorded for it. */
template <class Subject>
struct trace_step {
  struct recorded_action {
    std::size_t line = 0;
    typename Subject::action action;
  };
  std::size_t line = 0;
  core::time_point now;
  typename Subject::event event;
  std::vector<recorded_action> actions;
};

template <class Subject>
struct trace_document {
  trace_header header;
  std::vector<trace_step<Subject>> steps;
  std::vector<outcome_assertion> outcomes;
};

/** Reads the variant alternative with the line's name, if there is one. */
template <class Variant>
std::optional<Variant> FromLineByName(const trace_line& line,
                                      core::time_point start) {
  std::optional<Variant> found;
  const auto try_one = [&]<class Item>(std::in_place_type_t<Item>) {
    if (found || line.name != item_format<Item>::kName) return;
    found = Variant(FromLine<Item>(line, start));
  };
  [&]<std::size_t... Index>(std::index_sequence<Index...>) {
    (try_one(std::in_place_type<std::variant_alternative_t<Index, Variant>>),
     ...);
  }
  (std::make_index_sequence<std::variant_size_v<Variant>>());
  return found;
}

/** @throws trace_error if a line is not a valid event, action or outcome. */
template <class Subject>
trace_document<Subject> ReadTrace(const trace_text& text) {
  trace_document<Subject> document;
  document.header = text.header;
  const core::time_point start = text.header.start;
  for (const trace_line& line : text.lines) {
    if (!line.time_us) {
      document.outcomes.push_back(ReadOutcomeAssertion(line, start));
      continue;
    }
    if (auto event = FromLineByName<typename Subject::event>(line, start)) {
      const bool first = document.steps.empty();
      if ((event->index() == 0) != first) {
        throw trace_error(line.number, line.name_column,
                          "options must be the first event and occur once");
      }
      document.steps.push_back({line.number,
                                start + core::microseconds(*line.time_us),
                                std::move(*event),
                                {}});
      continue;
    }
    auto action = FromLineByName<typename Subject::action>(line, start);
    if (!action) {
      throw trace_error(line.number, line.name_column,
                        "unknown event or action: " + line.name);
    }
    if (document.steps.empty()) {
      throw trace_error(line.number, line.name_column,
                        "action before the first event");
    }
    document.steps.back().actions.push_back({line.number, std::move(*action)});
  }
  return document;
}

}  // namespace comfreyspring::trace
