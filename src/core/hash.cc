#include "core/hash.h"

#include <xxhash.h>

namespace comfreyspring::core {

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t RendezvousWeight(std::string_view key, std::string_view member) {
  return Hash64(member, Hash64(key));
}

}  // namespace comfreyspring::core
