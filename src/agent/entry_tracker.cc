#include "agent/entry_tracker.h"

namespace comfreyspring::agent {
namespace {

/** Entries send a heartbeat that requests these fields every 5 s. */
constexpr core::seconds kLivenessTimeout{20};

}  // namespace

void entry_tracker::OnHello(const entry_instance& entry,
                            const core::data_centre_id& data_centre,
                            core::time_point now) {
  entries_[entry] = {data_centre, now};
}

void entry_tracker::OnHeartbeat(const entry_instance& entry,
                                const wire::heartbeat& message,
                                core::time_point now) {
  const auto found = entries_.find(entry);
  if (found != entries_.end()) found->second.last_heard = now;
  if (!message.service_read_age_ms || *message.service_read_age_ms < 0) return;
  const core::time_point read =
      now - core::milliseconds(*message.service_read_age_ms);
  if (!service_read_ || read > *service_read_) service_read_ = read;
}

void entry_tracker::OnLost(const entry_instance& entry) {
  entries_.erase(entry);
}

void entry_tracker::FillReply(const entry_instance& entry,
                              wire::heartbeat_reply& reply,
                              core::time_point now) const {
  if (service_read_) {
    reply.service_read_age_ms =
        core::ToMilliseconds(now - *service_read_).count();
  }
  const auto requester = entries_.find(entry);
  if (requester == entries_.end()) return;
  for (const auto& [other, state] : entries_) {
    const bool alive = now - state.last_heard <= kLivenessTimeout;
    if (alive && state.data_centre == requester->second.data_centre) {
      reply.entries.push_back(other.process);
    }
  }
}

}  // namespace comfreyspring::agent
