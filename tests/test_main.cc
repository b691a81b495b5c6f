#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <csignal>

int main(int argc, char** argv) {
  // The plugin's counters are not thread-safe; the sanitizer build detects
  // leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  std::signal(SIGPIPE, SIG_IGN);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
