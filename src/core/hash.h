#pragma once

#include <cstdint>
#include <string_view>

namespace comfreyspring::core {

/** 64-bit XXH3 hash; gives the same result on every machine. */
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

/**
 * Weight of a member for a key in rendezvous hashing: a key is assigned to the
 * member with the highest weight.
 */
std::uint64_t RendezvousWeight(std::string_view key, std::string_view member);

}  // namespace comfreyspring::core
