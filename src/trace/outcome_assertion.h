#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"
#include "trace/field_codec.h"

namespace comfreyspring::trace {

/** An `outcome` line of a trace; trace.h lists the valid field combinations. */
struct outcome_assertion {
  std::size_t line = 0;
  std::optional<core::request_id> request;
  std::optional<core::attempt_id> attempt;
  std::optional<core::adapter_reference> adapter;
  std::optional<core::endpoint_id> endpoint;
  std::string result;
  std::optional<core::outcome> outcome;
  std::optional<std::string> reason;
  std::optional<core::attempt_id> dispatched_before;
  bool attempts = false;
  bool never_evicted = false;
  bool no_submit = false;
  bool loads = false;
  std::optional<std::size_t> max;
  std::optional<core::time_point> from;
};

template <>
struct item_format<outcome_assertion> {
  static constexpr std::string_view kName = "outcome";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit("attempts", self.attempts);
    visit("request", self.request);
    visit("attempt", self.attempt);
    visit("adapter", self.adapter);
    visit("endpoint", self.endpoint);
    visit("result", self.result);
    visit("outcome", self.outcome);
    visit("reason", self.reason);
    visit("dispatched_before", self.dispatched_before);
    visit("never_evicted", self.never_evicted);
    visit("no_submit", self.no_submit);
    visit("loads", self.loads);
    visit("max", self.max);
    visit("from_us", self.from);
  }
};

/** @throws trace_error if the combination of fields is not valid. */
outcome_assertion ReadOutcomeAssertion(const trace_line& line,
                                       core::time_point start);

}  // namespace comfreyspring::trace
