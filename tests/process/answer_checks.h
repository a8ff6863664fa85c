#pragma once

#include <string>

#include "test_http.h"

namespace comfreyspring::process_test {

/** Sleeps, so that requests can progress or faults can take effect. */
void Pause(int milliseconds);

/** Field `outcome` of an error body; empty if the body is not an error. */
std::string OutcomeOf(const http_answer& answer);

/**
 * True if the answer is a complete stream with exactly `text`, a stream that
 * ends with an error event, or an error body with an outcome.
 */
bool IsCompleteOrExplicitError(const http_answer& answer,
                               const std::string& text);

}  // namespace comfreyspring::process_test
