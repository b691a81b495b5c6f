// A gateway that runs as a separate process.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace rosemarycove::soak {

// The ports of one process, one after another.
struct GatewayPorts {
  static constexpr int kCount = 5;
  int first = 0;
  [[nodiscard]] int callers() const { return this->first; }
  [[nodiscard]] int status() const { return this->first + 1; }
  [[nodiscard]] int peers() const { return this->first + 2; }
  // The first of two for the relay.
  [[nodiscard]] int relay() const { return this->first + 3; }
};

// Returns the first of this many successive ports of the loopback address that
// were free a moment ago, below those that the system gives out; 0 if there are
// none.
int FindFreePorts(int count);

// What a process holds and has used.
struct ProcessUsage {
  int descriptors = 0;
  int memory_mb = 0;
  // Used since the process started.
  std::chrono::milliseconds processor_time{};
};

// Starts and signals one gateway. The settings and the log are files in its
// folder, named after the instance; all its processes append to the same log.
class GatewayProcess {
 public:
  GatewayProcess(std::filesystem::path program, std::filesystem::path folder,
                 std::string name, GatewayPorts ports,
                 std::vector<std::string> environment);
  // Kills the process if it runs.
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  void WriteSettings(const std::string& store_address,
                     const std::vector<int>& seed_ports,
                     std::chrono::milliseconds grace) const;
  // Returns false if there is no process.
  bool Start();
  // Sets the program of the next start.
  void SetProgram(std::filesystem::path next) {
    this->program = std::move(next);
  }
  void Signal(int number) const;
  // Waits for the end of the process. Returns its exit status, or minus the
  // number of the signal that ended it; nullopt if it still runs.
  std::optional<int> Wait(std::chrono::milliseconds timeout);
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] const std::string& name() const { return this->instance; }
  [[nodiscard]] int caller_port() const { return this->ports.callers(); }
  [[nodiscard]] int peer_port() const { return this->ports.peers(); }
  [[nodiscard]] ProcessUsage Usage() const;
  // Returns the lines of the log that contain the text.
  [[nodiscard]] std::vector<std::string> LogLinesWith(
      const std::string& text) const;

 private:
  [[nodiscard]] std::string LogFile() const;
  [[nodiscard]] std::string SettingsFile() const;

  std::filesystem::path program;
  std::filesystem::path folder;
  std::string instance;
  GatewayPorts ports;
  // Settings in addition to the environment of this process.
  std::vector<std::string> environment;
  pid_t process = 0;
};

}  // namespace rosemarycove::soak
