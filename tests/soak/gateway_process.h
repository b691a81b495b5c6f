// A gateway that runs as a separate process.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace rosemarycove::soak {

struct GatewayPorts {
  int callers = 0;
  int status = 0;
  int peers = 0;
};

// Returns ports of the loopback address that were free a moment ago.
std::vector<int> FindFreePorts(int count);

// Starts and signals one gateway. The settings and the log are files in its
// folder, named after the instance; all its processes append to the same log.
class GatewayProcess {
 public:
  GatewayProcess(std::filesystem::path program, std::filesystem::path folder,
                 std::string name, GatewayPorts ports);
  // Kills the process if it runs.
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  void WriteSettings(const std::string& store_address,
                     const std::vector<int>& seed_ports) const;
  // Returns false if there is no process.
  bool Start();
  void Signal(int number) const;
  // Waits for the end of the process. Returns its exit status, or minus the
  // number of the signal that ended it; nullopt if it still runs.
  std::optional<int> Wait(std::chrono::milliseconds timeout);
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] const std::string& name() const { return this->instance; }
  [[nodiscard]] int caller_port() const { return this->ports.callers; }
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
  pid_t process = 0;
};

}  // namespace rosemarycove::soak
