#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

namespace comfreyspring::process_test {

/** A program that is started with a settings file; killed at the end. */
class settings_program {
 public:
  struct options {
    std::string binary;
    std::string settings_file;
    /** Standard output is appended to it. */
    std::string log_file;
    /** Library to preload; none if empty. */
    std::string preload;
  };

  explicit settings_program(const options& start);
  ~settings_program();
  settings_program(const settings_program&) = delete;
  settings_program& operator=(const settings_program&) = delete;

  void Signal(int number);
  /** Memory of the process that is in use, in KiB; 0 if it has ended. */
  long ResidentKib() const;
  /** True once it has ended; `Status` is its exit code then. */
  bool HasEnded();
  /** Exit code; the negative number of a signal that ended it. */
  int Status() const { return status_; }

 private:
  pid_t pid_;
  bool ended_ = false;
  int status_ = -1;
};

}  // namespace comfreyspring::process_test
