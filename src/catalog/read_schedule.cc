#include "catalog/read_schedule.h"

#include <algorithm>

namespace comfreyspring::catalog {
namespace {

/** Largest random extension, as a share of the limit. */
constexpr double kMaximumSpread = 0.5;

}  // namespace

read_schedule::read_schedule(read_schedule_options options)
    : options_(options), random_(options.random_seed) {}

void read_schedule::OnRank(std::optional<std::size_t> rank) { rank_ = rank; }

void read_schedule::OnRead(core::time_point known_at) {
  read_at_ = known_at;
  OnConfirmed(known_at);
}

void read_schedule::OnConfirmed(core::time_point read_at) {
  if (read_at <= confirmed_at_) return;
  confirmed_at_ = read_at;
  spread_ = kMaximumSpread * random_.NextUnit();
}

bool read_schedule::IsReader() const {
  return !rank_ || *rank_ < options_.readers;
}

core::milliseconds read_schedule::MaximumConfirmationGap() const {
  return core::milliseconds(static_cast<std::int64_t>(
      (1.0 + kMaximumSpread) *
      static_cast<double>(options_.confirmation_limit.count())));
}

core::time_point read_schedule::NextRead() const {
  const auto after_pause = read_at_ + options_.pause;
  if (IsReader()) return after_pause;
  const core::milliseconds limit(static_cast<std::int64_t>(
      (1.0 + spread_) *
      static_cast<double>(options_.confirmation_limit.count())));
  return std::max(after_pause, confirmed_at_ + limit);
}

}  // namespace comfreyspring::catalog
