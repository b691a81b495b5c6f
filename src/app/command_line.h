// The commands of the rosemarycove program.
#pragma once

#include <functional>

namespace CLI {  // NOLINT: the library's name
class App;
}

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

// Adds commands to the program; one that runs sets the exit status.
using AddCommands = std::function<void(CLI::App&, ExitStatus&)>;

// Runs the command that the arguments name; returns the exit status.
int RunCommandLine(int argc, char** argv, const AddCommands& add_commands);

}  // namespace rosemarycove
