#include "answer_checks.h"

#include <chrono>
#include <thread>

namespace comfreyspring::process_test {

void Pause(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::string OutcomeOf(const http_answer& answer) {
  const nlohmann::json body = answer.Json();
  if (!body.is_object() || !body.contains("error")) return "";
  return body["error"].value("outcome", "");
}

bool IsCompleteOrExplicitError(const http_answer& answer,
                               const std::string& text) {
  if (answer.status != 200) return !OutcomeOf(answer).empty();
  const stream_text parsed = ParseStream(answer.body);
  return parsed.done ? parsed.text == text : parsed.error && !answer.complete;
}

}  // namespace comfreyspring::process_test
