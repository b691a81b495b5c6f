#include "core/backend_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rosemarycove {
namespace {

// The limit of a class without requests for this time is ignored.
constexpr Duration kLimitLifetime = std::chrono::seconds(60);
// Weight of a new limit in a class's moving average.
constexpr double kLimitWeight = 0.1;
// Reduces the limit of a tier for each active tier that is more important, so
// that the requests of that tier find spare capacity immediately.
constexpr double kHigherTierFactor = 0.98;
// Added to the sort key of servers in other data centres, in seconds; larger
// than any token time.
constexpr double kRemotePenalty = 1e6;

}  // namespace

void TokenTimeLimits::Observe(const std::string& class_name, int tier,
                              double seconds, TimePoint now) {
  const auto [found, is_new] = this->limits.try_emplace(class_name);
  Limit& limit = found->second;
  limit.seconds =
      is_new ? seconds
             : limit.seconds + kLimitWeight * (seconds - limit.seconds);
  limit.tier = tier;
  limit.last_request = now;
}

double TokenTimeLimits::MaxTokenTime(int tier, TimePoint now) const {
  double shortest = std::numeric_limits<double>::infinity();
  std::set<int> tiers_above;
  for (const auto& [name, limit] : this->limits) {
    if (limit.tier > tier || now - limit.last_request > kLimitLifetime) {
      continue;
    }
    shortest = std::min(shortest, limit.seconds);
    if (limit.tier < tier) {
      tiers_above.insert(limit.tier);
    }
  }
  return shortest * std::pow(kHigherTierFactor, tiers_above.size());
}

void BackendPool::UpdateOrder(BackendIndex index, bool remote,
                              const BackendState& state) {
  this->RemoveFromOrder(index);
  if (!state.HasCapacity()) {
    return;
  }
  const double key = state.TokenTime(state.EstimatedRunning() + 1) +
                     (remote ? kRemotePenalty : 0);
  this->by_token_time.emplace(key, index);
  this->order_keys[index] = key;
}

void BackendPool::RemoveFromOrder(BackendIndex index) {
  const auto known = this->order_keys.find(index);
  if (known != this->order_keys.end()) {
    this->by_token_time.erase({known->second, index});
    this->order_keys.erase(known);
  }
}

void BackendPool::RemoveMember(BackendIndex index) {
  this->RemoveFromOrder(index);
  std::erase(this->member_indices, index);
}

}  // namespace rosemarycove
