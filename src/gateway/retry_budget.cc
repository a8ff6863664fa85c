#include "gateway/retry_budget.h"

#include <algorithm>

namespace comfreyspring::gateway {
namespace {

constexpr int kBucketsPerWindow = 20;
/**
 * The rest is a margin, since gateways and observers place their windows
 * differently.
 */
constexpr double kUsedShare = 0.85;

}  // namespace

retry_budget::retry_budget(retry_limits limits) : limits_(limits) {}

retry_budget::bucket& retry_budget::Current(core::time_point now) {
  const auto length = limits_.window / kBucketsPerWindow;
  // Keeps a bucket until the end of its interval has left the window.
  while (!buckets_.empty() &&
         buckets_.front().start + limits_.window + length <= now) {
    buckets_.pop_front();
  }
  if (buckets_.empty() || buckets_.back().start + length <= now) {
    buckets_.push_back({now});
  }
  return buckets_.back();
}

void retry_budget::OnRequest(core::time_point now) { ++Current(now).requests; }

double retry_budget::Available(std::size_t gateways, core::time_point now) {
  Current(now);
  int requests = 0;
  int retries = 0;
  for (const bucket& each : buckets_) {
    requests += each.requests;
    retries += each.retries;
  }
  const double extra =
      limits_.extra / static_cast<double>(std::max<std::size_t>(1, gateways));
  return kUsedShare * (limits_.share * requests + extra) - retries;
}

bool retry_budget::TryTake(std::size_t gateways, core::time_point now) {
  if (Available(gateways, now) < 1.0) return false;
  ++Current(now).retries;
  return true;
}

}  // namespace comfreyspring::gateway
