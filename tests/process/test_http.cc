#include "test_http.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <memory>
#include <sstream>

namespace comfreyspring::process_test {
namespace {

std::size_t AppendBody(char* data, std::size_t size, std::size_t count,
                       void* target) {
  static_cast<std::string*>(target)->append(data, size * count);
  return size * count;
}

std::size_t AddHeader(char* data, std::size_t size, std::size_t count,
                      void* target) {
  const std::string line(data, size * count);
  const std::size_t colon = line.find(':');
  if (colon != std::string::npos) {
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of("\r\n") + 1);
    (*static_cast<std::map<std::string, std::string>*>(target))[name] = value;
  }
  return size * count;
}

}  // namespace

http_answer Call(const std::string& method, const std::string& url,
                 const std::string& body,
                 const std::map<std::string, std::string>& headers,
                 long limit_ms) {
  http_answer answer;
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(
      curl_easy_init(), &curl_easy_cleanup);
  curl_slist* list = nullptr;
  for (const auto& [name, value] : headers) {
    list = curl_slist_append(list, (name + ": " + value).c_str());
  }
  list = curl_slist_append(list, "Expect:");
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, list);
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, limit_ms);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &answer.body);
  curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, &AddHeader);
  curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &answer.headers);
  if (!body.empty()) {
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
  }
  answer.complete = curl_easy_perform(handle.get()) == CURLE_OK;
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &answer.status);
  curl_slist_free_all(list);
  return answer;
}

stream_text ParseStream(const std::string& body) {
  stream_text result;
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) {
    if (line == "event: error") result.error = true;
    if (line.rfind("data: ", 0) != 0) continue;
    const std::string data = line.substr(6);
    if (data == "[DONE]") {
      result.done = true;
      continue;
    }
    const auto event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("choices")) continue;
    const auto& choice = event["choices"][0];
    if (choice.contains("text")) result.text += choice["text"];
    if (choice.contains("delta") && choice["delta"].contains("content")) {
      result.text += choice["delta"]["content"];
    }
  }
  return result;
}

}  // namespace comfreyspring::process_test
