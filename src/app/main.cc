#include "app/command_line.h"

int main(int argc, char** argv) {
  return rosemarycove::RunCommandLine(argc, argv);
}
