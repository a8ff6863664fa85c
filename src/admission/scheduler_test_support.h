#pragma once

#include <string>
#include <variant>
#include <vector>

#include "admission/scheduler_types.h"

namespace comfreyspring::admission::test {

/** Test time, in milliseconds after an arbitrary start. */
inline core::time_point At(std::int64_t ms) {
  return core::time_point(core::milliseconds(1'000'000 + ms));
}

inline core::adapter_reference Adapter(const std::string& name) {
  return {core::adapter_id(name), core::version_id("1")};
}

inline core::attempt_id Attempt(const std::string& name) {
  return core::attempt_id(name);
}

/** Urgent work with a distant deadline. */
inline work_item Work(const std::string& attempt, const std::string& adapter,
                      std::int64_t tokens = 50) {
  work_item work;
  work.attempt = Attempt(attempt);
  work.adapter = Adapter(adapter);
  work.expected_tokens = {tokens};
  work.deadline = At(3'600'000);
  return work;
}

inline work_item MayWait(work_item work) {
  work.priority = core::priority_class::may_wait;
  return work;
}

/** The actions of one kind, in order. */
template <class Action>
std::vector<Action> Only(const std::vector<scheduler_action>& actions) {
  std::vector<Action> found;
  for (const scheduler_action& action : actions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

}  // namespace comfreyspring::admission::test
