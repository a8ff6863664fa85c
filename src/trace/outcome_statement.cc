#include "trace/outcome_statement.h"

#include <algorithm>
#include <initializer_list>
#include <string_view>
#include <vector>

namespace comfreyspring::trace {
namespace {

/** `result` of a form, empty if it has none; then its fields. */
struct statement_form {
  std::string_view result;
  std::vector<std::string_view> required;
  std::vector<std::string_view> optional;
};

const std::vector<statement_form>& Forms() {
  static const std::vector<statement_form> forms = {
      {"completed", {"request", "result"}, {"endpoint"}},
      {"failed", {"request", "result"}, {"outcome", "reason"}},
      {"", {"attempts", "request", "max"}, {}},
      {"", {"endpoint", "no_submit"}, {"from_us"}},
      {"dispatched", {"attempt", "result"}, {"max"}},
      {"refused", {"attempt", "result"}, {"reason", "outcome"}},
      {"", {"attempt", "dispatched_before"}, {}},
      {"", {"adapter", "never_evicted"}, {}},
      {"", {"adapter", "loads", "max"}, {}}};
  return forms;
}

bool Contains(const std::vector<std::string_view>& keys, std::string_view key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

bool Matches(const statement_form& form, const trace_line& line,
             const std::string& result) {
  if (form.result != result) return false;
  std::size_t required = 0;
  for (const trace_field& field : line.fields) {
    if (Contains(form.required, field.key)) {
      ++required;
    } else if (!Contains(form.optional, field.key)) {
      return false;
    }
  }
  return required == form.required.size();
}

}  // namespace

outcome_statement ReadOutcome(const trace_line& line, core::time_point start) {
  auto statement = FromLine<outcome_statement>(line, start);
  statement.line = line.number;
  const bool known = std::any_of(
      Forms().begin(), Forms().end(),
      [&](const auto& form) { return Matches(form, line, statement.result); });
  // A flag that is written as false would state nothing.
  const bool denied = std::any_of(
      line.fields.begin(), line.fields.end(),
      [](const trace_field& field) { return field.value == "false"; });
  if (!known || denied) {
    throw trace_error(line.number, line.name_column,
                      "no known form of an outcome; see trace/trace.h");
  }
  return statement;
}

}  // namespace comfreyspring::trace
