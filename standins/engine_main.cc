#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "settings/flag_checks.h"
#include "settings/program_start.h"
#include "standins/engine_server.h"

DEFINE_string(address, "127.0.0.1", "IP address to listen on.");
DEFINE_int32(port, 0, "Port to listen on; 0 selects a free port.");
DEFINE_int32(slots, 8, "Number of adapter slots.");
DEFINE_int32(batch_limit, 32, "Maximum number of concurrent streams.");
DEFINE_string(model, "base", "Name of the base model.");
DEFINE_bool(checks_fencing, true,
            "Reject commands with a stale fencing number.");
DEFINE_int32(token_ms, 10, "Duration of a step with an empty batch, in ms.");
DEFINE_string(weights_url, "",
              "http://ip:port/weights; each load fetches its adapter from it.");
DEFINE_int32(load_ms, 250, "Load time without --weights_url, in ms.");
DEFINE_int32(load_report_lag_ms, 500, "Lag of the load report, in ms.");

namespace {

namespace core = comfreyspring::core;
namespace net = comfreyspring::net;
namespace settings = comfreyspring::settings;
using comfreyspring::standins::engine_options;

constexpr int kMaximumPort = 65535;
constexpr int kMaximumMs = 600000;

void CheckFlags() {
  settings::RequireIpAddress("address", FLAGS_address);
  settings::RequireRange("port", FLAGS_port, 0, kMaximumPort);
  settings::RequireRange("slots", FLAGS_slots, 1, 100000);
  settings::RequireRange("batch_limit", FLAGS_batch_limit, 1, 100000);
  settings::RequireText("model", FLAGS_model);
  settings::RequireRange("token_ms", FLAGS_token_ms, 0, kMaximumMs);
  settings::RequireUrl("weights_url", FLAGS_weights_url, true);
  settings::RequireRange("load_ms", FLAGS_load_ms, 0, kMaximumMs);
  settings::RequireRange("load_report_lag_ms", FLAGS_load_report_lag_ms, 0,
                         kMaximumMs);
}

engine_options OptionsFromFlags() {
  engine_options options;
  options.address = FLAGS_address;
  options.port = static_cast<std::uint16_t>(FLAGS_port);
  options.model = FLAGS_model;
  options.slots = static_cast<std::size_t>(FLAGS_slots);
  options.batch_limit = static_cast<std::size_t>(FLAGS_batch_limit);
  options.checks_fencing = FLAGS_checks_fencing;
  options.token_time = core::milliseconds(FLAGS_token_ms);
  if (!FLAGS_weights_url.empty()) {
    options.weights_url = net::url::Parse(FLAGS_weights_url);
  }
  options.load_time = core::milliseconds(FLAGS_load_ms);
  options.load_report_lag = core::milliseconds(FLAGS_load_report_lag_ms);
  return options;
}

int Run() {
  comfreyspring::net::event_loop loop;
  const comfreyspring::standins::engine_server server(loop, OptionsFromFlags());
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  std::cout << "listening " << server.Port() << std::endl;
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  return settings::StartProgram(
      argc, argv,
      "Simulated model engine.\n"
      "Usage: standin_engine --port=9000 --slots=8 --token_ms=10",
      CheckFlags, Run);
}
