#pragma once

#include <string>
#include <string_view>

namespace comfreyspring::stream {

/**
 * Cuts the bytes of a server-sent event stream into whole events, so that an
 * answer that breaks off in the middle of one can go on elsewhere.
 */
class event_splitter {
 public:
  /** Adds bytes. @returns the whole events that are complete now. */
  std::string Feed(std::string_view bytes);

  /** Bytes of an event that is not complete. */
  const std::string& Rest() const { return rest_; }
  void DropRest() { rest_.clear(); }
  /** Id of the last whole event that has one. */
  const std::string& LastId() const { return last_id_; }
  /** Whole events so far; comments are none. */
  std::size_t Count() const { return count_; }

 private:
  void ReadEvent(std::string_view event);

  std::string rest_;
  std::string last_id_;
  std::size_t count_ = 0;
};

}  // namespace comfreyspring::stream
