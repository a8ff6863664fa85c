#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace comfreyspring::settings {

/** Exit code of a program with a wrong flag or setting. */
inline constexpr int kUsageExitCode = 2;

/**
 * Reads flags and environment, starts the log to standard error, runs
 * `check_flags` and then `run`.
 *
 * @param check_flags throws settings_error on the first wrong setting.
 * @returns the exit code of the program: kUsageExitCode after a settings
 *     error, 1 after any other error, else what `run` returned.
 *
 * Example: `return StartProgram(argc, argv, "usage…", CheckFlags, Run);`
 */
int StartProgram(int argc, char** argv, const std::string& usage,
                 const std::function<void()>& check_flags,
                 const std::function<int()>& run);

/** The seed of a flag, or one from the system if the flag is 0. */
std::uint64_t SeedOrSystem(std::uint64_t flag_value);

}  // namespace comfreyspring::settings
