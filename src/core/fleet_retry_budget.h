// This instance's part of a retry budget that all instances share.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "core/types.h"

namespace rosemarycove {

// The limits on retries to a service, for all instances together.
struct RetryBounds {
  // Retries allowed for each request in a window.
  double ratio = 0.1;
  // Retries allowed in a window in addition to the ratio.
  double slack = 10;
  Duration window = std::chrono::seconds(10);
};

// Limits retries in any window to the ratio of the requests that this instance
// received, plus an even part of the slack. Each instance keeps to its own
// part, so the total holds without communication, also when the network is cut.
// Each gateway instance owns one budget and uses it on its event loop.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(RetryBounds bounds) : bounds(bounds) {}

  void set_bounds(RetryBounds value) { this->bounds = value; }
  // Sets the number of instances that share the slack, this one included.
  void set_instance_count(int count);
  // Counts a caller's request for the service.
  void RecordRequest(const std::string& service, TimePoint now);
  // Takes one retry from the budget; returns false if it is exhausted.
  bool TrySpend(const std::string& service, TimePoint now);

 private:
  // A window is counted in this many slices, so its edge is exact to a slice.
  static constexpr int kSlices = 20;

  struct Tally {
    std::array<int, kSlices> requests{};
    std::array<int, kSlices> retries{};
    // The current slice, counted from the epoch of the clock.
    std::int64_t slice = 0;
  };

  // Moves the service's tally to the current slice: clears the slices that have
  // left the window.
  Tally& Advance(const std::string& service, TimePoint now);

  RetryBounds bounds;
  int instance_count = 1;
  // By service.
  std::map<std::string, Tally> tallies;
};

}  // namespace rosemarycove
