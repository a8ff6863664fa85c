#include "core/types.h"

#include <array>
#include <cstdio>
#include <utility>

#include "core/error.h"

namespace comfreyspring::core {
namespace {

template <class Enum>
using name_pair = std::pair<Enum, std::string_view>;

constexpr std::array<name_pair<priority_class>, 2> kPriorityNames = {{
    {priority_class::urgent, "urgent"},
    {priority_class::may_wait, "may_wait"},
}};
constexpr std::array<name_pair<outcome>, 3> kOutcomeNames = {{
    {outcome::not_run, "not_run"},
    {outcome::unknown, "unknown"},
    {outcome::incomplete, "incomplete"},
}};
constexpr std::array<name_pair<request_kind>, 2> kRequestKindNames = {{
    {request_kind::completion, "completion"},
    {request_kind::service_call, "service_call"},
}};
constexpr std::array<name_pair<endpoint_kind>, 2> kEndpointKindNames = {{
    {endpoint_kind::engine, "engine"},
    {endpoint_kind::plain_service, "plain_service"},
}};

template <class Names, class Enum>
std::string_view NameOf(const Names& names, Enum value) {
  for (const auto& [candidate, name] : names) {
    if (candidate == value) return name;
  }
  return "invalid";
}

template <class Names>
auto ValueOf(const Names& names, std::string_view text, std::string_view what) {
  for (const auto& [value, name] : names) {
    if (name == text) return value;
  }
  throw invalid_value_error(std::string(what) + " '" + std::string(text) +
                            "' is not known");
}

}  // namespace

std::string ToString(const adapter_reference& reference) {
  return reference.adapter.Value() + "@" + reference.version.Value();
}

std::string ToString(const config_version& version) {
  std::array<char, 48> text = {};
  std::snprintf(text.data(), text.size(), "%llu.%016llx",
                static_cast<unsigned long long>(version.generation),
                static_cast<unsigned long long>(version.manifest_hash));
  return text.data();
}

std::string_view ToString(priority_class value) {
  return NameOf(kPriorityNames, value);
}
std::string_view ToString(outcome value) {
  return NameOf(kOutcomeNames, value);
}
std::string_view ToString(request_kind value) {
  return NameOf(kRequestKindNames, value);
}
std::string_view ToString(endpoint_kind value) {
  return NameOf(kEndpointKindNames, value);
}

priority_class ParsePriorityClass(std::string_view text) {
  return ValueOf(kPriorityNames, text, "priority class");
}
outcome ParseOutcome(std::string_view text) {
  return ValueOf(kOutcomeNames, text, "outcome");
}
request_kind ParseRequestKind(std::string_view text) {
  return ValueOf(kRequestKindNames, text, "request kind");
}
endpoint_kind ParseEndpointKind(std::string_view text) {
  return ValueOf(kEndpointKindNames, text, "endpoint kind");
}

}  // namespace comfreyspring::core
