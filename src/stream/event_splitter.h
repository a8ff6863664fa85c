#pragma once

#include <string>
#include <string_view>

namespace comfreyspring::stream {

/**
 * Splits a server-sent event stream into whole events, so that a response that
 * breaks off inside an event can be continued from another source.
 */
class event_splitter {
 public:
  /** Adds bytes. @returns the events completed by them, concatenated. */
  std::string Feed(std::string_view bytes);

  /** Bytes of the incomplete event at the end. */
  const std::string& Rest() const { return rest_; }
  void DropRest() { rest_.clear(); }
  /** Id of the last whole event that has one. */
  const std::string& LastId() const { return last_id_; }
  /** Whole events so far; comment-only events are not counted. */
  std::size_t Count() const { return count_; }

 private:
  void ReadEvent(std::string_view event);

  std::string rest_;
  std::string last_id_;
  std::size_t count_ = 0;
};

}  // namespace comfreyspring::stream
