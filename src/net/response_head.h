#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "net/http_server.h"

namespace comfreyspring::net {

/** Whether the request has asked its peer to switch to another protocol. */
enum class protocol_upgrade { not_requested, requested };

/**
 * Reads the heads of an HTTP/1 response and its trailers, line by line, and
 * accepts only the grammar of RFC 9110 and RFC 9112. Lines may end with a bare
 * line feed, and a status line with its code.
 *
 * The HTTP library frames the body by a more lenient reading of the same lines.
 * A head that it may read differently is malformed here, so that no body is
 * delivered with a framing that its sender did not mean.
 */
class response_head {
 public:
  /** @param maximum_fields limit for the names of fields in one head. */
  explicit response_head(
      std::size_t maximum_fields,
      protocol_upgrade upgrade = protocol_upgrade::not_requested);

  /**
   * Adds a line of the head of an interim response, of the head of the final
   * response, or of the trailers, in this order.
   * @param line with or without its line break.
   * @returns true if the line completes the head of the final response.
   * @throws net_error if the response is malformed. The head does not become
   *     complete then, and no further line may be added.
   */
  bool AddLine(std::string_view line);

  /** The head of the final response has been read. */
  bool IsComplete() const { return section_ == section::trailers; }
  /** Status code, of the final response once its head is complete. */
  int Status() const { return status_; }
  /**
   * Fields by their names in lower case, without the fields of interim
   * responses. Different values of a repeated field form a list.
   */
  const header_map& Headers() const& { return headers_; }
  header_map Headers() && { return std::move(headers_); }

 private:
  enum class section { status_line, fields, trailers };

  void ReadStatusLine(std::string_view line);
  bool IsInterim() const;
  /** @returns true if the head is that of the final response. */
  bool EndHead();
  void ReadField(std::string_view line);
  void AddField(const std::string& name, std::string_view value);
  /** Checks the fields that tell where the body ends. */
  void CheckFraming() const;

  std::size_t maximum_fields_;
  protocol_upgrade upgrade_;
  section section_ = section::status_line;
  int status_ = 0;
  header_map headers_;
};

}  // namespace comfreyspring::net
