#include "agent/response_channel.h"

namespace comfreyspring::agent {

namespace {

constexpr std::size_t kMaximumChunkBytes = 64 * 1024;

}  // namespace

response_channel::response_channel(entry_sender& sender,
                                   stream::replay_options options)
    : sender_(sender), replay_(options) {}

void response_channel::Begin(const core::attempt_id& attempt,
                             const entry_instance& entry) {
  replay_.Begin(attempt);
  entries_[attempt] = entry;
}

void response_channel::Notify(const core::attempt_id& attempt,
                              const wire::message& message) {
  const auto entry = entries_.find(attempt);
  if (entry != entries_.end()) sender_.Send(entry->second, message);
}

void response_channel::Write(const core::attempt_id& attempt,
                             const std::string& data) {
  if (!replay_.IsKnown(attempt) || replay_.HasEnded(attempt)) return;
  for (std::size_t begin = 0; begin < data.size();
       begin += kMaximumChunkBytes) {
    const wire::chunk chunk =
        replay_.Append(attempt, data.substr(begin, kMaximumChunkBytes));
    Notify(attempt, chunk);
  }
}

void response_channel::End(const core::attempt_id& attempt,
                           const wire::message& final_message,
                           core::time_point now) {
  if (!replay_.IsKnown(attempt) || replay_.HasEnded(attempt)) return;
  Notify(attempt, replay_.End(attempt, final_message, now));
}

bool response_channel::Resume(const core::attempt_id& attempt,
                              std::uint64_t next_sequence) {
  const auto frames = replay_.From(attempt, next_sequence);
  if (!frames) return false;
  for (const wire::message& frame : *frames) Notify(attempt, frame);
  return true;
}

void response_channel::OnTick(core::time_point now) {
  replay_.OnTick(now);
  std::erase_if(entries_, [this](const auto& entry) {
    return !replay_.IsKnown(entry.first);
  });
}

bool response_channel::IsKnown(const core::attempt_id& attempt) const {
  return replay_.IsKnown(attempt);
}

bool response_channel::HasEnded(const core::attempt_id& attempt) const {
  return replay_.HasEnded(attempt);
}

std::uint64_t response_channel::ChunkCount(
    const core::attempt_id& attempt) const {
  return replay_.ChunkCount(attempt);
}

}  // namespace comfreyspring::agent
