#include <gflags/gflags.h>
#include <glog/logging.h>

#include <csignal>
#include <iostream>

#include "core/hash.h"
#include "entry/entry_program.h"
#include "settings/flag_checks.h"
#include "settings/program_start.h"
#include "trace/trace_writer.h"

DEFINE_string(process_id, "", "Identifier of this entry, unique in the fleet.");
DEFINE_string(data_centre, "", "Data centre of this VM.");
DEFINE_string(address, "127.0.0.1", "IP address of the HTTP API.");
DEFINE_int32(port, 8080, "Port of the HTTP API; 0 selects a free port.");
DEFINE_string(platform_url, "",
              "http://ip:port of the platform's configuration service.");
DEFINE_string(seed_agents, "",
              "ip:port,... of agents that supply the configuration while the "
              "platform is down.");
DEFINE_int32(vm_list_period_ms, 2000, "Period of VM list reads.");
DEFINE_int64(maximum_body_bytes, 1 << 20, "Maximum size of a request body.");
DEFINE_int32(maximum_header_bytes, 32 << 10,
             "Maximum size of a request header.");
DEFINE_int32(maximum_connections, 8192,
             "Maximum number of client connections.");
DEFINE_int32(maximum_requests, 20000, "Maximum number of open requests.");
DEFINE_int32(maximum_tokens, 8192, "Maximum value of max_tokens in a request.");
DEFINE_int32(drain_notice_ms, 3000,
             "After SIGTERM, time for the load balancer to see /readyz fail.");
DEFINE_int32(drain_seconds, 60, "Maximum time for open requests to finish.");
DEFINE_uint64(seed, 0,
              "Seed of random numbers; 0 uses a seed from the system.");
DEFINE_string(
    trace_file, "",
    "File to which decisions are recorded, such as /dev/stderr; empty: "
    "off.");
DEFINE_int32(trace_limit_events, 100000,
             "Number of events after which the trace ends.");

namespace {

using comfreyspring::entry::entry_program;
using comfreyspring::entry::entry_settings;
namespace core = comfreyspring::core;
namespace net = comfreyspring::net;
namespace settings = comfreyspring::settings;

constexpr int kMaximumPort = 65535;

void CheckFlags() {
  settings::RequireText("process_id", FLAGS_process_id);
  settings::RequireText("data_centre", FLAGS_data_centre);
  settings::RequireIpAddress("address", FLAGS_address);
  settings::RequireRange("port", FLAGS_port, 0, kMaximumPort);
  settings::RequireUrl("platform_url", FLAGS_platform_url, true);
  settings::ParseAddresses("seed_agents", FLAGS_seed_agents);
  if (FLAGS_platform_url.empty() && FLAGS_seed_agents.empty()) {
    throw settings::settings_error("platform_url", "",
                                   "a URL, unless --seed_agents names agents");
  }
  settings::RequireRange("vm_list_period_ms", FLAGS_vm_list_period_ms, 100,
                         60000);
  settings::RequireRange("maximum_body_bytes", FLAGS_maximum_body_bytes, 1024,
                         1536 << 10);
  settings::RequireRange("maximum_header_bytes", FLAGS_maximum_header_bytes,
                         2048, 1 << 20);
  settings::RequireRange("maximum_connections", FLAGS_maximum_connections, 1,
                         65000);
  settings::RequireRange("maximum_requests", FLAGS_maximum_requests, 1,
                         1000000);
  settings::RequireRange("maximum_tokens", FLAGS_maximum_tokens, 1, 1 << 20);
  settings::RequireRange("drain_notice_ms", FLAGS_drain_notice_ms, 0, 60000);
  settings::RequireRange("drain_seconds", FLAGS_drain_seconds, 0, 3600);
  settings::RequireRange("trace_limit_events", FLAGS_trace_limit_events, 1,
                         100000000);
  try {
    comfreyspring::trace::OpenTrace(FLAGS_trace_file, 1);
  } catch (const core::error&) {
    throw settings::settings_error("trace_file", FLAGS_trace_file,
                                   "a file that can be opened for writing");
  }
}

entry_settings SettingsFromFlags() {
  entry_settings result;
  result.process = core::process_id(FLAGS_process_id);
  result.data_centre = core::data_centre_id(FLAGS_data_centre);
  result.address = FLAGS_address;
  result.port = static_cast<std::uint16_t>(FLAGS_port);
  if (!FLAGS_platform_url.empty()) {
    result.platform_url = net::url::Parse(FLAGS_platform_url);
  }
  result.seed_agents =
      settings::ParseAddresses("seed_agents", FLAGS_seed_agents);
  result.vm_list_period = core::milliseconds(FLAGS_vm_list_period_ms);
  result.limits.maximum_body_bytes =
      static_cast<std::size_t>(FLAGS_maximum_body_bytes);
  result.limits.maximum_tokens = FLAGS_maximum_tokens;
  result.maximum_header_bytes =
      static_cast<std::size_t>(FLAGS_maximum_header_bytes);
  result.maximum_connections = static_cast<unsigned>(FLAGS_maximum_connections);
  result.maximum_requests = static_cast<std::size_t>(FLAGS_maximum_requests);
  result.drain_notice = core::milliseconds(FLAGS_drain_notice_ms);
  result.drain_limit = core::seconds(FLAGS_drain_seconds);
  result.trace_file = FLAGS_trace_file;
  result.trace_limit_events =
      static_cast<std::size_t>(FLAGS_trace_limit_events);
  // Entries with the same seed must not generate the same request ids.
  result.random_seed =
      core::Hash64(FLAGS_process_id, settings::SeedOrSystem(FLAGS_seed));
  return result;
}

int Run() {
  comfreyspring::net::event_loop loop;
  entry_program program(loop, SettingsFromFlags());
  loop.OnSignal(SIGTERM, [&program] { program.Drain(); });
  loop.OnSignal(SIGINT, [&program] { program.Drain(); });
  std::cout << "listening " << program.Port() << std::endl;
  LOG(INFO) << "entry.program: Listening on " << FLAGS_address << ':'
            << program.Port() << '.';
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  return settings::StartProgram(
      argc, argv,
      "comfreyspring entry: HTTP API in front of the endpoints.\n"
      "Usage: comfreyspring_entry --process_id=entry-1 --data_centre=porto-a "
      "--platform_url=http://127.0.0.1:7000",
      CheckFlags, Run);
}
