#include "core/urgency.h"

#include <algorithm>

namespace rosemarycove {

int PriorityLevel(const Urgency& urgency, int max_tier, int ranks) {
  const int tiers = max_tier + 1;
  const int rank = tiers * tiers <= ranks
                       ? urgency.tier * tiers + urgency.route_tier
                       : urgency.tier;
  return std::clamp(rank, 0, ranks - 1);
}

}  // namespace rosemarycove
