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

// Compare-and-swap, reads and watches over HTTP, as docs/PLATFORM.md says. The
// list of instances is what was last put to /instances.
//
// Faults: outage (1 while on: every call is cut), lose_answer (writes that
// take effect and whose answer is cut), slow_ms.
class StoreStandin : public StandinServer {
 public:
  StoreStandin();
  ~StoreStandin() override;

  // Calls since the start, a waiting watch as one.
  [[nodiscard]] std::uint64_t reads() const { return this->read_calls; }
  [[nodiscard]] std::uint64_t writes() const { return this->write_calls; }

 private:
  struct Entry {
    std::string value;
    std::uint64_t version = 0;
  };

  bool Faulty();
  void HandleGet(const httplib::Request& request, httplib::Response& response);
  void HandlePut(const httplib::Request& request, httplib::Response& response);
  void HandleCounts(httplib::Response& response) const;
  void RegisterInstances();

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Entry> entries;
  std::string instances = "[]";
  std::atomic<std::uint64_t> read_calls = 0;
  std::atomic<std::uint64_t> write_calls = 0;
  std::atomic<bool> stopping = false;
};

}  // namespace standins
