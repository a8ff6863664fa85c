#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace comfreyspring::process_test {

/** A program under test; killed when the object ends. */
class child_process {
 public:
  /**
   * Starts `binary` and waits for its line on standard output that starts with
   * `listening`. The log goes to `log_file`.
   * @throws std::runtime_error if the program ends or stays mute for 20 s.
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
  /** SIGKILL and wait. */
  void Kill();
  /** Waits for the end. @returns exit code, -1 after the limit. */
  int WaitForExit(int limit_ms);
  bool IsRunning();
  /** True if a socket of the program has this local port (IPv4). */
  bool OwnsTcpPort(int port) const;

 private:
  void ReadAnnouncement();

  pid_t pid_ = -1;
  int output_ = -1;
  int exit_code_ = -1;
  std::string binary_;
  std::string announcement_;
};

/** Runs a program to its end and returns its exit code; for tools. */
int RunTool(const std::string& binary,
            const std::vector<std::string>& arguments,
            const std::string& log_file);

}  // namespace comfreyspring::process_test
