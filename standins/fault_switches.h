// Faults that tests and demonstrations switch on in a stand-in.
#pragma once

#include <httplib.h>

#include <map>
#include <mutex>
#include <string>

namespace standins {

// Numbers by name, set by `POST /faults?name=value` and read while serving.
// A fault with a count goes off that many times; 0 is off.
class FaultSwitches {
 public:
  // Adds POST /faults and GET /faults to a server.
  void Register(httplib::Server& server);
  // Sets one switch.
  void Set(const std::string& name, double value);
  // The value set, or `otherwise`.
  double Value(const std::string& name, double otherwise) const;
  // True as many times as the switch was set to; counts it down.
  bool Consume(const std::string& name);

 private:
  mutable std::mutex mutex;
  std::map<std::string, double> values;
};

}  // namespace standins
