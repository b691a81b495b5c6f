// One group of a pool's backend servers and the queue of the requests that wait
// for them; see scheduler.h. Used by Scheduler.
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

// Derives the maximum token time of a tier (the time between two tokens of a
// stream) from the limits of the recently active classes.
class TokenTimeLimits {
 public:
  // Records a request whose class allows `seconds` between tokens.
  void Observe(const std::string& class_name, int tier, double seconds,
               TimePoint now);
  // Returns the strictest limit, in seconds per token, of the recently active
  // classes of this tier and more important ones, reduced by a margin for each
  // active tier that is more important. Returns infinity if no class is active.
  [[nodiscard]] double MaxTokenTime(int tier, TimePoint now) const;

 private:
  struct Limit {
    int tier = 0;
    double seconds = 0;  // Moving average.
    TimePoint last_request;
  };
  // By class name.
  std::unordered_map<std::string, Limit> limits;
};

// Keeps the members of a group ordered by the token time that one more request
// would cause, with the queue of the group. Owned by a Scheduler.
class BackendPool {
 public:
  // Updates a member's position in the order, or removes it from the order if
  // it has no capacity. Servers in other data centres (`remote`) come after all
  // others.
  void UpdateOrder(BackendIndex index, bool remote, const BackendState& state);
  // Removes a member from the order until the next UpdateOrder.
  void RemoveFromOrder(BackendIndex index);
  void RemoveMember(BackendIndex index);

  // The members with capacity, the preferred one first, each with its sort key:
  // the expected token time with one more request, in seconds, plus a penalty
  // for servers in other data centres.
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
