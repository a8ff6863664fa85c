#include "trace/outcome_assertion.h"

#include <algorithm>
#include <initializer_list>
#include <string_view>
#include <vector>

namespace comfreyspring::trace {
namespace {

/** A valid combination of fields; `result` is empty if it has none. */
struct assertion_form {
  std::string_view result;
  std::vector<std::string_view> required;
  std::vector<std::string_view> optional;
};

const std::vector<assertion_form>& Forms() {
  static const std::vector<assertion_form> forms = {
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

bool Matches(const assertion_form& form, const trace_line& line,
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

outcome_assertion ReadOutcomeAssertion(const trace_line& line,
                                       core::time_point start) {
  auto assertion = FromLine<outcome_assertion>(line, start);
  assertion.line = line.number;
  const bool known = std::any_of(
      Forms().begin(), Forms().end(),
      [&](const auto& form) { return Matches(form, line, assertion.result); });
  // A flag set to false would assert nothing.
  const bool has_false_flag = std::any_of(
      line.fields.begin(), line.fields.end(),
      [](const trace_field& field) { return field.value == "false"; });
  if (!known || has_false_flag) {
    throw trace_error(
        line.number, line.name_column,
        "unknown combination of outcome fields; see trace/trace.h");
  }
  return assertion;
}

}  // namespace comfreyspring::trace
