#include "stream/replay_buffer.h"

#include <algorithm>
#include <cassert>
#include <deque>
#include <unordered_map>
#include <utility>

#include "stream/stream_assembler.h"

namespace comfreyspring::stream {

namespace {

// Overhead charged per chunk, so that the limits bound empty chunks as well.
constexpr std::size_t kChunkOverheadBytes = 64;

struct attempt_record {
  std::uint64_t first_kept = 0;
  std::deque<std::string> kept;
  chunk_checksum checksum;
  std::size_t bytes = 0;
  std::optional<wire::message> last;

  std::uint64_t NextSequence() const { return first_kept + kept.size(); }
};

struct ended_attempt {
  core::attempt_id attempt;
  core::time_point ended_at;
};

}  // namespace

struct replay_buffer::impl {
  replay_options options;
  std::unordered_map<core::attempt_id, attempt_record> attempts;
  // Ordered by end time.
  std::deque<ended_attempt> ended;
  std::size_t bytes = 0;

  void DropOldestChunk(attempt_record& record) {
    const std::size_t size = record.kept.front().size() + kChunkOverheadBytes;
    record.bytes -= size;
    bytes -= size;
    record.kept.pop_front();
    ++record.first_kept;
  }

  void DropOldestEnded() {
    const auto found = attempts.find(ended.front().attempt);
    if (found != attempts.end()) {
      bytes -= found->second.bytes;
      attempts.erase(found);
    }
    ended.pop_front();
  }

  void EnforceTotalLimit() {
    while (bytes > options.maximum_total_bytes && !ended.empty()) {
      DropOldestEnded();
    }
    while (bytes > options.maximum_total_bytes) {
      const auto largest =
          std::max_element(attempts.begin(), attempts.end(),
                           [](const auto& left, const auto& right) {
                             return left.second.bytes < right.second.bytes;
                           });
      DropOldestChunk(largest->second);
    }
  }
};

replay_buffer::replay_buffer(replay_options options)
    : impl_(std::make_unique<impl>()) {
  impl_->options = options;
}

replay_buffer::~replay_buffer() = default;

void replay_buffer::Begin(const core::attempt_id& attempt) {
  impl_->attempts.try_emplace(attempt);
}

wire::chunk replay_buffer::Append(const core::attempt_id& attempt,
                                  std::string data) {
  const auto found = impl_->attempts.find(attempt);
  assert(found != impl_->attempts.end());
  attempt_record& record = found->second;
  assert(!record.last);
  wire::chunk message{
      .attempt = attempt, .sequence = record.NextSequence(), .data = data};
  record.checksum.Add(data);
  const std::size_t size = data.size() + kChunkOverheadBytes;
  record.bytes += size;
  impl_->bytes += size;
  record.kept.push_back(std::move(data));
  while (record.bytes > impl_->options.maximum_attempt_bytes) {
    impl_->DropOldestChunk(record);
  }
  impl_->EnforceTotalLimit();
  return message;
}

wire::message replay_buffer::End(const core::attempt_id& attempt,
                                 wire::message last, core::time_point now) {
  const auto found = impl_->attempts.find(attempt);
  assert(found != impl_->attempts.end());
  attempt_record& record = found->second;
  assert(!record.last);
  if (auto* message = std::get_if<wire::finished>(&last)) {
    message->chunk_count = record.NextSequence();
    message->checksum = record.checksum.Value();
  }
  record.last = last;
  impl_->ended.push_back({attempt, now});
  return last;
}

void replay_buffer::OnTick(core::time_point now) {
  while (!impl_->ended.empty() &&
         now - impl_->ended.front().ended_at >= impl_->options.keep_after_end) {
    impl_->DropOldestEnded();
  }
}

std::optional<std::vector<wire::message>> replay_buffer::From(
    const core::attempt_id& attempt, std::uint64_t next_sequence) const {
  const auto found = impl_->attempts.find(attempt);
  if (found == impl_->attempts.end()) return std::nullopt;
  const attempt_record& record = found->second;
  if (next_sequence < record.first_kept ||
      next_sequence > record.NextSequence()) {
    return std::nullopt;
  }
  std::vector<wire::message> frames;
  for (std::uint64_t sequence = next_sequence; sequence < record.NextSequence();
       ++sequence) {
    frames.emplace_back(
        wire::chunk{.attempt = attempt,
                    .sequence = sequence,
                    .data = record.kept[sequence - record.first_kept]});
  }
  if (record.last) frames.push_back(*record.last);
  return frames;
}

bool replay_buffer::IsKnown(const core::attempt_id& attempt) const {
  return impl_->attempts.count(attempt) > 0;
}

bool replay_buffer::HasEnded(const core::attempt_id& attempt) const {
  const auto found = impl_->attempts.find(attempt);
  return found != impl_->attempts.end() && found->second.last.has_value();
}

std::uint64_t replay_buffer::ChunkCount(const core::attempt_id& attempt) const {
  const auto found = impl_->attempts.find(attempt);
  return found == impl_->attempts.end() ? 0 : found->second.NextSequence();
}

std::size_t replay_buffer::Bytes() const { return impl_->bytes; }

std::size_t replay_buffer::Attempts() const { return impl_->attempts.size(); }

}  // namespace comfreyspring::stream
