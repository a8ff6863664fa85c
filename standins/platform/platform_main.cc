#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "settings/flag_checks.h"
#include "settings/program_start.h"
#include "standins/platform/platform_server.h"

DEFINE_string(address, "127.0.0.1", "IP address to listen on.");
DEFINE_int32(port, 0, "Port to listen on; 0 selects a free port.");
DEFINE_string(config_directory, "",
              "Output directory of `comfreyspringctl sheet compile`.");
DEFINE_int32(vm_list_lag_ms, 2000, "Lag of the VM list, in ms.");

namespace {

namespace core = comfreyspring::core;
namespace settings = comfreyspring::settings;
using comfreyspring::standins::platform_options;

constexpr int kMaximumPort = 65535;
constexpr int kMaximumLagMs = 3600 * 1000;

void CheckFlags() {
  settings::RequireIpAddress("address", FLAGS_address);
  settings::RequireRange("port", FLAGS_port, 0, kMaximumPort);
  settings::RequireRange("vm_list_lag_ms", FLAGS_vm_list_lag_ms, 0,
                         kMaximumLagMs);
}

int Run() {
  platform_options options;
  options.address = FLAGS_address;
  options.port = static_cast<std::uint16_t>(FLAGS_port);
  options.config_directory = FLAGS_config_directory;
  options.vm_list_lag = core::milliseconds(FLAGS_vm_list_lag_ms);
  comfreyspring::net::event_loop loop;
  const comfreyspring::standins::platform_server server(loop, options);
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
      "Simulated platform: configuration service, VM list, weights.\n"
      "Usage: standin_platform --port=9100 --config_directory=DIR",
      CheckFlags, Run);
}
