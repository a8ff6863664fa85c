#pragma once

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace comfreyspring::ctl {

/**
 * Reconstructs the outcome of one request from the log lines of gateways and
 * sidecars: its log lines in time order, the events of its endpoints around
 * that time, and the meaning of the final cause.
 */
class request_explanation {
 public:
  explicit request_explanation(std::string request);

  /**
   * Reads a log. Skips text before the first brace of a line, such as a prefix
   * added by a log collector.
   */
  void Read(std::istream& log);

  /** True if the logs contain a line of the request. */
  bool Found() const { return !request_lines_.empty(); }
  /** Number of lines with a brace that are not valid log records. */
  std::size_t MalformedLines() const { return malformed_lines_; }
  void Write(std::ostream& out) const;

 private:
  /** Lines about the request's endpoints and dependencies around its time. */
  std::vector<nlohmann::json> SelectContext() const;

  std::string request_;
  std::vector<nlohmann::json> request_lines_;
  std::vector<nlohmann::json> context_candidates_;
  std::size_t malformed_lines_ = 0;
};

}  // namespace comfreyspring::ctl
