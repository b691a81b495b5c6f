#include "core/urgency.h"

#include <algorithm>

namespace rosemarycove {

int RankOf(const Urgency& urgency, int last_tier, int ranks) {
  const int tiers = last_tier + 1;
  const int rank = tiers * tiers <= ranks
                       ? urgency.tier * tiers + urgency.route_tier
                       : urgency.tier;
  return std::clamp(rank, 0, ranks - 1);
}

}  // namespace rosemarycove
