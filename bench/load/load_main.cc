#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

#include "bench/load/load_run.h"
#include "settings/flag_checks.h"
#include "settings/program_start.h"

DEFINE_string(url, "", "http://ip:port of an entry.");
DEFINE_int32(requests, 1000, "Completions to make.");
DEFINE_int32(concurrency, 16, "Maximum number of completions in flight.");
DEFINE_int32(adapters, 100, "Adapters, adapter-0000 being the most popular.");
DEFINE_double(zipf_exponent, 1.0, "Skew of the adapters' popularity.");
DEFINE_int32(max_tokens, 16, "Tokens of each completion.");
DEFINE_bool(stream, false, "Request streamed responses.");
DEFINE_uint64(seed, 1, "Seed of the sequence of adapters.");
DEFINE_int32(request_timeout_ms, 30000, "Timeout of one completion.");
DEFINE_int32(time_limit_s, 60, "Time limit of the run.");

namespace {

namespace bench = comfreyspring::bench;
namespace core = comfreyspring::core;
namespace net = comfreyspring::net;
namespace settings = comfreyspring::settings;

void CheckFlags() {
  settings::RequireUrl("url", FLAGS_url);
  settings::RequireRange("requests", FLAGS_requests, 1, 1000000);
  settings::RequireRange("concurrency", FLAGS_concurrency, 1, 4096);
  settings::RequireRange("adapters", FLAGS_adapters, 1, 100000);
  settings::RequireRange("max_tokens", FLAGS_max_tokens, 1, 100000);
  settings::RequireRange("request_timeout_ms", FLAGS_request_timeout_ms, 1,
                         600000);
  settings::RequireRange("time_limit_s", FLAGS_time_limit_s, 1, 600);
  if (!(FLAGS_zipf_exponent >= 0 && FLAGS_zipf_exponent <= 10)) {
    throw settings::settings_error("zipf_exponent",
                                   std::to_string(FLAGS_zipf_exponent),
                                   "a number from 0 to 10");
  }
}

bench::load_options OptionsFromFlags() {
  bench::load_options options;
  options.url = net::url::Parse(FLAGS_url);
  options.requests = static_cast<std::size_t>(FLAGS_requests);
  options.concurrency = static_cast<std::size_t>(FLAGS_concurrency);
  options.adapters = static_cast<std::size_t>(FLAGS_adapters);
  options.zipf_exponent = FLAGS_zipf_exponent;
  options.maximum_tokens = static_cast<std::size_t>(FLAGS_max_tokens);
  options.stream = FLAGS_stream;
  options.seed = FLAGS_seed;
  options.request_timeout = core::milliseconds(FLAGS_request_timeout_ms);
  options.time_limit = core::seconds(FLAGS_time_limit_s);
  return options;
}

int Run() {
  comfreyspring::net::event_loop loop;
  comfreyspring::net::http_client client(loop);
  bench::load_run run(loop, client, OptionsFromFlags());
  run.Run();
  nlohmann::json result = run.Summary().ToJson(run.Elapsed());
  result["unfinished_requests"] = run.Unfinished();
  std::cout << result.dump() << std::endl;
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  return settings::StartProgram(
      argc, argv,
      "Makes completions through an entry and prints latencies as one line of "
      "JSON.\nUsage: comfreyspring_load --url=http://127.0.0.1:8080",
      CheckFlags, Run);
}
