#include "stream/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace comfreyspring::stream {
namespace {

constexpr const char* kLineEnds = "\r\n";

/** Calls `visit` with each complete line of `text`, without its end. */
template <class Visitor>
void ForEachLine(std::string_view text, Visitor visit) {
  std::size_t start = 0;
  while (true) {
    const std::size_t end = text.find_first_of(kLineEnds, start);
    if (end == std::string_view::npos) return;
    visit(text.substr(start, end - start));
    start = end + (text.substr(end, 2) == "\r\n" ? 2 : 1);
  }
}

/** Faster than `find_first_of`, which searches the set for each character. */
std::size_t FindLineEnd(const std::string& text, std::size_t start) {
  const auto found =
      std::find_if(text.begin() + static_cast<std::ptrdiff_t>(start),
                   text.end(), [](char c) { return c == '\r' || c == '\n'; });
  return found == text.end() ? std::string::npos
                             : static_cast<std::size_t>(found - text.begin());
}

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

bool IsField(std::string_view line) {
  return !line.empty() && line.front() != ':';
}

}  // namespace

std::string event_splitter::Feed(std::string_view bytes) {
  if (bytes.empty()) return {};
  const bool completes_crlf = after_cr_ && bytes.front() == '\n';
  after_cr_ = bytes.back() == '\r';
  // The CR has ended an event, which is taken already.
  std::size_t taken = completes_crlf && rest_.empty() ? 1 : 0;
  if (completes_crlf) ++line_start_;
  const std::size_t unsearched = rest_.size();
  rest_.append(bytes);
  for (std::size_t end = FindLineEnd(rest_, std::max(unsearched, line_start_));
       end != std::string::npos; end = FindLineEnd(rest_, line_start_)) {
    const bool is_empty = end == line_start_;
    line_start_ = end + (rest_.compare(end, 2, "\r\n") == 0 ? 2 : 1);
    if (!is_empty) continue;
    ReadEvent(std::string_view{rest_}.substr(taken, line_start_ - taken));
    taken = line_start_;
  }
  std::string whole = rest_.substr(0, taken);
  rest_.erase(0, taken);
  line_start_ -= taken;
  return whole;
}

void event_splitter::DropRest() {
  rest_.clear();
  line_start_ = 0;
  after_cr_ = false;
}

bool event_splitter::EndsInsideEvent() const {
  if (line_start_ < rest_.size()) return true;
  bool has_field = false;
  ForEachLine(rest_,
              [&](std::string_view line) { has_field |= IsField(line); });
  return has_field;
}

void event_splitter::BeginContinuation() {
  DropRest();
  is_first_of_continuation_ = count_ > 0;
  continues_in_order_ = true;
}

void event_splitter::ReadEvent(std::string_view event) {
  bool has_field = false;
  std::optional<std::string> id;
  ForEachLine(event, [&](std::string_view line) {
    has_field |= IsField(line);
    if (line.substr(0, 3) != "id:") return;
    line.remove_prefix(3);
    if (line.substr(0, 1) == " ") line.remove_prefix(1);
    id = std::string(line);
  });
  // Comments are keep-alives and do not count as progress.
  if (!has_field) return;
  CheckOrder(id.value_or(""));
  if (id) last_id_ = std::move(*id);
  ++count_;
}

void event_splitter::CheckOrder(const std::string& id) {
  const auto before = ParseNumber(last_id_);
  const auto number = ParseNumber(id);
  const bool is_next = before && number && *number == *before + 1;
  if (std::exchange(is_first_of_continuation_, false)) {
    // Streams whose events have no numbers can't be checked.
    continues_in_order_ =
        !before || is_next ||
        (!ids_are_consecutive_ && number && *number > *before);
  }
  if (count_ > 0) ids_are_consecutive_ &= is_next;
}

}  // namespace comfreyspring::stream
