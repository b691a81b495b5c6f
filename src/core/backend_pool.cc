#include "core/backend_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rosemarycove {
namespace {

// A class without a request for this long no longer holds batches down.
constexpr Duration kActive = std::chrono::seconds(60);
// Weight of a new limit in a class's moving average.
constexpr double kLimitWeight = 0.1;
// Part of the token time that a tier leaves free for each active tier above
// it, so that a request from above finds room at once.
constexpr double kTierPart = 0.98;
// Added to the order of servers in other data centres, in seconds; more than
// any token time.
constexpr double kRemoteOrder = 1e6;

}  // namespace

void TokenTimeLimits::Observe(const std::string& class_name, int tier,
                              double seconds, TimePoint now) {
  const auto [found, is_new] = this->limits.try_emplace(class_name);
  Limit& limit = found->second;
  limit.seconds =
      is_new ? seconds
             : limit.seconds + kLimitWeight * (seconds - limit.seconds);
  limit.tier = tier;
  limit.last = now;
}

double TokenTimeLimits::MaxTokenTime(int tier, TimePoint now) const {
  double shortest = std::numeric_limits<double>::infinity();
  std::set<int> tiers_above;
  for (const auto& [name, limit] : this->limits) {
    if (limit.tier > tier || now - limit.last > kActive) {
      continue;
    }
    shortest = std::min(shortest, limit.seconds);
    if (limit.tier < tier) {
      tiers_above.insert(limit.tier);
    }
  }
  return shortest * std::pow(kTierPart, tiers_above.size());
}

void BackendPool::UpdateOrder(BackendIndex index, bool remote,
                              const BackendState& state) {
  this->RemoveFromOrder(index);
  if (!state.HasCapacity()) {
    return;
  }
  const double key = state.TokenTime(state.EstimatedRunning() + 1) +
                     (remote ? kRemoteOrder : 0);
  this->ready.emplace(key, index);
  this->keys[index] = key;
}

void BackendPool::RemoveFromOrder(BackendIndex index) {
  const auto known = this->keys.find(index);
  if (known != this->keys.end()) {
    this->ready.erase({known->second, index});
    this->keys.erase(known);
  }
}

void BackendPool::RemoveMember(BackendIndex index) {
  this->RemoveFromOrder(index);
  std::erase(this->all, index);
}

}  // namespace rosemarycove
