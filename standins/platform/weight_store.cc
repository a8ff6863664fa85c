#include "standins/platform/weight_store.h"

#include <algorithm>
#include <cmath>

namespace comfreyspring::standins {
namespace {

// Rounding to whole microseconds can leave this much of a complete transfer.
constexpr double kRoundingUs = 1.0;

}  // namespace

weight_store::weight_store(core::milliseconds full_speed_duration,
                           std::size_t full_speed_transfers)
    : full_speed_duration_us_(
          static_cast<double>(core::microseconds(full_speed_duration).count())),
      full_speed_transfers_(static_cast<double>(full_speed_transfers)) {}

transfer_id weight_store::Begin(core::time_point now) {
  Advance(now);
  remaining_us_[next_id_] = full_speed_duration_us_;
  return next_id_++;
}

void weight_store::Cancel(transfer_id transfer, core::time_point now) {
  Advance(now);
  remaining_us_.erase(transfer);
}

std::vector<transfer_id> weight_store::TakeComplete(core::time_point now) {
  Advance(now);
  std::vector<transfer_id> complete;
  for (const auto& [transfer, left_us] : remaining_us_) {
    if (left_us <= kRoundingUs) complete.push_back(transfer);
  }
  for (const transfer_id transfer : complete) remaining_us_.erase(transfer);
  return complete;
}

std::optional<core::time_point> weight_store::NextCompletion() const {
  if (remaining_us_.empty()) return std::nullopt;
  double least_us = full_speed_duration_us_;
  for (const auto& [transfer, left_us] : remaining_us_) {
    least_us = std::min(least_us, left_us);
  }
  const double wait = std::ceil(std::max(0.0, least_us) * Slowdown());
  return advanced_to_ + core::microseconds(static_cast<std::int64_t>(wait));
}

void weight_store::Advance(core::time_point now) {
  const auto passed = static_cast<double>((now - advanced_to_).count());
  const double progress = passed / Slowdown();
  for (auto& [transfer, left_us] : remaining_us_) left_us -= progress;
  advanced_to_ = now;
}

double weight_store::Slowdown() const {
  return std::max(
      1.0, static_cast<double>(remaining_us_.size()) / full_speed_transfers_);
}

}  // namespace comfreyspring::standins
