#include "settings_program.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace comfreyspring::process_test {

settings_program::settings_program(const options& start) : pid_(::fork()) {
  if (pid_ != 0) return;
  const int output =
      ::open(start.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  // The kernel kills this process if the test crashes.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::setenv("COMFREYSPRING_CONFIG", start.settings_file.c_str(), 1);
  if (!start.preload.empty()) {
    ::setenv("LD_PRELOAD", start.preload.c_str(), 1);
  }
  ::execl(start.binary.c_str(), start.binary.c_str(), nullptr);
  ::_exit(127);
}

settings_program::~settings_program() {
  if (ended_) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

long settings_program::StatusKib(const std::string& name) const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind(name, 0) == 0) return std::stol(line.substr(name.size()));
  }
  return 0;
}

int settings_program::OpenDescriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator descriptors(
      "/proc/" + std::to_string(pid_) + "/fd", error);
  return error ? 0
               : static_cast<int>(
                     std::distance(begin(descriptors), end(descriptors)));
}

void settings_program::Signal(int number) {
  if (!HasEnded()) ::kill(pid_, number);
}

bool settings_program::HasEnded() {
  int status = 0;
  if (!ended_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
    ended_ = true;
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return ended_;
}

}  // namespace comfreyspring::process_test
