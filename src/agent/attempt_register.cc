#include "agent/attempt_register.h"

#include <algorithm>
#include <string_view>

#include "core/error.h"
#include "core/uuid.h"

namespace comfreyspring::agent {

namespace {

constexpr std::size_t kUuidLength = 36;

}  // namespace

attempt_register::attempt_register(register_options options)
    : options_(options),
      forgotten_until_(options.started_at),
      wall_now_(options.started_at) {}

attempt_knowledge attempt_register::Knowledge(
    const core::attempt_id& attempt) const {
  const auto found = attempts_.find(attempt);
  return found == attempts_.end() ? attempt_knowledge::fresh : found->second;
}

void attempt_register::Take(const core::attempt_id& attempt,
                            core::time_point now) {
  Add(attempt, attempt_knowledge::taken, now);
}

void attempt_register::Bar(const core::attempt_id& attempt,
                           core::time_point now) {
  Add(attempt, attempt_knowledge::barred, now);
}

void attempt_register::Add(const core::attempt_id& attempt,
                           attempt_knowledge knowledge, core::time_point now) {
  const bool added = attempts_.insert_or_assign(attempt, knowledge).second;
  if (!added) return;
  order_.push_back({attempt, now});
  if (order_.size() > options_.maximum_attempts) ForgetOldest();
}

void attempt_register::ForgetOldest() {
  attempts_.erase(order_.front().attempt);
  order_.pop_front();
  // Its id was made before now; a later one may still be known.
  forgotten_until_ = std::max(forgotten_until_, wall_now_);
}

bool attempt_register::ProvesNotTaken(const core::attempt_id& attempt) const {
  const std::string_view id = attempt.Value();
  if (id.size() < kUuidLength) return false;
  try {
    const auto made = core::UuidV7Time(id.substr(0, kUuidLength));
    return made > forgotten_until_ + options_.clock_skew;
  } catch (const core::invalid_value_error&) {
    return false;
  }
}

void attempt_register::OnTick(core::time_point now, core::wall_time wall_now) {
  wall_now_ = std::max(wall_now_, wall_now);
  while (!order_.empty() && now - order_.front().added_at >= options_.memory) {
    attempts_.erase(order_.front().attempt);
    order_.pop_front();
    // What is forgotten now was made at least the memory's length ago.
    forgotten_until_ = std::max(forgotten_until_, wall_now_ - options_.memory);
  }
}

}  // namespace comfreyspring::agent
