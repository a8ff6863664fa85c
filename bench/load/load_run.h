#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "bench/load/load_summary.h"
#include "bench/load/zipf.h"
#include "core/random_source.h"
#include "net/http_client.h"

namespace comfreyspring::bench {

struct load_options {
  /** Base URL of an entry, `http://ip:port`. */
  net::url url;
  std::size_t requests = 1000;
  std::size_t concurrency = 16;
  /** Number of adapters; adapter-0000 is the most popular. */
  std::size_t adapters = 100;
  double zipf_exponent = 1.0;
  std::size_t maximum_tokens = 16;
  bool stream = false;
  std::uint64_t seed = 1;
  core::milliseconds request_timeout{30000};
  /** Ends the run even if requests are still in flight. */
  core::seconds time_limit{60};
};

/** Name of the adapter with a rank, such as `adapter-0007`. */
std::string AdapterName(std::size_t rank);

/**
 * Closed-loop load generator: keeps `concurrency` completions in flight until
 * all requests have been made. The same seed gives the same sequence of
 * adapters.
 */
class load_run {
 public:
  load_run(net::event_loop& loop, net::http_client_interface& client,
           load_options options);

  /** Runs the event loop until all requests are done or time is up. */
  void Run();
  const load_summary& Summary() const { return summary_; }
  core::microseconds Elapsed() const { return elapsed_; }
  /** Requests not finished, or not started, at the time limit. */
  std::size_t Unfinished() const {
    return options_.requests - summary_.Count();
  }

 private:
  void StartNext();
  void Finish(const net::http_result& result, const std::string& tail,
              core::microseconds first_byte, core::microseconds total);

  net::event_loop& loop_;
  net::http_client_interface& client_;
  load_options options_;
  core::random_source random_;
  zipf_distribution popularity_;
  load_summary summary_;
  std::size_t started_ = 0;
  core::microseconds elapsed_{0};
};

}  // namespace comfreyspring::bench
