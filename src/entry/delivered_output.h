#pragma once

#include <cstdint>
#include <string>

namespace comfreyspring::entry {

/** Output of a completion that was passed on, kept for a continuation. */
class delivered_output {
 public:
  /** Bounds the memory that one long answer can hold at the entry. */
  static constexpr std::size_t kMaximumBytes = 256 * 1024;

  /** Adds a piece; one piece of an engine's answer is one token. */
  void Add(const std::string& piece) {
    ++pieces_;
    if (!kept_) return;
    if (text_.size() + piece.size() > kMaximumBytes) {
      kept_ = false;
      text_ = std::string();
      return;
    }
    text_ += piece;
  }
  /** The pieces so far come from earlier attempts. */
  void BeginContinuation() { earlier_pieces_ = pieces_; }

  /** False once the output has exceeded the bound; Text() is empty then. */
  bool IsKept() const { return kept_; }
  const std::string& Text() const { return text_; }
  std::int64_t Pieces() const { return pieces_; }
  std::int64_t EarlierPieces() const { return earlier_pieces_; }

 private:
  std::string text_;
  std::int64_t pieces_ = 0;
  std::int64_t earlier_pieces_ = 0;
  bool kept_ = true;
};

}  // namespace comfreyspring::entry
