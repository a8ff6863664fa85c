#include "net/head_grammar.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "core/text.h"
#include "net/event_loop.h"

namespace comfreyspring::net {
namespace {

/** Longest part of a field name in an error text. */
constexpr std::size_t kMaximumQuotedBytes = 64;

bool IsTokenCharacter(char c) {
  return core::IsDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool IsControlCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (byte < ' ' && c != '\t') || byte == 0x7f;
}

/** Callers send more bytes in targets than the grammar of URIs has. */
bool IsTargetCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte > ' ' && byte != 0x7f;
}

template <class Predicate>
std::size_t FindNot(std::string_view text, Predicate is_valid) {
  const auto* const found =
      std::find_if_not(text.begin(), text.end(), is_valid);
  return found == text.end() ? std::string_view::npos
                             : static_cast<std::size_t>(found - text.begin());
}

/** @param message "request" or "response". */
void CheckFields(const header_map& headers, const std::string& message) {
  for (const auto& [name, value] : headers) {
    if (name.empty()) {
      throw net_error("a field of the " + message + " has no name");
    }
    const std::size_t invalid = FindNonToken(name);
    if (invalid != std::string::npos) {
      std::string text = "a field name of the " + message +
                         " has the character " + ByteText(name[invalid]);
      // What follows may be a value.
      const std::string_view start(name.data(), invalid);
      if (!start.empty()) text.append(" after ").append(Quoted(start));
      throw net_error(text);
    }
    const std::size_t control = FindControl(value);
    if (control != std::string::npos) {
      throw net_error("the field " + std::string(Quoted(name)) + " of the " +
                      message + " has the control character " +
                      ByteText(value[control]));
    }
  }
}

}  // namespace

std::size_t FindNonToken(std::string_view text) {
  return FindNot(text, IsTokenCharacter);
}

std::size_t FindControl(std::string_view text) {
  return FindNot(text, [](char c) { return !IsControlCharacter(c); });
}

std::string_view TrimBlanks(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string ByteText(char c) {
  std::array<char, 8> text{};
  std::snprintf(text.data(), text.size(), "0x%02x",
                static_cast<unsigned>(static_cast<unsigned char>(c)));
  return text.data();
}

std::string_view Quoted(std::string_view name) {
  return name.substr(0, kMaximumQuotedBytes);
}

void CheckRequestHead(std::string_view method, std::string_view target,
                      const header_map& headers) {
  if (method.empty()) throw net_error("the request has no method");
  if (const std::size_t invalid = FindNonToken(method);
      invalid != std::string_view::npos) {
    throw net_error("the method of the request has the character " +
                    ByteText(method[invalid]));
  }
  if (const std::size_t invalid = FindNot(target, IsTargetCharacter);
      invalid != std::string_view::npos) {
    throw net_error("the target of the request has the character " +
                    ByteText(target[invalid]));
  }
  CheckFields(headers, "request");
}

void CheckResponseFields(const header_map& headers) {
  CheckFields(headers, "response");
}

}  // namespace comfreyspring::net
