// A stand-in for a plain service, such as an order book.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "standins/standin_server.h"

namespace standins {

// Counts how often each order ran. Faults: lose_answer (runs the call and
// cuts the connection), error, busy, wrong_id, slow_ms.
class PlainServiceStandin : public StandinServer {
 public:
  explicit PlainServiceStandin(std::string name);

  // How often a body was run.
  int Runs(const std::string& body) const;
  // All runs.
  int TotalRuns() const;

 private:
  void Handle(const httplib::Request& request, httplib::Response& response);

  std::string name;
  mutable std::mutex mutex;
  std::map<std::string, int> runs;
};

}  // namespace standins
