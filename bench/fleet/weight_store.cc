#include "bench/fleet/weight_store.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace comfreyspring::bench {
namespace {

constexpr double kLoadMs = 250.0;
constexpr double kMaxFullSpeedLoads = 8.0;
constexpr double kRemainingToleranceMs = 0.002;

}  // namespace

void weight_store::Load(std::function<void(core::milliseconds)> done) {
  AdvanceTransfers();
  transfers_[started_count_++] = {kLoadMs, events_.Now(), std::move(done)};
  ScheduleNext();
}

double weight_store::RelativeSpeed() const {
  const auto count = static_cast<double>(transfers_.size());
  return count <= kMaxFullSpeedLoads ? 1.0 : kMaxFullSpeedLoads / count;
}

void weight_store::AdvanceTransfers() {
  const std::chrono::duration<double, std::milli> elapsed =
      events_.Now() - advanced_to_;
  const double progress = elapsed.count() * RelativeSpeed();
  for (auto& [id, item] : transfers_) item.remaining_ms -= progress;
  advanced_to_ = events_.Now();
}

void weight_store::ScheduleNext() {
  ++revision_;
  if (transfers_.empty()) return;
  double shortest_remaining_ms = kLoadMs;
  for (const auto& [id, item] : transfers_) {
    shortest_remaining_ms = std::min(shortest_remaining_ms, item.remaining_ms);
  }
  const double delay_us =
      std::max(0.0, shortest_remaining_ms / RelativeSpeed()) * 1000.0 + 1.0;
  const std::uint64_t revision = revision_;
  events_.After(core::microseconds(static_cast<std::int64_t>(delay_us)),
                [this, revision] {
                  if (revision == revision_) FinishDue();
                });
}

void weight_store::FinishDue() {
  AdvanceTransfers();
  std::vector<transfer> finished;
  for (auto item = transfers_.begin(); item != transfers_.end();) {
    if (item->second.remaining_ms > kRemainingToleranceMs) {
      ++item;
      continue;
    }
    finished.push_back(std::move(item->second));
    item = transfers_.erase(item);
  }
  ScheduleNext();
  for (transfer& item : finished) {
    item.done(core::ToMilliseconds(events_.Now() - item.started));
  }
}

}  // namespace comfreyspring::bench
