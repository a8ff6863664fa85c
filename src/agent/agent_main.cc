#include <gflags/gflags.h>
#include <glog/logging.h>

#include <csignal>
#include <iostream>

#include "agent/agent_program.h"
#include "settings/flag_checks.h"
#include "settings/program_start.h"
#include "trace/trace_writer.h"

DEFINE_string(endpoint_id, "", "Name of the endpoint in the configuration.");
DEFINE_string(vm_id, "", "Name of this VM in the platform's list.");
DEFINE_string(data_centre, "", "Data centre of this VM.");
DEFINE_string(address, "127.0.0.1", "IP address of both ports.");
DEFINE_int32(link_port, 7300, "Port for entries; 0 lets the system choose.");
DEFINE_int32(admin_port, 7301,
             "Port of the health check, state dump and metrics; 0 lets the "
             "system choose.");
DEFINE_string(endpoint_kind, "engine", "engine or plain_service.");
DEFINE_string(endpoint_url, "", "http://ip:port of the endpoint.");
DEFINE_int32(drain_seconds, 60,
             "Maximum time for open work to finish after SIGTERM, in seconds.");
DEFINE_int32(maximum_queue, 4096, "Maximum number of queued attempts.");
DEFINE_int32(maximum_links, 2048, "Maximum number of links from entries.");
// A record takes 1.9 KB, so 40,000 records keep the agent below 128 MB.
DEFINE_int32(maximum_ledger_records, 40000,
             "Maximum number of recorded non-idempotent calls.");
DEFINE_int64(maximum_replay_bytes, 32 << 20,
             "Maximum number of response bytes buffered for a resume.");
DEFINE_int32(status_period_ms, 2000,
             "Interval between reads of the engine's status.");
DEFINE_int32(first_token_timeout_ms, 10000,
             "Timeout for the first event of a completion.");
DEFINE_int32(idle_timeout_ms, 3000,
             "Maximum time between two events before the stream is resumed.");
DEFINE_int32(call_timeout_ms, 30000, "Timeout of one service call.");
DEFINE_int32(service_concurrency, 16,
             "Maximum number of concurrent service calls.");
DEFINE_uint64(seed, 0,
              "Seed for random choices; 0 uses a seed from the system.");
DEFINE_string(trace_file, "",
              "Trace file of scheduler decisions, such as /dev/stderr; empty: "
              "off.");
DEFINE_int32(trace_limit_events, 100000,
             "Number of events after which the trace ends.");

