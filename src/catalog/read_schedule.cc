#include "catalog/read_schedule.h"

#include <algorithm>

namespace comfreyspring::catalog {
namespace {

/** Largest random extension, as a share of the limit. */
constexpr double kMaximumSpread = 0.5;

core::milliseconds Extended(core::milliseconds limit, double share) {
  return core::milliseconds(static_cast<std::int64_t>(
      (1.0 + share) * static_cast<double>(limit.count())));
}

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

void read_schedule::OnEndpointsRead(core::time_point known_at) {
  endpoints_read_at_ = known_at;
}

bool read_schedule::IsReader() const {
  return !rank_ || *rank_ < options_.readers;
}

core::milliseconds read_schedule::MaximumConfirmationGap() const {
  return Extended(options_.confirmation_limit, kMaximumSpread);
}

core::time_point read_schedule::NextRead() const {
  const auto after_pause = read_at_ + options_.pause;
  if (IsReader()) return after_pause;
  return std::max(
      after_pause,
      confirmed_at_ + Extended(options_.confirmation_limit, spread_));
}

core::time_point read_schedule::NextEndpointRead() const {
  return std::max(confirmed_at_, endpoints_read_at_) +
         Extended(options_.endpoint_limit, spread_);
}

}  // namespace comfreyspring::catalog
