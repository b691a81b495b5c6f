// Decides when an instance asks another one for its configuration.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// Another instance that has reported a later configuration.
struct ConfigurationHolder {
  std::string address;
  // It is in the same data centre.
  bool is_near = false;
};

// An instance usually gets a new configuration without asking, from those that
// wait for it at the store. One that is behind for longer asks one of the
// instances that have a later one, and then another one, so that it gets one
// copy and not as many as there are others.
class ConfigurationRequests {
 public:
  explicit ConfigurationRequests(std::uint64_t seed) : random(seed) {}

  // Returns the address of the instance to ask now. `version` is that in force
  // here; `holders` are all that have a later one.
  std::optional<std::string> Next(
      std::uint64_t version, const std::vector<ConfigurationHolder>& holders,
      TimePoint now);

 private:
  std::uint64_t last_version = 0;
  // Since when others are known to have a later one than `last_version`.
  std::optional<TimePoint> behind_since;
  TimePoint asked_at;
  // Those that were asked since then.
  std::set<std::string> asked;
  std::mt19937_64 random;
};

}  // namespace rosemarycove
