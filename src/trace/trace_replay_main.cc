#include <algorithm>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "trace/replayer.h"
#include "trace/trace_line.h"

namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitMismatch = 1;
constexpr int kExitBadFile = 2;

int ReplayFile(const std::string& path, bool print) {
  namespace trace = comfreyspring::trace;
  std::ifstream in(path);
  if (!in) {
    std::cerr << path << ": cannot open file\n";
    return kExitBadFile;
  }
  try {
    const trace::replay_result result =
        trace::ReplayTrace(in, print ? &std::cout : nullptr);
    for (const trace::replay_mismatch& mismatch : result.mismatches) {
      std::cerr << path << ':' << mismatch.line << ": " << mismatch.message
                << '\n';
    }
    if (!result.mismatches.empty()) return kExitMismatch;
    std::cout << path << ": " << result.events << " events, " << result.outcomes
              << " outcomes hold\n";
    return kExitSuccess;
  } catch (const trace::trace_error& failure) {
    std::cerr << path << ": " << failure.what() << '\n';
    return kExitBadFile;
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> paths(argv + 1, argv + argc);
  const bool print = !paths.empty() && paths.front() == "--print";
  if (print) paths.erase(paths.begin());
  if (paths.empty()) {
    std::cerr << "Usage: trace_replay [--print] FILE...\n"
                 "Replays recorded traces; --print shows the events with their "
                 "replayed actions. Exit status: 0 all traces match, "
                 "1 an action or outcome differs, 2 a file cannot be read.\n";
    return kExitBadFile;
  }
  int status = kExitSuccess;
  for (const std::string& path : paths) {
    status = std::max(status, ReplayFile(path, print));
  }
  return status;
}
