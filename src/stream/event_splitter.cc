#include "stream/event_splitter.h"

#include <algorithm>

namespace comfreyspring::stream {
namespace {

struct event_end {
  /** Bytes up to and including the empty line; 0 if there is none. */
  std::size_t size = 0;
};

/** An event ends with an empty line; lines end with LF or CRLF. */
event_end FindEnd(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    if (text.substr(at + 1, 1) == "\n") return {at + 2};
    if (text.substr(at + 1, 2) == "\r\n") return {at + 3};
  }
  return {};
}

}  // namespace

std::string event_splitter::Feed(std::string_view bytes) {
  // The end of an event may span the old and the new bytes.
  std::size_t from = rest_.size() < 3 ? 0 : rest_.size() - 3;
  rest_.append(bytes);
  std::size_t taken = 0;
  while (true) {
    const event_end end =
        FindEnd(std::string_view{rest_}.substr(taken), from - taken);
    if (end.size == 0) break;
    ReadEvent(std::string_view{rest_}.substr(taken, end.size));
    taken += end.size;
    from = taken;
  }
  std::string whole = rest_.substr(0, taken);
  rest_.erase(0, taken);
  return whole;
}

void event_splitter::ReadEvent(std::string_view event) {
  bool has_field = false;
  std::size_t start = 0;
  while (start < event.size()) {
    const std::size_t end = std::min(event.find('\n', start), event.size());
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (!line.empty() && line.front() != ':') has_field = true;
    if (line.substr(0, 3) != "id:") continue;
    line.remove_prefix(3);
    if (line.substr(0, 1) == " ") line.remove_prefix(1);
    last_id_ = std::string(line);
  }
  // Comments are keep-alives and do not count as progress.
  if (has_field) ++count_;
}

}  // namespace comfreyspring::stream
