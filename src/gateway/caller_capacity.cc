#include "gateway/caller_capacity.h"

#include <algorithm>

namespace comfreyspring::gateway {
namespace {

/** For the process itself, which uses 15 MB without load ... */
constexpr std::size_t kProcessBytes = 24 * 1000 * 1000;
/** ... but no more than this part (1/n) of a small machine. */
constexpr std::size_t kProcessShareDivisor = 3;
/** Part (1/n) of the rest for large bodies ... */
constexpr std::size_t kBodyShareDivisor = 4;
/** ... for small ones ... */
constexpr std::size_t kSmallBodyShareDivisor = 8;
/** ... and for connections. */
constexpr std::size_t kConnectionShareDivisor = 2;
/** The HTTP server's 40 KiB for a head, and its decoded header fields. */
constexpr std::size_t kConnectionBytes = 64 * 1024;
/**
 * Part (1/n) of the descriptors that is left to listeners, sidecars, the store
 * and endpoint connections that are kept open.
 */
constexpr std::size_t kReservedDescriptorsDivisor = 4;
/** Part (1/n) for connections that are closed but not read to their end. */
constexpr std::size_t kLingeringDescriptorsDivisor = 16;
/** A connection of a caller, and one to an endpoint for its request. */
constexpr std::size_t kDescriptorsPerCaller = 2;
constexpr std::size_t kMinimumConnections = 16;

std::size_t CallerMemory(std::size_t machine) {
  return machine - std::min(kProcessBytes, machine / kProcessShareDivisor);
}

}  // namespace

caller_capacity CapacityFor(const settings::node_settings& settings) {
  caller_capacity result;
  std::size_t connections = result.connections;
  if (settings.memory_bytes) {
    const std::size_t memory = CallerMemory(*settings.memory_bytes);
    connections = std::min(connections,
                           memory / kConnectionShareDivisor / kConnectionBytes);
    result.bodies.large_bytes =
        std::min(result.bodies.large_bytes, memory / kBodyShareDivisor);
  }
  if (settings.maximum_descriptors) {
    const std::size_t descriptors = *settings.maximum_descriptors;
    result.lingering_connections =
        std::min(result.lingering_connections,
                 descriptors / kLingeringDescriptorsDivisor);
    const std::size_t reserved = descriptors / kReservedDescriptorsDivisor +
                                 result.lingering_connections;
    connections =
        std::min(connections, (descriptors - reserved) / kDescriptorsPerCaller);
  }
  connections = std::max(connections, kMinimumConnections);
  result.connections = static_cast<unsigned>(connections);
  result.bodies.small_bytes = connections * net::body_budget::kSmallBodyBytes;
  if (settings.memory_bytes) {
    result.bodies.small_bytes = std::min(
        result.bodies.small_bytes,
        std::max(CallerMemory(*settings.memory_bytes) / kSmallBodyShareDivisor,
                 kMinimumConnections * net::body_budget::kSmallBodyBytes));
  }
  return result;
}

}  // namespace comfreyspring::gateway
