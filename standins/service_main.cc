#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "settings/flag_checks.h"
#include "settings/program_start.h"
#include "standins/service_server.h"

DEFINE_string(address, "127.0.0.1", "IP address to listen on.");
DEFINE_int32(port, 0, "Port to listen on; 0 selects a free port.");

namespace {

namespace settings = comfreyspring::settings;

constexpr int kMaximumPort = 65535;

void CheckFlags() {
  settings::RequireIpAddress("address", FLAGS_address);
  settings::RequireRange("port", FLAGS_port, 0, kMaximumPort);
}

int Run() {
  comfreyspring::net::event_loop loop;
  const comfreyspring::standins::service_server server(
      loop, FLAGS_address, static_cast<std::uint16_t>(FLAGS_port));
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  std::cout << "listening " << server.Port() << std::endl;
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  return settings::StartProgram(argc, argv,
                                "Simulated plain service.\n"
                                "Usage: standin_service --port=9000",
                                CheckFlags, Run);
}
