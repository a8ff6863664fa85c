#include "agent/event_stream_parser.h"

#include <utility>

namespace comfreyspring::agent {

std::vector<std::string> event_stream_parser::Feed(std::string_view bytes) {
  std::vector<std::string> events;
  while (!bytes.empty() && !overflowed_) {
    const std::size_t end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    if (line_.size() + data_.size() > kMaximumEventBytes) {
      overflowed_ = true;
      break;
    }
    if (end == std::string_view::npos) break;
    bytes.remove_prefix(end + 1);
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    ProcessLine(line_, events);
    line_.clear();
  }
  return events;
}

void event_stream_parser::ProcessLine(std::string_view line,
                                      std::vector<std::string>& events) {
  constexpr std::string_view kField = "data:";
  if (line.empty()) {
    if (has_data_) events.push_back(std::exchange(data_, {}));
    has_data_ = false;
    return;
  }
  if (line.substr(0, kField.size()) != kField) return;
  line.remove_prefix(kField.size());
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  if (has_data_) data_ += '\n';
  data_ += line;
  has_data_ = true;
}

}  // namespace comfreyspring::agent
