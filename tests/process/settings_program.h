#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

namespace comfreyspring::process_test {

/** A program started with a settings file; the destructor kills it. */
class settings_program {
 public:
  struct options {
    std::string binary;
    std::string settings_file;
    /** Standard output and standard error are appended to this file. */
    std::string log_file;
    /** Shared library for LD_PRELOAD; none if empty. */
    std::string preload;
  };

  explicit settings_program(const options& start);
  ~settings_program();
  settings_program(const settings_program&) = delete;
  settings_program& operator=(const settings_program&) = delete;

  void Signal(int number);
  /** Resident memory of the process in KiB; 0 if it has exited. */
  long ResidentKib() const { return StatusKib("VmRSS:"); }
  /** Highest resident memory so far in KiB; 0 if it has exited. */
  long PeakResidentKib() const { return StatusKib("VmHWM:"); }
  /** Open file descriptors of the process; 0 if it has exited. */
  int OpenDescriptors() const;
  /** True once the process has exited; `Status` is valid from then on. */
  bool HasEnded();
  /** Exit code, or the negated number of the signal that killed it. */
  int Status() const { return status_; }

 private:
  /** Value of a line of the process's status; 0 if there is none. */
  long StatusKib(const std::string& name) const;

  pid_t pid_;
  bool ended_ = false;
  int status_ = -1;
};

}  // namespace comfreyspring::process_test
