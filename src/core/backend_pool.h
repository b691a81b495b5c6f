// The backend servers that can serve the requests of one waiting queue.
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

// Index of a backend server in the scheduler's table; never reused.
using BackendIndex = int;

// The longest time between tokens that the classes of a pool allow.
class TokenTimeLimits {
 public:
  // Notes a request whose class allows `seconds` between tokens.
  void Observe(const std::string& class_name, int tier, double seconds,
               TimePoint now);
  // The shortest limit among the classes of this tier and above that had
  // requests lately, in seconds.
  [[nodiscard]] double MaxTokenTime(int tier, TimePoint now) const;

 private:
  struct Limit {
    int tier = 0;
    double seconds = 0;
    TimePoint last;
  };
  std::unordered_map<std::string, Limit> limits;
};

// Members of a pool in the order in which they should be given work.
class BackendPool {
 public:
  // Adds or moves a backend server; `remote` ones go after all others.
  void UpdateOrder(BackendIndex index, bool remote, const BackendState& state);
  // Takes it off the order until it is placed again.
  void RemoveFromOrder(BackendIndex index);
  void RemoveMember(BackendIndex index);

  [[nodiscard]] const std::set<std::pair<double, BackendIndex>>& order() const {
    return this->ready;
  }
  [[nodiscard]] const std::vector<BackendIndex>& members() const {
    return this->all;
  }
  void AddMember(BackendIndex index) { this->all.push_back(index); }

  TieredQueue queue;
  TokenTimeLimits limits;
  // Median slowness of the members, for telling stragglers.
  double median_slowness = 1;

 private:
  std::vector<BackendIndex> all;
  std::set<std::pair<double, BackendIndex>> ready;
  std::unordered_map<BackendIndex, double> keys;
};

}  // namespace rosemarycove
