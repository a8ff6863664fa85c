#include "catalog/outage_record.h"

#include <algorithm>

namespace comfreyspring::catalog {
namespace {

/** The rest is for requests on their way to an endpoint. */
constexpr double kUsedShareOfBound = 0.75;

}  // namespace

outage_record::outage_record(core::milliseconds shortest)
    : shortest_(shortest) {}

bool outage_record::OnRegained(core::time_point missing_since,
                               std::int64_t revision, core::time_point now) {
  if (now - missing_since < shortest_) return false;
  // Another process may have read first.
  if (last_ && last_->ended >= missing_since) return false;
  last_ = {missing_since, now, revision};
  return true;
}

bool outage_record::OnTold(const told_outage& told,
                           core::time_point last_contact,
                           core::milliseconds usual_gap, core::time_point now) {
  const auto ended = now - told.ended;
  if (last_ && ended >= last_->began && ended < last_->ended) {
    last_->ended = ended;
    last_->revision = std::min(last_->revision, told.revision);
    return true;
  }
  // The platform answered this process meanwhile: only the other was cut off.
  if (ended - last_contact < shortest_ + usual_gap) return false;
  last_ = {last_contact, ended, told.revision};
  return true;
}

bool outage_record::OnUnnoticed(std::int64_t known_before,
                                core::milliseconds return_time,
                                core::time_point now) {
  if (last_ && now - last_->ended < return_time) return false;
  last_ = {now, now, known_before};
  return true;
}

std::optional<told_outage> outage_record::ToTell(core::milliseconds age_limit,
                                                 core::time_point now) const {
  if (!last_) return std::nullopt;
  const auto age = core::ToMilliseconds(now - last_->ended);
  if (age > age_limit) return std::nullopt;
  return told_outage{last_->revision, age};
}

core::time_point UsableUntil(const std::optional<outage_record::outage>& last,
                             std::int64_t removed_at,
                             core::time_point listed_at,
                             const absence_limits& limits) {
  if (!last) return core::time_point::min();
  const auto returned_by = last->ended + limits.return_time;
  if (removed_at <= last->revision) return returned_by;
  const core::milliseconds used(static_cast<std::int64_t>(
      kUsedShareOfBound * static_cast<double>(limits.leaving_bound.count())));
  return std::min(returned_by, listed_at + used);
}

}  // namespace comfreyspring::catalog
