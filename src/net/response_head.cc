#include "net/response_head.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

#include "core/text.h"
#include "net/event_loop.h"
#include "net/head_grammar.h"

namespace comfreyspring::net {
namespace {

/** Limit for the values of a field that is repeated. */
constexpr std::size_t kMaximumListedBytes = 16 * 1024;

constexpr int kMinimumStatus = 100;
constexpr int kMaximumStatus = 599;
constexpr int kMinimumFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;

constexpr const char* kContentLength = "content-length";
constexpr const char* kTransferEncoding = "transfer-encoding";

/**
 * @param what,name what the error calls the text; a long name is shortened.
 * @throws net_error if `text` contains a control character.
 */
void CheckText(std::string_view text, const char* what,
               std::string_view name = {}) {
  const std::size_t control = FindControl(text);
  if (control == std::string_view::npos) return;
  throw net_error(what + std::string(Quoted(name)) +
                  " of the response has the control character " +
                  ByteText(text[control]));
}

}  // namespace

response_head::response_head(std::size_t maximum_fields,
                             protocol_upgrade upgrade)
    : maximum_fields_(maximum_fields), upgrade_(upgrade) {}

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
  // Recipients treat later minor versions as the one that they support.
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kCode = kVersion.size() + 2;
  constexpr std::size_t kCodeEnd = kCode + 3;
  const bool is_valid =
      line.substr(0, kVersion.size()) == kVersion && line.size() >= kCodeEnd &&
      core::IsDigit(line[kVersion.size()]) && line[kCode - 1] == ' ' &&
      std::all_of(line.begin() + kCode, line.begin() + kCodeEnd,
                  core::IsDigit) &&
      (line.size() == kCodeEnd || line[kCodeEnd] == ' ');
  if (!is_valid) {
    throw net_error("the status line of the response is malformed");
  }
  CheckText(line, "the status line");
  std::from_chars(line.data() + kCode, line.data() + kCodeEnd, status_);
  if (status_ < kMinimumStatus || status_ > kMaximumStatus) {
    throw net_error("the response has the invalid status code " +
                    std::string(line.substr(kCode, kCodeEnd - kCode)));
  }
  if (status_ == kSwitchingProtocols &&
      upgrade_ == protocol_upgrade::not_requested) {
    throw net_error("the response switches to an unrequested protocol");
  }
  headers_.clear();
  section_ = section::fields;
}

bool response_head::IsInterim() const {
  return status_ < kMinimumFinalStatus && status_ != kSwitchingProtocols;
}

bool response_head::EndHead() {
  if (IsInterim()) {
    section_ = section::status_line;
    return false;
  }
  CheckFraming();
  section_ = section::trailers;
  return true;
}

void response_head::ReadField(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    throw net_error("a header line of the response has no colon");
  }
  const std::string_view name = line.substr(0, colon);
  if (name.empty()) {
    throw net_error("a header field of the response has no name");
  }
  // Also a folded line, which begins with a blank.
  const std::size_t invalid = FindNonToken(name);
  if (invalid != std::string_view::npos) {
    throw net_error("a field name of the response has the character " +
                    ByteText(name[invalid]));
  }
  const std::string_view value = TrimBlanks(line.substr(colon + 1));
  CheckText(value, "the field ", name);
  AddField(core::ToLower(std::string(name)), value);
}

void response_head::AddField(const std::string& name, std::string_view value) {
  if (headers_.size() >= maximum_fields_) {
    throw net_error("the response has too many headers");
  }
  const auto [position, inserted] = headers_.try_emplace(name, value);
  if (inserted) return;
  // A coding may be applied repeatedly, so equal values add up.
  if (name == kTransferEncoding) {
    throw net_error("the response has two transfer encodings");
  }
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

void response_head::CheckFraming() const {
  const auto coding = headers_.find(kTransferEncoding);
  if (coding != headers_.end()) {
    // The only coding that needs no offer in the request.
    if (core::ToLower(coding->second) == "chunked") return;
    throw net_error("the response has an unknown transfer encoding");
  }
  const auto length = headers_.find(kContentLength);
  if (length == headers_.end()) return;
  const std::string& text = length->second;
  std::int64_t bytes = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, bytes);
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      !core::IsDigit(text[0])) {
    throw net_error("the length of the response is not a valid number");
  }
}

}  // namespace comfreyspring::net
