#include "core/scheduler_assignment.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <utility>

namespace rosemarycove {

SchedulerAssignment::SchedulerAssignment(std::string self)
    : own_name(std::move(self)) {}

std::string SchedulerAssignment::SchedulerOf(const std::string& pool,
                                             std::uint32_t group) const {
  const auto weight = [&](const std::string& instance) {
    const std::string key =
        instance + '\n' + pool + '\n' + std::to_string(group);
    return XXH3_64bits(key.data(), key.size());
  };
  std::string best;
  std::uint64_t best_weight = 0;
  const auto consider = [&](const std::string& instance) {
    const std::uint64_t candidate_weight = weight(instance);
    if (best.empty() || candidate_weight > best_weight) {
      best = instance;
      best_weight = candidate_weight;
    }
  };
  for (const std::string& peer : this->peers) {
    consider(peer);
  }
  if (!this->is_draining || this->peers.empty()) {
    consider(this->own_name);
  }
  return best;
}

}  // namespace rosemarycove
