// Fault injection for tests and demonstrations with stand-ins.
#pragma once

#include <httplib.h>

#include <map>
#include <mutex>
#include <string>

namespace standins {

// Named numbers that `POST /faults?name=value` sets. A number is either the
// parameter of a fault or the number of times that the fault will still occur.
// 0 turns such a fault off. Can be used from any thread.
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
