#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace comfreyspring::core {

struct token_count {
  std::int64_t value = 0;
  // clang-tidy 14 takes the 0 in the defaulted comparison for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const token_count&, const token_count&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

/** An adapter together with one of its versions. */
struct adapter_reference {
  adapter_id adapter;
  version_id version;
  // clang-tidy 14 takes the 0 in the defaulted comparison for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const adapter_reference&,
                          const adapter_reference&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

/** Formats as `adapter@version`. */
std::string ToString(const adapter_reference& reference);

/** Scheduling priority; `may_wait` marks work that tolerates delay. */
enum class priority_class { urgent, may_wait };

/** Execution state of a request that did not get a complete response. */
enum class outcome {
  /** Known not to have run; a retry is safe. */
  not_run,
  /** May have run; only the endpoint's own records can tell. */
  unknown,
  /** Ran partially; the response was cut off. */
  incomplete,
};

enum class request_kind { completion, service_call };

enum class endpoint_kind { engine, plain_service };

/**
 * Version of a configuration set. If two sets were published with the same
 * generation, the hash breaks the tie, so that all processes choose the same
 * one.
 */
struct config_version {
  std::uint64_t generation = 0;
  std::uint64_t manifest_hash = 0;
  // clang-tidy 14 takes the 0 in the defaulted comparison for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const config_version&,
                          const config_version&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

/** Formats as `generation.hash` with the hash in hexadecimal. */
std::string ToString(const config_version& version);

/** Stable names, used on the wire, in configuration and in state dumps. */
std::string_view ToString(priority_class value);
std::string_view ToString(outcome value);
std::string_view ToString(request_kind value);
std::string_view ToString(endpoint_kind value);

/** Inverse of ToString. @throws invalid_value_error on an unknown name. */
priority_class ParsePriorityClass(std::string_view text);
outcome ParseOutcome(std::string_view text);
request_kind ParseRequestKind(std::string_view text);
endpoint_kind ParseEndpointKind(std::string_view text);

}  // namespace comfreyspring::core

template <>
struct std::hash<comfreyspring::core::adapter_reference> {
  std::size_t operator()(
      const comfreyspring::core::adapter_reference& reference) const noexcept {
    const std::size_t first =
        std::hash<std::string>()(reference.adapter.Value());
    const std::size_t second =
        std::hash<std::string>()(reference.version.Value());
    return first ^ (second + 0x9e3779b97f4a7c15ULL + (first << 6));
  }
};
