#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace comfreyspring::process_test {

struct http_answer {
  /** HTTP status; 0 if no response was received. */
  long status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  /** False if the call failed or timed out before the end of the response. */
  bool complete = false;

  nlohmann::json Json() const {
    return nlohmann::json::parse(body, nullptr, false);
  }
};

/** Blocking HTTP call with libcurl; `limit_ms` is its total timeout. */
http_answer Call(const std::string& method, const std::string& url,
                 const std::string& body = "",
                 const std::map<std::string, std::string>& headers = {},
                 long limit_ms = 20000);

/**
 * Concatenated text of an OpenAI completion stream. `done` is set by its final
 * `[DONE]` event, `error` by an error event.
 */
struct stream_text {
  std::string text;
  bool done = false;
  bool error = false;
};
stream_text ParseStream(const std::string& body);

}  // namespace comfreyspring::process_test
