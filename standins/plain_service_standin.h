// A stand-in for a service that isn't a model engine, such as an order book.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "standins/standin_server.h"

namespace standins {

// Counts how often each request body was run. Faults: lose_answer (runs the
// request and cuts the connection), error (status 500, after the run), busy
// (status 503 with X-Ran: no), wrong_id (a response has the id of another
// request), slow_ms (delay of each response).
class PlainServiceStandin : public StandinServer {
 public:
  explicit PlainServiceStandin(std::string name);

  // How often a request with this body was run.
  int Runs(const std::string& body) const;
  // The number of runs of all bodies.
  int TotalRuns() const;

 private:
  void Handle(const httplib::Request& request, httplib::Response& response);

  std::string name;
  mutable std::mutex mutex;
  std::map<std::string, int> runs;
};

}  // namespace standins
