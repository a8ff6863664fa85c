#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace comfreyspring::standins {

/** Adapter and version. */
using adapter_key = std::pair<std::string, std::string>;

struct stream_request {
  adapter_key adapter;
  std::string prompt;
  std::size_t maximum_tokens = 0;
  bool urgent = true;
  /** Tokens of its own earlier answer that the caller's prompt ended with. */
  std::size_t earlier_tokens = 0;
};

struct engine_stream {
  enum class phase { waiting, running, done, cancelled };

  stream_request request;
  phase current = phase::waiting;
  std::size_t tokens = 0;

  bool IsActive() const {
    return current == phase::waiting || current == phase::running;
  }
};

/**
 * Token `index` of the answer to a request: `adapter@version:index `. A prompt
 * that starts with `tag:WORD` gives `adapter@version:index:WORD `, so that a
 * test can tell the answers to two requests apart. The index counts on after
 * `earlier_tokens`.
 */
std::string TokenText(const stream_request& request, std::size_t index);

/**
 * Splits a prompt that ends with the first k tokens of its own answer into
 * prompt and `earlier_tokens` k. Any other request is left as it is.
 */
void SplitEarlierTokens(stream_request& request);

/** Continuous batching: one token a step for each running stream. */
class engine_batch {
 public:
  explicit engine_batch(std::size_t batch_limit) : batch_limit_(batch_limit) {}

  /** Adds a stream; urgent ones start before others. @returns its id. */
  std::string Add(stream_request request);
  /** @returns null if the stream is not known. */
  const engine_stream* Find(const std::string& id) const;
  /** Ends an active stream; any other is left as it is. */
  void Cancel(const std::string& id);
  /** Forgets a stream. */
  void Remove(const std::string& id);
  /** Ids of all active streams of an adapter. */
  std::vector<std::string> ActiveStreams(const adapter_key& adapter) const;

  std::size_t Running() const { return running_.size(); }
  std::size_t Waiting() const { return urgent_.size() + may_wait_.size(); }
  /** Starts waiting streams, then makes a token for each running one. */
  std::vector<std::string> Step();

 private:
  void Admit();

  std::size_t batch_limit_;
  std::uint64_t last_id_ = 0;
  std::map<std::string, engine_stream> streams_;
  std::vector<std::string> running_;
  std::deque<std::string> urgent_;
  std::deque<std::string> may_wait_;
};

}  // namespace comfreyspring::standins
