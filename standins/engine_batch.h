#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace comfreyspring::standins {

/** Name and version of an adapter. */
using adapter_key = std::pair<std::string, std::string>;

struct stream_request {
  adapter_key adapter;
  std::string prompt;
  std::size_t maximum_tokens = 0;
  bool urgent = true;
  /** Earlier output tokens that the caller's prompt ended with. */
  std::size_t earlier_tokens = 0;
};

struct engine_stream {
  enum class phase { waiting, running, done, cancelled };

  stream_request request;
  phase current_phase = phase::waiting;
  std::size_t tokens = 0;

  bool IsActive() const {
    return current_phase == phase::waiting || current_phase == phase::running;
  }
};

/**
 * Token `index` of the output of a request: `adapter@version:index `. For a
 * prompt that starts with `tag:WORD` it is `adapter@version:index:WORD `, so
 * that tests can distinguish the outputs of two requests. The printed index is
 * offset by `earlier_tokens`.
 */
std::string TokenText(const stream_request& request, std::size_t index);

/**
 * If the prompt ends with the first k tokens of its own output, removes them
 * and sets `earlier_tokens` to k. Otherwise leaves the request unchanged.
 */
void SplitEarlierTokens(stream_request& request);

/** Continuous batching: each step generates one token per running stream. */
class engine_batch {
 public:
  explicit engine_batch(std::size_t batch_limit) : batch_limit_(batch_limit) {}

  /** Queues a stream; urgent ones start first. @returns its id. */
  std::string Add(stream_request request);
  /** @returns null if the id is unknown. */
  const engine_stream* Find(const std::string& id) const;
  /** Cancels an active stream; has no effect on any other. */
  void Cancel(const std::string& id);
  /** Cancels a stream if it is active and deletes it. */
  void Remove(const std::string& id);
  /** Ids of all active streams of an adapter. */
  std::vector<std::string> ActiveStreams(const adapter_key& adapter) const;

  std::size_t Running() const { return running_.size(); }
  std::size_t Waiting() const { return urgent_.size() + non_urgent_.size(); }
  /**
   * Starts waiting streams up to the batch limit, then generates a token for
   * each running one. @returns the ids of the streams that ran.
   */
  std::vector<std::string> Step();

 private:
  void Admit();

  std::size_t batch_limit_;
  std::uint64_t last_id_ = 0;
  std::map<std::string, engine_stream> streams_;
  std::vector<std::string> running_;
  std::deque<std::string> urgent_;
  std::deque<std::string> non_urgent_;
};

}  // namespace comfreyspring::standins
