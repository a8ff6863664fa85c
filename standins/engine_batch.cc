#include "standins/engine_batch.h"

#include <algorithm>

namespace comfreyspring::standins {
namespace {

template <class Container>
void Erase(Container& container, const std::string& id) {
  container.erase(std::remove(container.begin(), container.end(), id),
                  container.end());
}

}  // namespace

std::string TokenText(const stream_request& request, std::size_t index) {
  const std::string kTag = "tag:";
  std::string text = request.adapter.first + '@' + request.adapter.second +
                     ':' + std::to_string(request.earlier_tokens + index);
  if (request.prompt.rfind(kTag, 0) == 0) {
    const std::size_t end = request.prompt.find_first_of(" \n", kTag.size());
    text += ':' + request.prompt.substr(kTag.size(), end == std::string::npos
                                                         ? end
                                                         : end - kTag.size());
  }
  return text + ' ';
}

void SplitEarlierTokens(stream_request& request) {
  const std::string& full_prompt = request.prompt;
  const std::string first =
      request.adapter.first + '@' + request.adapter.second + ":0";
  for (std::size_t start = full_prompt.find(first); start != std::string::npos;
       start = full_prompt.find(first, start + 1)) {
    stream_request split = request;
    split.prompt = full_prompt.substr(0, start);
    std::size_t end = start;
    std::string next = TokenText(split, 0);
    while (full_prompt.compare(end, next.size(), next) == 0) {
      end += next.size();
      ++split.earlier_tokens;
      next = TokenText(split, 0);
    }
    if (end < full_prompt.size()) continue;
    request = std::move(split);
    return;
  }
}

std::string engine_batch::Add(stream_request request) {
  std::string id = "stream-" + std::to_string(++last_id_);
  SplitEarlierTokens(request);
  (request.urgent ? urgent_ : non_urgent_).push_back(id);
  streams_[id].request = std::move(request);
  return id;
}

const engine_stream* engine_batch::Find(const std::string& id) const {
  const auto found = streams_.find(id);
  return found == streams_.end() ? nullptr : &found->second;
}

void engine_batch::Cancel(const std::string& id) {
  const auto found = streams_.find(id);
  if (found == streams_.end() || !found->second.IsActive()) return;
  found->second.current_phase = engine_stream::phase::cancelled;
  Erase(running_, id);
  Erase(urgent_, id);
  Erase(non_urgent_, id);
}

void engine_batch::Remove(const std::string& id) {
  Cancel(id);
  streams_.erase(id);
}

std::vector<std::string> engine_batch::ActiveStreams(
    const adapter_key& adapter) const {
  std::vector<std::string> result;
  for (const auto& [id, stream] : streams_) {
    if (stream.IsActive() && stream.request.adapter == adapter) {
      result.push_back(id);
    }
  }
  return result;
}

void engine_batch::Admit() {
  while (running_.size() < batch_limit_ && Waiting() > 0) {
    std::deque<std::string>& queue = urgent_.empty() ? non_urgent_ : urgent_;
    streams_[queue.front()].current_phase = engine_stream::phase::running;
    running_.push_back(queue.front());
    queue.pop_front();
  }
}

std::vector<std::string> engine_batch::Step() {
  Admit();
  const std::vector<std::string> stepped = running_;
  for (const std::string& id : stepped) {
    engine_stream& stream = streams_[id];
    if (stream.tokens < stream.request.maximum_tokens) ++stream.tokens;
    if (stream.tokens < stream.request.maximum_tokens) continue;
    stream.current_phase = engine_stream::phase::done;
    Erase(running_, id);
  }
  return stepped;
}

}  // namespace comfreyspring::standins
