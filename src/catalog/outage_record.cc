#include "catalog/outage_record.h"

#include <algorithm>

namespace comfreyspring::catalog {
namespace {

/** The rest of the bound is for requests in flight to the endpoint. */
constexpr double kUsableShareOfBound = 0.75;

}  // namespace

outage_record::outage_record(core::milliseconds minimum_duration)
    : minimum_duration_(minimum_duration) {}

bool outage_record::OnReconnected(core::time_point failing_since,
                                  const catalog_position& position,
                                  core::time_point now) {
  if (now - failing_since < minimum_duration_) return false;
  // Another process may have read earlier and reported the outage.
  if (last_ && last_->ended >= failing_since) return false;
  last_ = {failing_since, now, position};
  return true;
}

bool outage_record::OnReported(const reported_outage& reported,
                               core::time_point last_contact,
                               core::milliseconds maximum_contact_gap,
                               core::time_point now) {
  const auto ended = now - reported.ended_ago;
  if (last_ && ended >= last_->began && ended < last_->ended) {
    last_->ended = ended;
    last_->position = std::min(last_->position, reported.position);
    return true;
  }
  // This process had contact with the platform in the meantime, so only the
  // other process was cut off.
  if (ended - last_contact < minimum_duration_ + maximum_contact_gap)
    return false;
  last_ = {last_contact, ended, reported.position};
  return true;
}

bool outage_record::OnRestored(const catalog_position& position,
                               core::time_point last_contact,
                               core::time_point ended) {
  if (last_ && last_->position.era >= position.era) return false;
  last_ = {std::min(last_contact, ended), ended, position};
  return true;
}

bool outage_record::OnMassRemoval(const catalog_position& known_before,
                                  core::milliseconds reregistration_time,
                                  core::time_point now) {
  if (last_ && now - last_->ended < reregistration_time) return false;
  last_ = {now, now, known_before};
  return true;
}

std::optional<reported_outage> outage_record::ToReport(
    core::milliseconds age_limit, core::time_point now) const {
  if (!last_) return std::nullopt;
  const auto age = core::ToMilliseconds(now - last_->ended);
  if (age > age_limit) return std::nullopt;
  return reported_outage{last_->position, age};
}

core::time_point UsableUntil(const std::optional<outage_record::outage>& last,
                             const catalog_position& removed_at,
                             core::time_point listed_at,
                             const removal_grace_limits& limits) {
  if (!last) return core::time_point::min();
  const auto reregistered_by = last->ended + limits.reregistration_time;
  if (removed_at <= last->position) return reregistered_by;
  const core::milliseconds usable_time(static_cast<std::int64_t>(
      kUsableShareOfBound * static_cast<double>(limits.removal_bound.count())));
  return std::min(reregistered_by, listed_at + usable_time);
}

}  // namespace comfreyspring::catalog
