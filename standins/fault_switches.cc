#include "standins/fault_switches.h"

#include <cstdlib>

namespace standins {

void FaultSwitches::Register(httplib::Server& server) {
  server.Post("/faults", [this](const httplib::Request& request,
                                httplib::Response& response) {
    for (const auto& [name, value] : request.params) {
      this->Set(name, std::strtod(value.c_str(), nullptr));
    }
    response.set_content("ok\n", "text/plain");
  });
}

void FaultSwitches::Set(const std::string& name, double value) {
  const std::lock_guard lock(this->mutex);
  this->values[name] = value;
}

double FaultSwitches::Value(const std::string& name,
                            double default_value) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->values.find(name);
  return found == this->values.end() ? default_value : found->second;
}

bool FaultSwitches::Consume(const std::string& name) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->values.find(name);
  if (found == this->values.end() || found->second < 1) {
    return false;
  }
  found->second -= 1;
  return true;
}

}  // namespace standins
