// The commands of the rosemarycove program.
#pragma once

#include <functional>

namespace CLI {  // NOLINT: the library's name
class App;
}

namespace rosemarycove {

// Exit statuses of the program, documented in docs/COMMANDS.md.
enum class ExitStatus : int {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kInvalid = 3,         // The settings or resources are invalid.
  kConflict = 4,        // The store holds another revision.
  kUnreachable = 5,     // The instance can't be reached.
  kOutcomeUnknown = 6,  // The change may or may not have been made.
  kCutOff = 7,          // Requests were still open when the instance stopped.
};

// Adds commands to the program. A command sets the exit status when it runs.
using CommandRegistrar = std::function<void(CLI::App&, ExitStatus&)>;

// Runs the command given by the arguments and returns the exit status.
int RunCommandLine(int argc, char** argv, const CommandRegistrar& add_commands);

}  // namespace rosemarycove
