#include "agent/reader_relay.h"

namespace comfreyspring::agent {
namespace {

/** Entries send a heartbeat that asks for this every 5 s. */
constexpr core::seconds kAliveLimit{20};

}  // namespace

void reader_relay::OnHello(const entry_address& entry,
                           const core::data_centre_id& data_centre,
                           core::time_point now) {
  entries_[entry] = {data_centre, now};
}

void reader_relay::OnHeartbeat(const entry_address& entry,
                               const wire::heartbeat& message,
                               core::time_point now) {
  const auto position = entries_.find(entry);
  if (position != entries_.end()) position->second.last_heard = now;
  if (!message.service_read_age_ms || *message.service_read_age_ms < 0) return;
  const core::time_point read =
      now - core::milliseconds(*message.service_read_age_ms);
  if (!service_read_ || read > *service_read_) service_read_ = read;
}

void reader_relay::OnLost(const entry_address& entry) { entries_.erase(entry); }

void reader_relay::Fill(const entry_address& entry,
                        wire::heartbeat_reply& reply,
                        core::time_point now) const {
  if (service_read_) {
    reply.service_read_age_ms =
        core::ToMilliseconds(now - *service_read_).count();
  }
  const auto asking = entries_.find(entry);
  if (asking == entries_.end()) return;
  for (const auto& [other, state] : entries_) {
    const bool alive = now - state.last_heard <= kAliveLimit;
    if (alive && state.data_centre == asking->second.data_centre) {
      reply.entries.push_back(other.process);
    }
  }
}

}  // namespace comfreyspring::agent
