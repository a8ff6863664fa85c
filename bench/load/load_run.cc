#include "bench/load/load_run.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyspring::bench {
namespace {

// Sent only at the end of a complete stream.
constexpr const char* kStreamEndMarker = "[DONE]";
constexpr std::size_t kTailBytes = 64;

/** Progress of one request in flight. */
struct request_in_flight {
  core::time_point started;
  core::time_point first_byte;
  bool has_first_byte = false;
  std::string tail;
};

void AppendToTail(std::string& tail, std::string_view data) {
  tail += data;
  if (tail.size() > kTailBytes) tail.erase(0, tail.size() - kTailBytes);
}

}  // namespace

std::string AdapterName(std::size_t rank) {
  constexpr std::size_t kDigits = 4;
  std::string digits = std::to_string(rank);
  if (digits.size() < kDigits) digits.insert(0, kDigits - digits.size(), '0');
  return "adapter-" + digits;
}

load_run::load_run(net::event_loop& loop, net::http_client_interface& client,
                   load_options options)
    : loop_(loop),
      client_(client),
      options_(std::move(options)),
      random_(options_.seed),
      popularity_(options_.adapters, options_.zipf_exponent) {}

void load_run::Run() {
  const core::time_point start = loop_.Now();
  for (std::size_t i = 0; i < options_.concurrency; ++i) StartNext();
  loop_.RunUntil([this] { return summary_.Count() == options_.requests; },
                 options_.time_limit);
  elapsed_ = loop_.Now() - start;
}

void load_run::StartNext() {
  if (started_ == options_.requests) return;
  ++started_;
  const nlohmann::json body = {
      {"model", AdapterName(popularity_.Next(random_))},
      {"prompt", "load " + std::to_string(started_)},
      {"max_tokens", options_.maximum_tokens},
      {"stream", options_.stream}};
  net::http_call call;
  call.method = "POST";
  call.url = net::url(options_.url).AddPath("/v1/completions");
  call.headers = {{"content-type", "application/json"}};
  call.body = body.dump();
  call.total_timeout = options_.request_timeout;
  const auto open = std::make_shared<request_in_flight>();
  open->started = loop_.Now();
  net::http_callbacks callbacks;
  callbacks.on_data = [this, open](std::string_view data) {
    if (!std::exchange(open->has_first_byte, true))
      open->first_byte = loop_.Now();
    AppendToTail(open->tail, data);
  };
  callbacks.on_done = [this, open](const net::http_result& result) {
    const core::time_point now = loop_.Now();
    const core::time_point first =
        open->has_first_byte ? open->first_byte : now;
    Finish(result, open->tail, first - open->started, now - open->started);
  };
  client_.Start(std::move(call), std::move(callbacks));
}

void load_run::Finish(const net::http_result& result, const std::string& tail,
                      core::microseconds first_byte, core::microseconds total) {
  request_sample sample;
  sample.first_byte = first_byte;
  sample.total = total;
  if (result.failure == net::http_failure::not_sent) {
    sample.status = "not_sent";
  } else if (result.failure == net::http_failure::broken) {
    sample.status = "broken";
  } else if (result.status == 200 && options_.stream &&
             tail.find(kStreamEndMarker) == std::string::npos) {
    sample.status = "incomplete_stream";
  } else {
    sample.status = std::to_string(result.status);
    sample.succeeded = result.status == 200;
  }
  summary_.Add(sample);
  StartNext();
}

}  // namespace comfreyspring::bench
