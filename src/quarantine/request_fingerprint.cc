#include "quarantine/request_fingerprint.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>

#include "core/hash.h"

namespace comfreyspring::quarantine {
namespace {

constexpr std::string_view kPrefix = "request:";

}  // namespace

core::prompt_part_id RequestFingerprint(
    std::initializer_list<std::string_view> fields) {
  // The hash of each field is the seed of the next one's, so that the borders
  // between fields count.
  std::uint64_t hash = 0;
  for (const std::string_view field : fields) {
    hash = core::Hash64(field, hash);
  }
  constexpr std::size_t kHexBytes = 17;
  std::array<char, kHexBytes> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(hash));
  return core::prompt_part_id(std::string(kPrefix) + text.data());
}

bool IsRequest(const core::prompt_part_id& suspect) {
  return suspect.Value().starts_with(kPrefix);
}

}  // namespace comfreyspring::quarantine
