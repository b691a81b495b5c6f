// A group of backend servers and the queue of the requests that wait for them.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/backend_state.h"
#include "core/tiered_queue.h"
#include "core/types.h"

namespace rosemarycove {

// Index of a backend server in the scheduler's table; indices are not reused.
using BackendIndex = int;

// Tracks the longest time between tokens that the classes of a pool allow.
class TokenTimeLimits {
 public:
  // Records a request whose class allows `seconds` between tokens.
  void Observe(const std::string& class_name, int tier, double seconds,
               TimePoint now);
  // Returns the shortest limit, in seconds, among the recently active classes
  // of this tier and higher ones, lowered for each active tier above. Infinite
  // if none of them is active.
  [[nodiscard]] double MaxTokenTime(int tier, TimePoint now) const;

 private:
  struct Limit {
    int tier = 0;
    double seconds = 0;  // Moving average.
    TimePoint last_request;
  };
  std::unordered_map<std::string, Limit> limits;
};

// Keeps the members of a pool ordered by the token time that one more request
// would cause.
class BackendPool {
 public:
  // Places a member in the order by its current state, or takes it out if it
  // has no capacity. Servers in other data centres (`remote`) come after all
  // others.
  void UpdateOrder(BackendIndex index, bool remote, const BackendState& state);
  // Takes a member out of the order until the next UpdateOrder.
  void RemoveFromOrder(BackendIndex index);
  void RemoveMember(BackendIndex index);

  // Pairs of sort key and index, the preferred server first.
  [[nodiscard]] const std::set<std::pair<double, BackendIndex>>& order() const {
    return this->by_token_time;
  }
  [[nodiscard]] const std::vector<BackendIndex>& members() const {
    return this->member_indices;
  }
  void AddMember(BackendIndex index) { this->member_indices.push_back(index); }

  TieredQueue queue;
  TokenTimeLimits limits;
  // Median slowness of the healthy members, for the detection of stragglers.
  double median_slowness = 1;

 private:
  std::vector<BackendIndex> member_indices;
  std::set<std::pair<double, BackendIndex>> by_token_time;
  std::unordered_map<BackendIndex, double> order_keys;
};

}  // namespace rosemarycove
