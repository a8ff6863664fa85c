#include "trace/replayer.h"

#include <algorithm>
#include <variant>

#include "trace/router_replayer.h"
#include "trace/scheduler_replayer.h"
#include "trace/trace_reader.h"

namespace comfreyspring::trace {
namespace {

template <class Item>
std::string TextOf(const Item& item, core::time_point start) {
  return std::visit(
      [start](const auto& typed) {
        return FormatTraceLine(ToLine(typed, start));
      },
      item);
}

template <class Subject>
void Print(const trace_step<Subject>& step,
           const std::vector<typename Subject::action>& replayed,
           core::time_point start, std::ostream& out) {
  const std::string time = std::to_string((step.now - start).count()) + " ";
  out << time << TextOf(step.event, start) << '\n';
  for (const auto& action : replayed) {
    out << time << TextOf(action, start) << '\n';
  }
}

/** Returns the first mismatch of the step, or none. */
template <class Subject>
std::vector<replay_mismatch> Compare(
    const trace_step<Subject>& step,
    const std::vector<typename Subject::action>& replayed,
    core::time_point start) {
  const std::size_t count = std::max(step.actions.size(), replayed.size());
  for (std::size_t i = 0; i < count; ++i) {
    const bool has_recorded = i < step.actions.size();
    const std::string recorded =
        has_recorded ? TextOf(step.actions[i].action, start) : "no action";
    const std::string actual =
        i < replayed.size() ? TextOf(replayed[i], start) : "no action";
    if (recorded == actual) continue;
    return {{has_recorded ? step.actions[i].line : step.line,
             "recorded " + recorded + ", replayed " + actual}};
  }
  return {};
}

template <class Replayer>
replay_result Replay(const trace_text& text, std::ostream* print) {
  using subject = typename Replayer::subject;
  const trace_document<subject> document = ReadTrace<subject>(text);
  Replayer replayer;
  replay_result result;
  result.events = document.steps.size();
  result.outcomes = document.outcomes.size();
  bool actions_match = true;
  for (const trace_step<subject>& step : document.steps) {
    std::vector<typename subject::action> replayed;
    try {
      replayed = replayer.Apply(step.event, step.now);
    } catch (const core::error& failure) {
      throw trace_error(step.line, 1, failure.what());
    }
    if (print != nullptr) {
      Print<subject>(step, replayed, document.header.start, *print);
    }
    if (!document.header.expects_actions || !actions_match) continue;
    result.mismatches = Compare<subject>(step, replayed, document.header.start);
    actions_match = result.mismatches.empty();
  }
  for (const outcome_assertion& assertion : document.outcomes) {
    try {
      const std::string message = replayer.Check(assertion);
      if (!message.empty())
        result.mismatches.push_back({assertion.line, message});
    } catch (const core::error& failure) {
      throw trace_error(assertion.line, 1, failure.what());
    }
  }
  return result;
}

}  // namespace

replay_result ReplayTrace(std::istream& in, std::ostream* print) {
  const trace_text text = ReadTraceText(in);
  if (text.header.subject == router_subject::kName) {
    return Replay<router_replayer>(text, print);
  }
  return Replay<scheduler_replayer>(text, print);
}

}  // namespace comfreyspring::trace
