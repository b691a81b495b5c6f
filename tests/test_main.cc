#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <csignal>

int main(int argc, char** argv) {
  // Its counts are not safe with threads; the sanitizer build finds leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  std::signal(SIGPIPE, SIG_IGN);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
