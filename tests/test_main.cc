#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int main(int argc, char** argv) {
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
