// Fault injection for tests and demonstrations with stand-ins.
#pragma once

#include <httplib.h>

#include <map>
#include <mutex>
#include <string>

namespace standins {

// Named numbers that `POST /faults?name=value` sets. The number of a fault is
// either its parameter or the count of times that it will occur; 0 is off. Can
// be used from any thread.
class FaultSwitches {
 public:
  // Adds POST /faults to a server.
  void Register(httplib::Server& server);
  void Set(const std::string& name, double value);
  // Returns the number, or `default_value` if it isn't set.
  double Value(const std::string& name, double default_value) const;
  // Decrements the number and returns true; returns false if it is below 1.
  bool Consume(const std::string& name);

 private:
  mutable std::mutex mutex;
  std::map<std::string, double> values;
};

}  // namespace standins
