#include "child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace comfreyspring::process_test {
namespace {

constexpr int kStartLimitMs = 20000;
constexpr const char* kAnnouncement = "listening ";

pid_t Spawn(const std::string& binary,
            const std::vector<std::string>& arguments,
            const std::string& log_file, int output) {
  std::vector<std::string> words = {binary};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> pointers;
  for (std::string& word : words) pointers.push_back(word.data());
  pointers.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  if (output >= 0) {
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_addclose(&actions, output);
  }
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  pid_t pid = -1;
  const int failure = posix_spawn(&pid, binary.c_str(), &actions, nullptr,
                                  pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) throw std::runtime_error("cannot start " + binary);
  return pid;
}

int ExitCodeOf(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

}  // namespace

child_process::child_process(const std::string& binary,
                             const std::vector<std::string>& arguments,
                             const std::string& log_file)
    : binary_(binary) {
  std::array<int, 2> pipe_ends = {-1, -1};
  if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot open a pipe");
  }
  output_ = pipe_ends[0];
  pid_ = Spawn(binary, arguments, log_file, pipe_ends[1]);
  ::close(pipe_ends[1]);
  ReadAnnouncement();
}

child_process::~child_process() {
  Kill();
  if (output_ >= 0) ::close(output_);
}

void child_process::ReadAnnouncement() {
  std::string line;
  pollfd waiting = {output_, POLLIN, 0};
  while (poll(&waiting, 1, kStartLimitMs) > 0) {
    char character = 0;
    if (::read(output_, &character, 1) != 1) break;
    if (character != '\n') {
      line += character;
      continue;
    }
    if (line.rfind(kAnnouncement, 0) == 0) {
      announcement_ = line.substr(std::string(kAnnouncement).size());
      return;
    }
    line.clear();
  }
  Kill();
  throw std::runtime_error(
      binary_ + " exited or timed out before it printed its listening ports");
}

int child_process::Port(const std::string& name) const {
  if (name.empty()) return std::stoi(announcement_);
  const std::size_t position = announcement_.find(name + "=");
  if (position == std::string::npos) {
    throw std::runtime_error("no port " + name + " in " + announcement_);
  }
  return std::stoi(announcement_.substr(position + name.size() + 1));
}

void child_process::Signal(int signal_number) {
  if (pid_ > 0) ::kill(pid_, signal_number);
}

void child_process::Kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  int status = 0;
  ::waitpid(pid_, &status, 0);
  pid_ = -1;
}

int child_process::WaitForExit(int limit_ms) {
  if (pid_ <= 0) return exit_code_;
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(limit_ms);
  while (std::chrono::steady_clock::now() < end) {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      exit_code_ = ExitCodeOf(status);
      return exit_code_;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return -1;
}

bool child_process::IsRunning() {
  return pid_ > 0 && WaitForExit(1) == -1 && pid_ > 0;
}

bool child_process::OwnsTcpPort(int port) const {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  std::set<std::string> wanted;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string slot, local, skipped, inode;
    fields >> slot >> local;
    for (int i = 0; i < 7; ++i) fields >> skipped;
    fields >> inode;
    const std::string digits = local.substr(local.find(':') + 1);
    if (std::stoi(digits, nullptr, 16) != port) continue;
    wanted.insert("socket:[" + inode + "]");
  }
  const std::string folder = "/proc/" + std::to_string(pid_) + "/fd";
  std::error_code failure;
  for (const auto& entry :
       std::filesystem::directory_iterator(folder, failure)) {
    const auto target = std::filesystem::read_symlink(entry.path(), failure);
    if (wanted.count(target.string()) > 0) return true;
  }
  return false;
}

int RunTool(const std::string& binary,
            const std::vector<std::string>& arguments,
            const std::string& log_file) {
  const pid_t pid = Spawn(binary, arguments, log_file, -1);
  int status = 0;
  ::waitpid(pid, &status, 0);
  return ExitCodeOf(status);
}

}  // namespace comfreyspring::process_test
