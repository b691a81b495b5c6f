// This instance's part of a budget of repeats that all instances share.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "core/types.h"

namespace rosemarycove {

// How many repeats a service bears.
struct RetryBounds {
  // Repeats allowed for each first sending in a window.
  double ratio = 0.1;
  // Repeats allowed beside the ratio in a window, all instances together.
  double slack = 10;
  Duration window = std::chrono::seconds(10);
};

// Allows repeats in any window up to the ratio of the first sendings that this
// instance saw, plus an even part of the slack. Each instance keeps to its own
// part, so the sum holds without any exchange, in a cut as well.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(RetryBounds bounds) : bounds(bounds) {}

  void set_bounds(RetryBounds value) { this->bounds = value; }
  // Instances that may spend at the same time, this one included.
  void set_instance_count(int count);
  // A caller's request for the service arrived.
  void RecordRequest(const std::string& service, TimePoint now);
  // Takes one repeat; false when this instance's part is spent.
  bool TrySpend(const std::string& service, TimePoint now);

 private:
  // Slices of a window; a slice is the error of its edge.
  static constexpr int kSlices = 20;

  struct Tally {
    std::array<int, kSlices> requests{};
    std::array<int, kSlices> retries{};
    std::int64_t slice = 0;
  };

  Tally& Advance(const std::string& service, TimePoint now);

  RetryBounds bounds;
  int instances = 1;
  std::map<std::string, Tally> tallies;
};

}  // namespace rosemarycove
