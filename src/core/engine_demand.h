// The demand for engines of a service, as instances report it to each other.
#pragma once

#include <cstdint>

namespace rosemarycove {

// Demand in engines: the seconds of engine time that requests take per second.
struct DemandPart {
  // Of the requests that engines ran.
  double busy = 0;
  // Of the requests that wait for capacity or were refused for lack of it.
  double unserved = 0;

  [[nodiscard]] double Total() const { return this->busy + this->unserved; }
  DemandPart& operator+=(const DemandPart& other) {
    this->busy += other.busy;
    this->unserved += other.unserved;
    return *this;
  }
  bool operator==(const DemandPart&) const = default;
};

// The demand of one instance's requests for the engines of one service.
struct EngineDemand {
  // IdHash of the service's name.
  std::uint64_t service_hash = 0;
  // The most urgent tier of the service's routes.
  DemandPart urgent;
  // All other tiers.
  DemandPart other;

  bool operator==(const EngineDemand&) const = default;
};

}  // namespace rosemarycove
