#pragma once

#include <algorithm>
#include <cstdint>

namespace comfreyspring::quotas {

/** A tenant's quota in one version of the configuration. */
struct quota_limit {
  /** Units a second. */
  double rate = 0.0;
  /** Units beyond the rate that may be used at once. */
  double burst = 0.0;
  std::int64_t version = 0;

  friend bool operator==(const quota_limit&, const quota_limit&) = default;
};

/**
 * Role in which a sidecar counts a tenant. The fallback serves gateways that do
 * not reach the primary.
 */
enum class quota_role { primary, fallback };

/**
 * Share of the quota that a fallback gives. Together with the primary (1) and
 * the gateways that reach neither (`kLocalShare`) it stays below 1.25, the
 * tolerance of the platform, while gateways disagree on what can be reached.
 */
inline constexpr double kFallbackShare = 0.12;
/** Share of the rate that all gateways that reach no sidecar use together. */
inline constexpr double kLocalShare = 0.08;

}  // namespace comfreyspring::quotas
