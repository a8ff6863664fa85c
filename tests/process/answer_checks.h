#pragma once

#include <string>

#include "test_http.h"

namespace comfreyspring::process_test {

/** Sleeps; gives running work time to get somewhere, never judges speed. */
void Pause(int milliseconds);

/** Field `outcome` of an error body; empty if the answer is no error. */
std::string OutcomeOf(const http_answer& answer);

/** True if the stream is whole and right, or says clearly that it is not. */
bool WholeOrExplicitError(const http_answer& answer, const std::string& text);

}  // namespace comfreyspring::process_test
