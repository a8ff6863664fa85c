#pragma once

#include <string>
#include <string_view>

namespace comfreyspring::stream {

/**
 * Splits a server-sent event stream into whole events, so that a response that
 * breaks off inside an event can be continued from another source. Lines end
 * with LF, CRLF or CR; an empty line ends an event.
 */
class event_splitter {
 public:
  /** Adds bytes. @returns the events completed by them, concatenated. */
  std::string Feed(std::string_view bytes);

  /** Bytes after the last whole event. */
  const std::string& Rest() const { return rest_; }
  void DropRest();
  /**
   * Whether the bytes so far end inside an event or a line. Comments and empty
   * lines after the last event are no part of an event.
   */
  bool EndsInsideEvent() const;
  /** Id of the last whole event that has one. */
  const std::string& LastId() const { return last_id_; }
  /** Whole events so far; comment-only events are not counted. */
  std::size_t Count() const { return count_; }

  /**
   * Drops the rest: the next bytes are those of another source that was asked
   * to continue after `LastId`.
   */
  void BeginContinuation();
  /**
   * False if the first event since `BeginContinuation` does not follow the last
   * one before: its id must be higher, and the next one if ids were consecutive
   * until then.
   */
  bool ContinuesInOrder() const { return continues_in_order_; }

 private:
  void ReadEvent(std::string_view event);
  void CheckOrder(const std::string& id);

  std::string rest_;
  /** Start of the last, incomplete line of `rest_`. */
  std::size_t line_start_ = 0;
  /** The last byte was a CR; an LF that follows belongs to the same line end.
   */
  bool after_cr_ = false;
  std::string last_id_;
  std::size_t count_ = 0;
  bool ids_are_consecutive_ = true;
  bool is_first_of_continuation_ = false;
  bool continues_in_order_ = true;
};

}  // namespace comfreyspring::stream
