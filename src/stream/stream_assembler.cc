#include "stream/stream_assembler.h"

#include <utility>

#include "core/hash.h"

namespace comfreyspring::stream {

void chunk_checksum::Add(std::string_view data) {
  value_ = core::Hash64(data, value_);
}

stream_assembler::stream_assembler(std::size_t maximum_held)
    : maximum_held_(maximum_held) {}

std::vector<std::string> stream_assembler::OnChunk(const wire::chunk& message) {
  std::vector<std::string> in_order;
  if (state_ != assembly_state::open) return in_order;
  if (message.sequence < next_sequence_) return in_order;
  if (final_ && message.sequence >= final_->chunk_count) {
    Break("chunk " + std::to_string(message.sequence) +
          " lies beyond the final count " +
          std::to_string(final_->chunk_count));
    return in_order;
  }
  if (message.sequence > next_sequence_) {
    if (held_.size() >= maximum_held_ && held_.count(message.sequence) == 0) {
      Break("more than " + std::to_string(maximum_held_) +
            " chunks wait for chunk " + std::to_string(next_sequence_));
      return in_order;
    }
    held_.emplace(message.sequence, message.data);
    return in_order;
  }
  in_order.push_back(message.data);
  ++next_sequence_;
  while (!held_.empty() && held_.begin()->first == next_sequence_) {
    in_order.push_back(std::move(held_.begin()->second));
    held_.erase(held_.begin());
    ++next_sequence_;
  }
  for (const std::string& data : in_order) checksum_.Add(data);
  CheckFinal();
  return in_order;
}

assembly_state stream_assembler::OnFinished(const wire::finished& message) {
  if (state_ != assembly_state::open) return state_;
  if (final_ && (final_->chunk_count != message.chunk_count ||
                 final_->checksum != message.checksum)) {
    Break("two final markers differ");
    return state_;
  }
  final_ = message;
  CheckFinal();
  return state_;
}

void stream_assembler::Break(std::string reason) {
  state_ = assembly_state::broken;
  reason_ = std::move(reason);
  held_.clear();
}

void stream_assembler::CheckFinal() {
  if (!final_) return;
  const bool beyond =
      next_sequence_ > final_->chunk_count ||
      (!held_.empty() && held_.rbegin()->first >= final_->chunk_count);
  if (beyond) {
    Break("more chunks than the final count " +
          std::to_string(final_->chunk_count));
    return;
  }
  if (next_sequence_ < final_->chunk_count) return;
  if (checksum_.Value() != final_->checksum) {
    Break("checksum differs");
    return;
  }
  state_ = assembly_state::complete;
}

}  // namespace comfreyspring::stream
