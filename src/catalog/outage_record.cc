#include "catalog/outage_record.h"

#include <algorithm>

namespace comfreyspring::catalog {

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

void outage_record::OnUnnoticed(std::int64_t revision, core::time_point now) {
  last_ = {now, now, revision};
}

std::optional<told_outage> outage_record::ToTell(core::milliseconds age_limit,
                                                 core::time_point now) const {
  if (!last_) return std::nullopt;
  const auto age = core::ToMilliseconds(now - last_->ended);
  if (age > age_limit) return std::nullopt;
  return told_outage{last_->revision, age};
}

}  // namespace comfreyspring::catalog
