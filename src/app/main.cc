#include "app/command_line.h"
#include "platform/command.h"

int main(int argc, char** argv) {
  return rosemarycove::RunCommandLine(argc, argv,
                                      rosemarycove::platform::AddCommands);
}
