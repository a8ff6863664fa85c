#pragma once

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace comfreyspring::ctl {

/**
 * Finds out from the log lines of gateways and sidecars what became of one
 * request: its own lines in order, what was known of its endpoints then, and
 * what the final cause means.
 */
class request_explanation {
 public:
  explicit request_explanation(std::string request);

  /**
   * Reads a log. Text before the first brace of a line, such as the time and
   * name that collectors add, is skipped.
   */
  void Read(std::istream& log);

  /** True if a line of the request was found. */
  bool Found() const { return !own_.empty(); }
  /** Lines that are not JSON objects of a process. */
  std::size_t Unreadable() const { return unreadable_; }
  void Write(std::ostream& out) const;

 private:
  /** Lines about endpoints and dependencies near the request's time. */
  std::vector<nlohmann::json> Context() const;

  std::string request_;
  std::vector<nlohmann::json> own_;
  std::vector<nlohmann::json> others_;
  std::size_t unreadable_ = 0;
};

}  // namespace comfreyspring::ctl
