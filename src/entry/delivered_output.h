#pragma once

#include <cstdint>
#include <string>

namespace comfreyspring::entry {

/**
 * Output of a completion that was sent to the caller, kept so that another
 * attempt can continue it.
 */
class delivered_output {
 public:
  /** Limits the memory that one long response can take at the entry. */
  static constexpr std::size_t kMaximumBytes = 256 * 1024;

  /** Adds a chunk; one chunk of an engine is one token. */
  void Add(const std::string& chunk) {
    ++chunk_count_;
    if (!within_limit_) return;
    if (text_.size() + chunk.size() > kMaximumBytes) {
      within_limit_ = false;
      text_ = std::string();
      return;
    }
    text_ += chunk;
  }
  /** Starts a new attempt: all chunks so far come from earlier attempts. */
  void BeginContinuation() { earlier_chunk_count_ = chunk_count_; }

  /** False once the output has exceeded kMaximumBytes; Text() is then empty. */
  bool IsWithinLimit() const { return within_limit_; }
  const std::string& Text() const { return text_; }
  std::int64_t ChunkCount() const { return chunk_count_; }
  std::int64_t EarlierChunkCount() const { return earlier_chunk_count_; }

 private:
  std::string text_;
  std::int64_t chunk_count_ = 0;
  std::int64_t earlier_chunk_count_ = 0;
  bool within_limit_ = true;
};

}  // namespace comfreyspring::entry
