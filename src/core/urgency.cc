#include "core/urgency.h"

#include <algorithm>

namespace rosemarycove {

int PriorityLevel(const Urgency& urgency, int max_tier, int levels) {
  const int tiers = max_tier + 1;
  const int level = tiers * tiers <= levels
                        ? urgency.tier * tiers + urgency.route_tier
                        : urgency.tier;
  return std::clamp(level, 0, levels - 1);
}

}  // namespace rosemarycove
