#include <algorithm>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "trace/replayer.h"
#include "trace/trace_line.h"

namespace {

constexpr int kHolds = 0;
constexpr int kFails = 1;
constexpr int kBadFile = 2;

int ReplayFile(const std::string& path, bool print) {
  namespace trace = comfreyspring::trace;
  std::ifstream in(path);
  if (!in) {
    std::cerr << path << ": cannot be opened\n";
    return kBadFile;
  }
  try {
    const trace::replay_result result =
        trace::ReplayTrace(in, print ? &std::cout : nullptr);
    for (const trace::replay_fault& fault : result.faults) {
      std::cerr << path << ':' << fault.line << ": " << fault.message << '\n';
    }
    if (!result.faults.empty()) return kFails;
    std::cout << path << ": " << result.events << " events, " << result.outcomes
              << " outcomes hold\n";
    return kHolds;
  } catch (const trace::trace_error& failure) {
    std::cerr << path << ": " << failure.what() << '\n';
    return kBadFile;
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> paths(argv + 1, argv + argc);
  const bool print = !paths.empty() && paths.front() == "--print";
  if (print) paths.erase(paths.begin());
  if (paths.empty()) {
    std::cerr << "Usage: trace_replay [--print] FILE...\n"
                 "Replays recorded traces; --print shows the events with the "
                 "actions of the replay. Exit status: 0 everything holds, "
                 "1 an action or outcome does not, 2 a file cannot be read.\n";
    return kBadFile;
  }
  int status = kHolds;
  for (const std::string& path : paths) {
    status = std::max(status, ReplayFile(path, print));
  }
  return status;
}
