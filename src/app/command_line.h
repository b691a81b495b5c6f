// The commands of the rosemarycove program.
#pragma once

namespace rosemarycove {

// Exit statuses, listed in docs/COMMANDS.md.
enum class ExitStatus : int {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kInvalid = 3,
  kConflict = 4,
  kUnreachable = 5,
  kUnknown = 6,
  kCutOff = 7,
};

// Runs the command that the arguments name; returns the exit status.
int RunCommandLine(int argc, char** argv);

}  // namespace rosemarycove
