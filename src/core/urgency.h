// How requests are ordered where not all can be served at once.
#pragma once

#include <utility>

namespace rosemarycove {

// How urgent a request is: its tier, and among those of a tier that of its
// route, since a customer's tier may stand in for the route's.
struct Urgency {
  int tier = 0;
  int route_tier = 0;

  bool operator==(const Urgency&) const = default;
  bool operator<(const Urgency& other) const {
    return std::pair(this->tier, this->route_tier) <
           std::pair(other.tier, other.route_tier);
  }
};

// The urgency as one of so many ranks, 0 first. With tiers up to `last_tier`
// it keeps the whole order if that has ranks for it, else that of the tiers.
int PriorityLevel(const Urgency& urgency, int max_tier, int ranks);

}  // namespace rosemarycove
