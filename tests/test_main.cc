#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace {

// Returns the names of this program's tests that KNOWN-RED.txt lists in lines
// like "skipped: test_AREA NAME".
std::vector<std::string> KnownRedTests(const std::string& program) {
  std::vector<std::string> names;
  std::ifstream file("KNOWN-RED.txt");
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    std::string key;
    std::string area;
    std::string name;
    if (words >> key >> area >> name && key == "skipped:" && area == program) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace

// Without arguments, runs all tests but those that KNOWN-RED.txt lists.
int main(int argc, char** argv) {
  // The plugin's counters are not thread-safe; the sanitizer build detects
  // leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<std::string> arguments(argv, argv + argc);
  if (argc == 1) {
    const std::string program = std::filesystem::path(argv[0]).filename();
    for (const std::string& name : KnownRedTests(program)) {
      std::cout << "known to fail, skipped: " << name << "\n";
      arguments.insert(arguments.end(), {"-xsn", name});
    }
  }
  std::vector<const char*> pointers;
  for (const std::string& argument : arguments) {
    pointers.push_back(argument.c_str());
  }
  return CommandLineTestRunner::RunAllTests(static_cast<int>(pointers.size()),
                                            pointers.data());
}
