#include "standins/platform/weight_store.h"

#include <algorithm>
#include <cmath>

namespace comfreyspring::standins {
namespace {

// Rounding to whole microseconds may leave this much of a finished transfer.
constexpr double kRoundingUs = 1.0;

}  // namespace

weight_store::weight_store(core::milliseconds full_speed,
                           std::size_t full_speed_limit)
    : full_speed_us_(
          static_cast<double>(core::microseconds(full_speed).count())),
      limit_(static_cast<double>(full_speed_limit)) {}

transfer_id weight_store::Begin(core::time_point now) {
  Advance(now);
  remaining_[next_] = full_speed_us_;
  return next_++;
}

void weight_store::Cancel(transfer_id transfer, core::time_point now) {
  Advance(now);
  remaining_.erase(transfer);
}

std::vector<transfer_id> weight_store::TakeComplete(core::time_point now) {
  Advance(now);
  std::vector<transfer_id> complete;
  for (const auto& [transfer, left] : remaining_) {
    if (left <= kRoundingUs) complete.push_back(transfer);
  }
  for (const transfer_id transfer : complete) remaining_.erase(transfer);
  return complete;
}

std::optional<core::time_point> weight_store::NextCompletion() const {
  if (remaining_.empty()) return std::nullopt;
  double least = full_speed_us_;
  for (const auto& [transfer, left] : remaining_) {
    least = std::min(least, left);
  }
  const double wait = std::ceil(std::max(0.0, least) * Slowdown());
  return advanced_to_ + core::microseconds(static_cast<std::int64_t>(wait));
}

void weight_store::Advance(core::time_point now) {
  const auto passed = static_cast<double>((now - advanced_to_).count());
  const double progress = passed / Slowdown();
  for (auto& [transfer, left] : remaining_) left -= progress;
  advanced_to_ = now;
}

double weight_store::Slowdown() const {
  return std::max(1.0, static_cast<double>(remaining_.size()) / limit_);
}

}  // namespace comfreyspring::standins
