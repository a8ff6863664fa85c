#include "settings/program_start.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <random>
#include <vector>

#include "settings/flag_checks.h"

namespace comfreyspring::settings {
namespace {

std::string EnvironmentName(const std::string& flag) {
  std::string name = "COMFREYSPRING_" + flag;
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::toupper(c));
  });
  return name;
}

/** Sets each flag whose environment variable COMFREYSPRING_<FLAG> exists. */
void SetFlagsFromEnvironment() {
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const gflags::CommandLineFlagInfo& flag : flags) {
    const char* value = std::getenv(EnvironmentName(flag.name).c_str());
    if (value == nullptr) continue;
    if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
      throw settings_error(flag.name, value, "a value of type " + flag.type);
    }
  }
}

}  // namespace

int StartProgram(int argc, char** argv, const std::string& usage,
                 const std::function<void()>& check_flags,
                 const std::function<int()>& run) {
  gflags::SetUsageMessage(usage);
  FLAGS_logtostderr = true;
  try {
    SetFlagsFromEnvironment();
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1) {
      throw settings_error("argument", argv[1], "flags only, see --help");
    }
    check_flags();
  } catch (const settings_error& failure) {
    std::cerr << failure.what() << '\n';
    return kUsageExitCode;
  }
  google::InitGoogleLogging(argv[0]);
  try {
    return run();
  } catch (const std::exception& failure) {
    LOG(ERROR) << "program: Stopped by an exception: " << failure.what();
    return EXIT_FAILURE;
  }
}

std::uint64_t SeedOrSystem(std::uint64_t flag_value) {
  if (flag_value != 0) return flag_value;
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace comfreyspring::settings
