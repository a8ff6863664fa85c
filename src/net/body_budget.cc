#include "net/body_budget.h"

#include <cassert>

namespace comfreyspring::net {

body_budget::decision body_budget::Grow(body_id body, std::size_t bytes,
                                        core::time_point now) {
  assert(body != 0);
  Release(body);
  bodies_[body] = {.bytes = bytes, .progress_at = now};
  UsageOf(bytes).bytes += bytes;
  const bool is_small = IsSmall(bytes);
  const usage& used = is_small ? small_ : large_;
  const std::size_t limit =
      is_small ? limits_.small_bytes : limits_.large_bytes;
  decision result;
  if (used.complete_bytes + bytes > limit) {
    // To close other bodies would not make room for this one.
    Release(body);
    result.outcome = verdict::refused;
    return result;
  }
  while (used.bytes > limit) {
    const body_id largest = Largest(is_small);
    Release(largest);
    result.closed.push_back(largest);
    if (largest != body) continue;
    result.outcome = verdict::closed;
    return result;
  }
  return result;
}

body_id body_budget::Largest(bool is_small) const {
  body_id largest = 0;
  const held_body* most = nullptr;
  for (const auto& [body, held] : bodies_) {
    if (held.is_complete || IsSmall(held.bytes) != is_small) continue;
    const bool is_larger = most == nullptr || held.bytes > most->bytes;
    const bool is_older = most != nullptr && held.bytes == most->bytes &&
                          held.progress_at < most->progress_at;
    if (!is_larger && !is_older) continue;
    largest = body;
    most = &held;
  }
  return largest;
}

void body_budget::Complete(body_id body) {
  const auto found = bodies_.find(body);
  if (found == bodies_.end() || found->second.is_complete) return;
  found->second.is_complete = true;
  UsageOf(found->second.bytes).complete_bytes += found->second.bytes;
}

void body_budget::Release(body_id body) {
  const auto found = bodies_.find(body);
  if (found == bodies_.end()) return;
  const held_body& held = found->second;
  usage& used = UsageOf(held.bytes);
  used.bytes -= held.bytes;
  if (held.is_complete) used.complete_bytes -= held.bytes;
  bodies_.erase(found);
}

}  // namespace comfreyspring::net
