// A stand-in for the platform's key-value service and its list of instances.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "standins/standin_server.h"

namespace standins {

// Serves compare-and-swap, reads and watches over HTTP as docs/PLATFORM.md
// describes them. The list of instances is the one last put to /instances.
//
// Faults: outage (while it is 1, the connection of every call is cut),
// lose_answer (a write takes effect but gets no response), slow_ms (delay of
// each response).
class StoreStandin : public StandinServer {
 public:
  StoreStandin();
  ~StoreStandin() override;

  // The number of calls since the start. A watch counts as one.
  [[nodiscard]] std::uint64_t reads() const { return this->read_calls; }
  [[nodiscard]] std::uint64_t writes() const { return this->write_calls; }

 private:
  struct Entry {
    std::string value;
    std::uint64_t version = 0;
  };

  // Waits for slow_ms; cuts the connection and returns true during an outage.
  bool ApplyFaults();
  void HandleGet(const httplib::Request& request, httplib::Response& response);
  void HandlePut(const httplib::Request& request, httplib::Response& response);
  void HandleCounts(httplib::Response& response) const;
  void RegisterInstances();

  // Guards the entries and the list of instances.
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Entry> entries;
  std::string instances = "[]";
  std::atomic<std::uint64_t> read_calls = 0;
  std::atomic<std::uint64_t> write_calls = 0;
  std::atomic<bool> is_stopping = false;
};

}  // namespace standins
