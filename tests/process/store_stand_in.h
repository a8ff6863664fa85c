#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"
#include "net/event_loop.h"
#include "net/http_server.h"

namespace comfreyspring::process_test {

/** How the store answers requests. */
enum class store_mode { up, unavailable, throttled, silent, slow };

/** Stand-in for the users' key-value store, with range reads and watches. */
class store_stand_in {
 public:
  explicit store_stand_in(net::event_loop& loop,
                          const std::string& ip = "127.0.0.1",
                          std::uint16_t port = 0);

  void Put(const std::string& key, const nlohmann::json& value);
  /** Writes a value that need not be JSON. */
  void PutBytes(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /**
   * Drops the event history: pending watches are aborted, and later watches
   * from an older revision are answered with 410.
   */
  void ForgetHistory();
  /**
   * Also applies to pending watches: `silent` leaves them unanswered,
   * `unavailable` and `throttled` abort them.
   */
  void SetMode(store_mode mode);
  /**
   * Returns to the state of this long ago, as if restored from a copy: later
   * items and history are lost, their revisions are given out again, and the
   * era rises by one. Pending watches are aborted.
   */
  void Restore(core::milliseconds age);
  /** Older stores name no era. */
  void HideEra() { names_era_ = false; }
  /** A list has at most this many items in one response. */
  void SetPageItems(std::size_t items) { page_items_ = items; }
  /** Lists that would go on after this key begin anew, unless it is empty. */
  void RestartListsAfter(std::string key) { restarts_after_ = std::move(key); }
  std::uint16_t Port() const { return server_.Port(); }
  /** Keys of all items that begin with the prefix. */
  std::vector<std::string> Keys(const std::string& prefix) const;
  std::int64_t Revision() const { return revision_; }
  std::int64_t Era() const { return era_; }
  /** Reads of the whole catalog so far, including refused ones. */
  int FullReads() const { return full_reads_; }
  /** All calls so far, including refused ones. */
  int Calls() const { return calls_; }

 private:
  using exchange_pointer = std::shared_ptr<net::http_exchange>;
  using parameters = std::map<std::string, std::string>;
  /** Shared by all copies. */
  using document = std::shared_ptr<const nlohmann::json>;

  /** What the store held from some time on. */
  struct copy {
    core::time_point since;
    std::map<std::string, document> items;
    std::vector<document> history;
    std::int64_t revision = 0;
    std::int64_t oldest_revision = 0;
  };

  void Answer(exchange_pointer exchange);
  void AnswerNow(exchange_pointer exchange);
  /**
   * Decodes the query strictly: nothing that readers of URLs might take for
   * something else is accepted.
   */
  static std::optional<parameters> ReadQuery(const net::http_request& request);
  void AnswerRange(net::http_exchange& exchange, const parameters& query) const;
  void AnswerWatch(exchange_pointer exchange, const parameters& query);
  /** The events that a watch asks for. */
  nlohmann::json EventsFor(const parameters& query) const;
  void SendEvents(net::http_exchange& exchange) const;
  void Record(document event);
  void KeepCopy();
  void AbortWatches();
  void Respond(net::http_exchange& exchange, int status,
               std::string body = "") const;

  net::event_loop& loop_;
  std::map<std::string, document> items_;
  std::vector<document> history_;
  std::int64_t revision_ = 100;
  std::int64_t oldest_revision_ = 100;
  std::int64_t era_ = 1;
  bool names_era_ = true;
  /** Oldest first; the last one is the current state. */
  std::deque<copy> copies_;
  int calls_ = 0;
  int full_reads_ = 0;
  store_mode mode_ = store_mode::up;
  std::size_t page_items_ = 500;
  std::string restarts_after_;
  std::vector<exchange_pointer> pending_watches_;
  std::vector<exchange_pointer> unanswered_;
  net::http_server server_;
};

}  // namespace comfreyspring::process_test
