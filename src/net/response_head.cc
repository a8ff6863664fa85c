#include "net/response_head.h"

#include <algorithm>
#include <charconv>

#include "core/text.h"
#include "net/event_loop.h"

namespace comfreyspring::net {
namespace {

/** Limit for the values of a field that is repeated. */
constexpr std::size_t kMaximumListedBytes = 16 * 1024;

constexpr int kMinimumStatus = 100;
constexpr int kMaximumStatus = 599;
constexpr int kMinimumFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;

constexpr const char* kContentLength = "content-length";

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

std::string_view TrimBlanks(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

response_head::response_head(std::size_t maximum_fields)
    : maximum_fields_(maximum_fields) {}

bool response_head::AddLine(std::string_view line) {
  if (!line.empty() && line.back() == '\n') line.remove_suffix(1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (section_ == section::status_line) {
    ReadStatusLine(line);
    return false;
  }
  if (!line.empty()) {
    ReadField(line);
    return false;
  }
  return section_ == section::fields && EndHead();
}

void response_head::ReadStatusLine(std::string_view line) {
  // Any minor version. The space ahead of an empty reason phrase is often left
  // out.
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kCode = kVersion.size() + 2;
  constexpr std::size_t kCodeEnd = kCode + 3;
  const bool is_valid =
      line.substr(0, kVersion.size()) == kVersion && line.size() >= kCodeEnd &&
      IsDigit(line[kVersion.size()]) && line[kCode - 1] == ' ' &&
      std::all_of(line.begin() + kCode, line.begin() + kCodeEnd, IsDigit) &&
      (line.size() == kCodeEnd || line[kCodeEnd] == ' ');
  if (!is_valid) {
    throw net_error("the status line of the response is malformed");
  }
  std::from_chars(line.data() + kCode, line.data() + kCodeEnd, status_);
  if (status_ < kMinimumStatus || status_ > kMaximumStatus) {
    throw net_error("the response has the invalid status code " +
                    std::string(line.substr(kCode, kCodeEnd - kCode)));
  }
  if (status_ == kSwitchingProtocols) {
    throw net_error("the response switches to an unrequested protocol");
  }
  headers_.clear();
  section_ = section::fields;
}

bool response_head::EndHead() {
  if (status_ < kMinimumFinalStatus) {
    section_ = section::status_line;
    return false;
  }
  section_ = section::trailers;
  return true;
}

void response_head::ReadField(std::string_view line) {
  // The library takes any line that begins with one for the end of the headers.
  if (line.find('\r') != std::string_view::npos) {
    throw net_error("a header line of the response has a bare carriage return");
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return;
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = TrimBlanks(line.substr(colon + 1));
  AddField(core::ToLower(std::string(name)), value);
}

void response_head::AddField(const std::string& name, std::string_view value) {
  if (headers_.size() >= maximum_fields_) {
    throw net_error("the response has too many headers");
  }
  const auto [position, inserted] = headers_.try_emplace(name, value);
  if (inserted) return;
  if (position->second == value) return;
  if (name == kContentLength) {
    throw net_error("the response has two different lengths");
  }
  // Different values form a list, so that none of them is lost.
  position->second.append(", ").append(value);
  if (position->second.size() > kMaximumListedBytes) {
    throw net_error("a repeated header of the response is too long");
  }
}

}  // namespace comfreyspring::net
