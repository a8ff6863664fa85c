#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace comfreyspring::process_test {

/** A program under test; the destructor kills it. */
class child_process {
 public:
  /**
   * Starts `binary` and waits until it prints a line that starts with
   * `listening` to standard output. Standard error is appended to `log_file`.
   * @throws std::runtime_error if the program exits, or prints nothing for
   * 20 s, before that line.
   */
  child_process(const std::string& binary,
                const std::vector<std::string>& arguments,
                const std::string& log_file);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /** Rest of the `listening` line. */
  const std::string& Announcement() const { return announcement_; }
  /** Port in the announcement: the number, or the number after `name=`. */
  int Port(const std::string& name = "") const;

  void Signal(int signal_number);
  /** Sends SIGKILL and waits for the process to exit. */
  void Kill();
  /** Waits for the process to exit. @returns exit code, -1 on timeout. */
  int WaitForExit(int limit_ms);
  bool IsRunning();
  /** True if the process has an IPv4 TCP socket with this local port. */
  bool OwnsTcpPort(int port) const;

 private:
  void ReadAnnouncement();

  pid_t pid_ = -1;
  int output_ = -1;
  int exit_code_ = -1;
  std::string binary_;
  std::string announcement_;
};

/** Runs a command-line tool until it exits and returns its exit code. */
int RunTool(const std::string& binary,
            const std::vector<std::string>& arguments,
            const std::string& log_file);

}  // namespace comfreyspring::process_test
