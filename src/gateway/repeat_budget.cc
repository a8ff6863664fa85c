#include "gateway/repeat_budget.h"

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

repeat_budget::repeat_budget(repeat_limits limits) : limits_(limits) {}

repeat_budget::bucket& repeat_budget::Current(core::time_point now) {
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

void repeat_budget::OnRequest(core::time_point now) { ++Current(now).requests; }

double repeat_budget::Left(std::size_t gateways, core::time_point now) {
  Current(now);
  int requests = 0;
  int repeats = 0;
  for (const bucket& each : buckets_) {
    requests += each.requests;
    repeats += each.repeats;
  }
  const double extra =
      limits_.extra / static_cast<double>(std::max<std::size_t>(1, gateways));
  return kUsedShare * (limits_.share * requests + extra) - repeats;
}

bool repeat_budget::TryTake(std::size_t gateways, core::time_point now) {
  if (Left(gateways, now) < 1.0) return false;
  ++Current(now).repeats;
  return true;
}

}  // namespace comfreyspring::gateway
