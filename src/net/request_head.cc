#include "net/request_head.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "core/text.h"
#include "net/head_grammar.h"

namespace comfreyspring::net {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotImplemented = 501;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kContentLength = "content-length";
constexpr std::string_view kTransferEncoding = "transfer-encoding";
constexpr std::string_view kChunked = "chunked";
constexpr std::string_view kHost = "host";
constexpr std::string_view kCookie = "cookie";

[[noreturn]] void Refuse(const std::string& reason) {
  throw head_error(kBadRequest, reason);
}

bool IsNamed(const field_view& field, std::string_view name) {
  return field.name.size() == name.size() &&
         core::ToLower(std::string(field.name)) == name;
}

std::vector<std::string_view> ValuesOf(const std::vector<field_view>& fields,
                                       std::string_view name) {
  std::vector<std::string_view> values;
  for (const field_view& field : fields) {
    if (IsNamed(field, name)) values.push_back(field.value);
  }
  return values;
}

std::uint64_t ParseLength(std::string_view text) {
  std::uint64_t bytes = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, bytes);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    Refuse("the length of the request is not a valid number");
  }
  return bytes;
}

std::vector<std::string> ListOf(const std::vector<std::string_view>& values) {
  std::vector<std::string> items;
  for (std::string_view rest : values) {
    while (true) {
      const std::size_t comma = rest.find(',');
      items.push_back(
          core::ToLower(std::string(TrimBlanks(rest.substr(0, comma)))));
      if (comma == std::string_view::npos) break;
      rest.remove_prefix(comma + 1);
    }
  }
  return items;
}

/** @param values of all fields that name a transfer coding. */
void CheckCodings(const std::vector<std::string_view>& values) {
  const auto codings = ListOf(values);
  if (codings.back() != kChunked) {
    Refuse("the last transfer coding of the request is not chunked");
  }
  if (std::count(codings.begin(), codings.end(), kChunked) > 1) {
    Refuse("the request is chunked more than once");
  }
  if (codings.size() > 1) {
    throw head_error(kNotImplemented,
                     "the request has an unsupported transfer coding");
  }
  // The library accepts no blanks after the coding.
  if (values.front().size() != kChunked.size()) {
    Refuse("the transfer encoding of the request is malformed");
  }
}

}  // namespace

void CheckLayout(std::string_view head, std::size_t request_line_bytes,
                 const std::vector<field_view>& fields) {
  const char* position = head.data() + request_line_bytes;
  const char* const end = head.data() + head.size();
  const auto refuse = [] {
    Refuse("a line of the request's head is folded, or is no header field");
  };
  for (const field_view& field : fields) {
    const char* const colon = field.name.data() + field.name.size();
    const char* const value_end = field.value.data() + field.value.size();
    if (field.name.data() != position || field.value.data() <= colon ||
        value_end + kLineEnd.size() > end) {
      refuse();
    }
    position = value_end + kLineEnd.size();
  }
  // An empty line ends the head.
  if (position + kLineEnd.size() != end) refuse();
}

body_framing FramingOf(std::string_view version,
                       const std::vector<field_view>& fields) {
  const auto codings = ValuesOf(fields, kTransferEncoding);
  const auto lengths = ValuesOf(fields, kContentLength);
  if (!codings.empty()) {
    if (version == "HTTP/1.0") {
      Refuse("a request of HTTP/1.0 has a transfer encoding");
    }
    if (!lengths.empty()) {
      Refuse("the request has both a length and a transfer encoding");
    }
    CheckCodings(codings);
    return {.how = body_framing::kind::chunked};
  }
  if (lengths.empty()) return {};
  if (std::any_of(lengths.begin(), lengths.end(), [&](std::string_view each) {
        return each != lengths.front();
      })) {
    Refuse("the request has two different lengths");
  }
  return {.how = body_framing::kind::length,
          .bytes = ParseLength(lengths.front())};
}

header_map JoinFields(const std::vector<field_view>& fields) {
  header_map result;
  for (const field_view& field : fields) {
    const auto name = core::ToLower(std::string(field.name));
    const auto [position, inserted] = result.try_emplace(name, field.value);
    if (inserted || name == kContentLength) continue;
    if (name == kHost) Refuse("the request names two hosts");
    position->second.append(name == kCookie ? "; " : ", ").append(field.value);
  }
  return result;
}

}  // namespace comfreyspring::net
