#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace comfreyspring::settings {

/** Exit code after an invalid flag or setting. */
inline constexpr int kUsageExitCode = 2;

/**
 * Sets the flags from the environment and the command line, validates them with
 * `check_flags`, starts logging to standard error and calls `run`.
 *
 * @param check_flags throws settings_error on the first invalid setting.
 * @returns the exit code of the program: kUsageExitCode after a settings
 *     error, 1 after any other error, else what `run` returned.
 *
 * Example: `return StartProgram(argc, argv, "usage…", CheckFlags, Run);`
 */
int StartProgram(int argc, char** argv, const std::string& usage,
                 const std::function<void()>& check_flags,
                 const std::function<int()>& run);

/** Returns `flag_value`, or a seed from std::random_device if it is 0. */
std::uint64_t SeedOrSystem(std::uint64_t flag_value);

}  // namespace comfreyspring::settings
