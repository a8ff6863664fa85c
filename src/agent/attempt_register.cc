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
      evicted_until_(options.started_at),
      wall_now_(options.started_at) {}

attempt_status attempt_register::Status(const core::attempt_id& attempt) const {
  const auto found = attempts_.find(attempt);
  return found == attempts_.end() ? attempt_status::unseen : found->second;
}

void attempt_register::MarkSubmitted(const core::attempt_id& attempt,
                                     core::time_point now) {
  Add(attempt, attempt_status::submitted, now);
}

void attempt_register::Block(const core::attempt_id& attempt,
                             core::time_point now) {
  Add(attempt, attempt_status::blocked, now);
}

void attempt_register::Add(const core::attempt_id& attempt,
                           attempt_status status, core::time_point now) {
  const bool added = attempts_.insert_or_assign(attempt, status).second;
  if (!added) return;
  insertion_order_.push_back({attempt, now});
  if (insertion_order_.size() > options_.maximum_attempts) EvictOldest();
}

void attempt_register::EvictOldest() {
  attempts_.erase(insertion_order_.front().attempt);
  insertion_order_.pop_front();
  // The evicted attempt was created before now; attempts created later cannot
  // have been evicted yet.
  evicted_until_ = std::max(evicted_until_, wall_now_);
}

bool attempt_register::CannotHaveRun(const core::attempt_id& attempt) const {
  const std::string_view id = attempt.Value();
  if (id.size() < kUuidLength) return false;
  try {
    const auto created_at = core::UuidV7Time(id.substr(0, kUuidLength));
    return created_at > evicted_until_ + options_.clock_skew;
  } catch (const core::invalid_value_error&) {
    return false;
  }
}

void attempt_register::OnTick(core::time_point now, core::wall_time wall_now) {
  wall_now_ = std::max(wall_now_, wall_now);
  while (!insertion_order_.empty() &&
         now - insertion_order_.front().added_at >= options_.retention) {
    attempts_.erase(insertion_order_.front().attempt);
    insertion_order_.pop_front();
    // An attempt evicted here was created at least the retention time ago.
    evicted_until_ = std::max(evicted_until_, wall_now_ - options_.retention);
  }
}

}  // namespace comfreyspring::agent
