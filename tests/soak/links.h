// The connections of the gateways to the servers, which can be cut for each
// instance.
#pragma once

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace rosemarycove::soak {

enum class Cut : std::uint8_t {
  kNone,
  kHang,      // Nothing passes; new connections get no answer.
  kReset,     // Open connections end; new ones are refused.
  kRefuseNew  // Open connections live on; new ones are refused.
};

// An entry for each port: 0, or the port to which connections go instead. The
// file is shared with the library of connect_shim.cc in the gateway's process.
using PortTable = std::atomic<std::uint16_t>;
constexpr std::size_t kPortCount = 65536;
constexpr const char* kTableVariable = "SOAK_PORT_TABLE";
constexpr const char* kSourceVariable = "SOAK_SOURCE_ADDRESS";

// The links of one instance, which connects from an address of its own.
class InstanceLinks {
 public:
  // `hanging_port` answers no connection, `closed_port` refuses all.
  InstanceLinks(const std::filesystem::path& table_file, int number,
                int hanging_port, int closed_port);
  ~InstanceLinks();
  InstanceLinks(const InstanceLinks&) = delete;
  InstanceLinks& operator=(const InstanceLinks&) = delete;

  void Set(Cut cut, const std::set<int>& server_ports);
  // Cuts the link to one more server, as the others are.
  void Add(int server_port);
  [[nodiscard]] Cut cut(int server_port) const;
  [[nodiscard]] const std::string& address() const { return this->source; }
  // Settings for the environment of the gateway's process.
  [[nodiscard]] std::vector<std::string> Environment() const;

 private:
  std::string file;
  std::string source;
  int hanging_port;
  int closed_port;
  PortTable* table = nullptr;
  std::atomic<Cut> current = Cut::kNone;
  // Used by one thread only.
  std::set<int> cut_ports;
};

class Links {
 public:
  explicit Links(const std::filesystem::path& folder, int instance_count);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  [[nodiscard]] InstanceLinks& at(std::size_t instance) const {
    return *this->instances.at(instance);
  }
  // Returns null if no instance has this address.
  [[nodiscard]] const InstanceLinks* Find(const std::string& address) const;

 private:
  int hanging_port = 0;
  int closed_port = 0;
  std::vector<int> descriptors;
  std::vector<std::unique_ptr<InstanceLinks>> instances;
};

}  // namespace rosemarycove::soak
