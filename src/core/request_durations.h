// Learns how long the requests of a route take. Used by the proxy (src/proxy).
#pragma once

#include <map>
#include <string>

#include "core/length_predictor.h"
#include "core/routing_configuration.h"
#include "core/types.h"

namespace rosemarycove {

// Records how long a server took for each of this instance's requests, from the
// placement to the end of the response, and predicts from that how long a
// request of the route will take. The proxy owns one and uses it on its event
// loop.
class RequestDurations {
 public:
  // Records a request that has ended, or one that was ended after this time and
  // would have taken longer.
  void Observe(const Route& route, Duration duration);
  // Returns the time within which nearly all of the route's requests end. For a
  // route without observations it is the target of the route, within a bound.
  [[nodiscard]] Duration LongTime(const Route& route) const;
  // Returns the time within which half of them end.
  [[nodiscard]] Duration MedianTime(const Route& route) const;

 private:
  [[nodiscard]] Duration Quantile(const Route& route, double quantile) const;

  // In milliseconds, by route name.
  std::map<std::string, LengthDistribution> by_route;
};

}  // namespace rosemarycove
