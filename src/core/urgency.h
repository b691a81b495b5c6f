// The order in which requests are served when capacity is scarce.
#pragma once

#include <utility>

namespace rosemarycove {

// How urgent a request is. Lower is more urgent. The tier comes first. A
// customer's tier replaces the route's, so among requests of the same tier the
// route's own tier decides.
struct Urgency {
  int tier = 0;
  int route_tier = 0;

  bool operator==(const Urgency&) const = default;
  bool operator<(const Urgency& other) const {
    return std::pair(this->tier, this->route_tier) <
           std::pair(other.tier, other.route_tier);
  }
};

// Maps an urgency to a priority level from 0, the most urgent, to `levels` - 1.
// With tiers from 0 to `max_tier` the levels keep the whole order if there are
// enough of them, otherwise only the order of the tiers.
int PriorityLevel(const Urgency& urgency, int max_tier, int levels);

}  // namespace rosemarycove
