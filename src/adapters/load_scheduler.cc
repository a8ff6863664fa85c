#include "adapters/load_scheduler.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace comfreyspring::adapters {
namespace {

/** The weight store sustains 8 loads at full speed, across all engines. */
constexpr double kMaximumWindow = 4.0;
constexpr double kMinimumWindow = 1.0 / 16;
/** Load times up to this multiple of the uncongested time grow the window. */
constexpr double kUncongestedFactor = 1.3;
/** Load times above this multiple of the uncongested time halve the window. */
constexpr double kCongestedFactor = 1.8;
constexpr core::milliseconds kFirstBackoff{250};
constexpr core::milliseconds kMaximumBackoff{10'000};
/** Failure entries are pruned this long after their backoff, if at capacity. */
constexpr core::milliseconds kFailureRetention{60'000};
constexpr std::size_t kMaximumFailureEntries = 1024;
/** `may_wait` demand of this age ranks as urgent, so that it cannot starve. */
constexpr core::milliseconds kMayWaitStarvationTimeout{10'000};

/** Class and time by which demands are ordered; the lowest is loaded first. */
std::pair<int, core::time_point> RankOf(const load_demand& demand,
                                        core::time_point now) {
  const bool overdue = demand.may_wait > 0 &&
                       now - demand.oldest_may_wait > kMayWaitStarvationTimeout;
  if (overdue && demand.urgent > 0) {
    return {0, std::min(demand.oldest_urgent,
                        demand.oldest_may_wait + kMayWaitStarvationTimeout)};
  }
  if (overdue) return {0, demand.oldest_may_wait + kMayWaitStarvationTimeout};
  if (demand.urgent > 0) return {0, demand.oldest_urgent};
  return {1, demand.oldest_may_wait};
}

}  // namespace

load_scheduler::load_scheduler(load_scheduler_options options)
    : options_(options),
      random_(options.random_seed),
      smoothed_time_(options.uncongested_load_time) {
  assert(options_.maximum_load_failures > 0);
  assert(options_.uncongested_load_time.count() > 0);
}

void load_scheduler::SetDemand(const core::adapter_reference& adapter,
                               const load_demand& demand) {
  if (demand.urgent + demand.may_wait == 0) {
    demand_.erase(adapter);
  } else {
    demand_.insert_or_assign(adapter, demand);
  }
}

bool load_scheduler::MayStartLoad(core::time_point now) const {
  if (in_flight_.empty()) {
    if (window_ >= 1.0) return true;
    const core::microseconds gap(static_cast<std::int64_t>(
        static_cast<double>(
            core::microseconds(options_.uncongested_load_time).count()) /
        window_));
    return now - last_started_ >= gap;
  }
  return static_cast<double>(in_flight_.size()) + 1.0 <= window_;
}

bool load_scheduler::IsCandidate(const core::adapter_reference& adapter,
                                 core::time_point now) const {
  if (in_flight_.contains(adapter)) return false;
  const auto failed = failures_.find(adapter);
  return failed == failures_.end() || failed->second.retry_at <= now;
}

std::optional<core::adapter_reference> load_scheduler::Next(
    core::time_point now) const {
  if (demand_.empty() || !MayStartLoad(now)) return std::nullopt;
  const core::adapter_reference* best = nullptr;
  std::pair<int, core::time_point> best_rank;
  for (const auto& [adapter, demand] : demand_) {
    if (!IsCandidate(adapter, now)) continue;
    const auto rank = RankOf(demand, now);
    // Ties are broken by adapter name, so that runs are reproducible.
    if (best == nullptr || rank < best_rank ||
        (rank == best_rank && adapter < *best)) {
      best = &adapter;
      best_rank = rank;
    }
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

void load_scheduler::OnStarted(const core::adapter_reference& adapter,
                               core::time_point now) {
  assert(!in_flight_.contains(adapter));
  if (other_demand_at_last_start_) {
    const auto interval = core::ToMilliseconds(now - last_started_);
    smoothed_interval_ = (smoothed_interval_ * 7 + interval) / 8;
  }
  other_demand_at_last_start_ =
      demand_.size() > (demand_.contains(adapter) ? 1U : 0U);
  in_flight_.emplace(adapter, now);
  last_started_ = now;
}

void load_scheduler::OnDone(const core::adapter_reference& adapter,
                            core::milliseconds took, core::time_point now) {
  if (in_flight_.erase(adapter) == 0) return;
  failures_.erase(adapter);
  smoothed_time_ = (smoothed_time_ * 3 + took) / 4;
  AdjustWindow(took, now);
}

void load_scheduler::AdjustWindow(core::milliseconds took,
                                  core::time_point now) {
  const double slowdown =
      static_cast<double>(took.count()) /
      static_cast<double>(options_.uncongested_load_time.count());
  if (slowdown <= kUncongestedFactor) {
    // Below 1 the growth is multiplicative; otherwise a window of 1/16 would
    // take a minute to recover.
    window_ += window_ < 1.0 ? window_ / 4 : 1.0 / window_;
    window_ = std::min(window_, kMaximumWindow);
  } else if (slowdown > kCongestedFactor && now - last_decrease_ >= took) {
    // Overlapping loads observe the same congestion, which must count once.
    window_ = std::max(window_ / 2, kMinimumWindow);
    last_decrease_ = now;
  }
}

bool load_scheduler::OnFailed(const core::adapter_reference& adapter,
                              core::time_point now) {
  if (in_flight_.erase(adapter) == 0) return false;
  if (failures_.size() >= kMaximumFailureEntries) {
    std::erase_if(failures_, [now](const auto& entry) {
      return entry.second.retry_at + kFailureRetention <= now;
    });
  }
  failures& failed = failures_[adapter];
  ++failed.count;
  failed.retry_at = now + Backoff(failed.count);
  return failed.count >= options_.maximum_load_failures;
}

core::milliseconds load_scheduler::Backoff(int failed) {
  core::milliseconds backoff = kFirstBackoff;
  for (int i = 1; i < failed && backoff < kMaximumBackoff; ++i) backoff *= 2;
  backoff = std::min(backoff, kMaximumBackoff);
  // Jitter of 50% to 100% keeps agents from retrying at the same time.
  const double share = 0.5 + 0.5 * random_.NextUnit();
  return core::milliseconds(
      static_cast<std::int64_t>(share * static_cast<double>(backoff.count())));
}

void load_scheduler::OnEngineRestart() {
  in_flight_.clear();
  window_ = std::min(window_, 1.0);
}

core::milliseconds load_scheduler::RefusalDuration(
    const core::adapter_reference& adapter, core::time_point now) const {
  const auto failed = failures_.find(adapter);
  if (failed == failures_.end() ||
      failed->second.count < options_.maximum_load_failures ||
      failed->second.retry_at <= now) {
    return core::milliseconds(0);
  }
  return core::ToMilliseconds(failed->second.retry_at - now) +
         core::milliseconds(1);
}

core::milliseconds load_scheduler::ExpectedDelay(
    const core::adapter_reference& adapter, core::time_point now) const {
  const auto loading = in_flight_.find(adapter);
  if (loading != in_flight_.end()) {
    const auto elapsed = core::ToMilliseconds(now - loading->second);
    return std::max(smoothed_time_ - elapsed, core::milliseconds(0));
  }
  std::size_t ahead = 0;
  for (const auto& [other, demand] : demand_) {
    if (other != adapter && RankOf(demand, now).first == 0) ++ahead;
  }
  const auto own = demand_.find(adapter);
  if (own != demand_.end() && own->second.urgent > 0) {
    // The adapter is queued already; on average half of the others come later.
    ahead /= 2;
  }
  const auto waiting = static_cast<std::int64_t>(ahead);
  const double rounds =
      static_cast<double>(in_flight_.size() + ahead) / window_;
  const core::milliseconds paced(static_cast<std::int64_t>(
      rounds * static_cast<double>(smoothed_time_.count())));
  return std::max(paced, smoothed_interval_ * waiting) + smoothed_time_;
}

}  // namespace comfreyspring::adapters
