// What all stand-ins share: an HTTP server on a thread.
#pragma once

#include <httplib.h>

#include <memory>
#include <string>
#include <thread>

#include "standins/fault_switches.h"

namespace standins {

// Serves on loopback until it is destroyed.
class StandinServer {
 public:
  StandinServer();
  virtual ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  // Begins to serve on the port, or on any when it is 0. Returns the port, or
  // -1 when it is taken.
  int Start(int port);
  // Ends all connections and the thread.
  void Stop();
  [[nodiscard]] int port() const { return this->bound_port; }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(this->bound_port);
  }
  FaultSwitches& faults() { return this->switches; }

 protected:
  // Closes the connection that this thread is serving, without an answer.
  static void CutConnection();

  std::unique_ptr<httplib::Server> server;
  FaultSwitches switches;

 private:
  std::thread thread;
  int bound_port = -1;
};

}  // namespace standins
