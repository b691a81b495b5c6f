// The order in which requests are served when capacity is scarce.
#pragma once

#include <utility>

namespace rosemarycove {

// How urgent a request is. Urgencies compare by the effective tier, then by the
// route's tier; smaller is more urgent. Used by the proxy (src/proxy).
struct Urgency {
  // The effective tier: the customer's, or the route's if the customer has
  // none. Smaller numbers are more important, starting at 0.
  int tier = 0;
  // The route's own tier.
  int route_tier = 0;

  bool operator==(const Urgency&) const = default;
  bool operator<(const Urgency& other) const {
    return std::pair(this->tier, this->route_tier) <
           std::pair(other.tier, other.route_tier);
  }
};

// Maps an urgency to a priority level from 0, the most urgent, to `levels` - 1.
// Tiers are numbered from 0 to `max_tier`, the least important. The levels keep
// the complete order if there are enough of them, otherwise only the order of
// the effective tiers.
int PriorityLevel(const Urgency& urgency, int max_tier, int levels);

}  // namespace rosemarycove