namespace {

using comfreyspring::agent::agent_program;
using comfreyspring::agent::agent_settings;
namespace core = comfreyspring::core;
namespace net = comfreyspring::net;
namespace settings = comfreyspring::settings;

constexpr int kMaximumPort = 65535;
constexpr int kMaximumTimeoutMs = 3600 * 1000;

void CheckFlags() {
  settings::RequireText("endpoint_id", FLAGS_endpoint_id);
  settings::RequireText("vm_id", FLAGS_vm_id);
  settings::RequireText("data_centre", FLAGS_data_centre);
  settings::RequireIpAddress("address", FLAGS_address);
  settings::RequireRange("link_port", FLAGS_link_port, 0, kMaximumPort);
  settings::RequireRange("admin_port", FLAGS_admin_port, 0, kMaximumPort);
  settings::RequireOneOf("endpoint_kind", FLAGS_endpoint_kind,
                         {"engine", "plain_service"});
  settings::RequireUrl("endpoint_url", FLAGS_endpoint_url);
  settings::RequireRange("drain_seconds", FLAGS_drain_seconds, 0, 3600);
  settings::RequireRange("maximum_queue", FLAGS_maximum_queue, 1, 1000000);
  settings::RequireRange("maximum_links", FLAGS_maximum_links, 1, 65000);
  settings::RequireRange("maximum_ledger_records", FLAGS_maximum_ledger_records,
                         1, 10000000);
  settings::RequireRange("maximum_replay_bytes", FLAGS_maximum_replay_bytes,
                         1 << 16, std::int64_t{1} << 34);
  settings::RequireRange("status_period_ms", FLAGS_status_period_ms, 100,
                         60000);
  settings::RequireRange("first_token_timeout_ms", FLAGS_first_token_timeout_ms,
                         100, kMaximumTimeoutMs);
  settings::RequireRange("idle_timeout_ms", FLAGS_idle_timeout_ms, 100,
                         kMaximumTimeoutMs);
  settings::RequireRange("call_timeout_ms", FLAGS_call_timeout_ms, 100,
                         kMaximumTimeoutMs);
  settings::RequireRange("service_concurrency", FLAGS_service_concurrency, 1,
                         10000);
  settings::RequireRange("trace_limit_events", FLAGS_trace_limit_events, 1,
                         100000000);
  try {
    comfreyspring::trace::OpenTrace(FLAGS_trace_file, 1);
  } catch (const core::error&) {
    throw settings::settings_error("trace_file", FLAGS_trace_file,
                                   "a file that can be opened for writing");
  }
}

agent_settings SettingsFromFlags() {
  agent_settings chosen;
  chosen.endpoint = core::endpoint_id(FLAGS_endpoint_id);
  chosen.vm = core::vm_id(FLAGS_vm_id);
  chosen.data_centre = core::data_centre_id(FLAGS_data_centre);
  chosen.kind = core::ParseEndpointKind(FLAGS_endpoint_kind);
  chosen.links.address = FLAGS_address;
  chosen.links.port = static_cast<std::uint16_t>(FLAGS_link_port);
  chosen.links.maximum_links = static_cast<std::size_t>(FLAGS_maximum_links);
  chosen.admin_port = static_cast<std::uint16_t>(FLAGS_admin_port);
  chosen.engine.stream.url = net::url::Parse(FLAGS_endpoint_url);
  chosen.engine.stream.first_token_timeout =
      core::milliseconds(FLAGS_first_token_timeout_ms);
  chosen.engine.stream.idle_timeout = core::milliseconds(FLAGS_idle_timeout_ms);
  chosen.engine.status_period = core::milliseconds(FLAGS_status_period_ms);
  chosen.service.url = net::url::Parse(FLAGS_endpoint_url);
  chosen.service.concurrency =
      static_cast<std::size_t>(FLAGS_service_concurrency);
  chosen.service.call_timeout = core::milliseconds(FLAGS_call_timeout_ms);
  chosen.drain_timeout = core::seconds(FLAGS_drain_seconds);
  chosen.maximum_queue = static_cast<std::size_t>(FLAGS_maximum_queue);
  chosen.maximum_ledger_records =
      static_cast<std::size_t>(FLAGS_maximum_ledger_records);
  chosen.maximum_replay_bytes =
      static_cast<std::size_t>(FLAGS_maximum_replay_bytes);
  chosen.trace_file = FLAGS_trace_file;
  chosen.trace_limit_events =
      static_cast<std::size_t>(FLAGS_trace_limit_events);
  chosen.random_seed = settings::SeedOrSystem(FLAGS_seed);
  return chosen;
}

int Run() {
  comfreyspring::net::event_loop loop;
  agent_settings chosen = SettingsFromFlags();
  chosen.engine.started_unix_ms = core::UnixMilliseconds(loop.WallNow());
  agent_program program(loop, chosen);
  loop.OnSignal(SIGTERM, [&program] { program.Drain(); });
  loop.OnSignal(SIGINT, [&program] { program.Drain(); });
  std::cout << "listening link=" << program.LinkPort()
            << " admin=" << program.AdminPort() << std::endl;
  LOG(INFO) << "agent.program: Serving endpoint " << FLAGS_endpoint_id << " at "
            << FLAGS_endpoint_url << '.';
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  return settings::StartProgram(
      argc, argv,
      "comfreyspring agent: request queue and command sender of one endpoint.\n"
      "Usage: comfreyspring_agent --endpoint_id=engine-1 --vm_id=vm-1 "
      "--data_centre=porto-a --endpoint_url=http://127.0.0.1:8000",
      CheckFlags, Run);
}
