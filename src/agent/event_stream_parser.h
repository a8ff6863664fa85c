#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace comfreyspring::agent {

/** Splits a stream of server-sent events into the data of each event. */
class event_stream_parser {
 public:
  /** @returns the data of the events that `bytes` completes. */
  std::vector<std::string> Feed(std::string_view bytes);
  /** True if an event exceeded 1 MiB; the stream is then unusable. */
  bool Overflowed() const { return overflowed_; }

 private:
  void ProcessLine(std::string_view line, std::vector<std::string>& events);

  static constexpr std::size_t kMaximumEventBytes = 1024 * 1024;
  std::string line_;
  std::string data_;
  bool has_data_ = false;
  bool overflowed_ = false;
};

}  // namespace comfreyspring::agent
