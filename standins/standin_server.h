// The HTTP server that all stand-ins are based on.
#pragma once

#include <httplib.h>

#include <memory>
#include <string>
#include <thread>

#include "standins/fault_switches.h"

namespace standins {

// Serves on the loopback address, on internal threads, until it is stopped.
class StandinServer {
 public:
  StandinServer();
  virtual ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  // Starts to serve on the port, or on a free one if it is 0. Returns the port,
  // or -1 if it can't be bound.
  int Start(int port);
  // Ends all connections and waits for the thread.
  void Stop();
  [[nodiscard]] int port() const { return this->bound_port; }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(this->bound_port);
  }
  FaultSwitches& faults() { return this->switches; }

 protected:
  // Closes the connection that the calling thread serves, without a response.
  static void CutConnection();

  std::unique_ptr<httplib::Server> server;
  FaultSwitches switches;

 private:
  std::thread thread;
  int bound_port = -1;
};

}  // namespace standins
