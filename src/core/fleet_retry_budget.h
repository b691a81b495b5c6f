// This instance's part of a retry budget that all instances share. Used by the
// proxy (src/proxy); a Node uses RetryBudget.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "core/types.h"

namespace rosemarycove {

// The limits on retries to a service, for all instances together.
struct RetryBounds {
  // Retries allowed per request received in a window (0.1 = 10 %).
  double ratio = 0.1;
  // Retries allowed per window regardless of the ratio.
  double slack = 10;
  Duration window = std::chrono::seconds(10);
};

// Limits retries in any window to the ratio of the requests that this instance
// received, plus an equal share of the slack. Each instance enforces its own
// part, so the total limit holds without communication, even during a network
// partition. Each gateway instance owns one budget and uses it on its event
// loop.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(RetryBounds bounds) : bounds(bounds) {}

  void set_bounds(RetryBounds value) { this->bounds = value; }
  // Sets the number of instances that share the slack, this one included.
  void set_instance_count(int count);
  // Counts a caller's request for the service.
  void RecordRequest(const std::string& service, TimePoint now);
  // Counts a retry if the budget allows it; returns false if it does not.
  bool TrySpend(const std::string& service, TimePoint now);

 private:
  // A window is counted in this many slices, so its start is exact to a slice.
  static constexpr int kSlices = 20;

  struct Tally {
    std::array<int, kSlices> requests{};
    std::array<int, kSlices> retries{};
    // Number of the current slice since the epoch of the clock.
    std::int64_t slice = 0;
  };

  // Moves the service's tally to the current slice and clears the slices that
  // are no longer in the window.
  Tally& Advance(const std::string& service, TimePoint now);

  RetryBounds bounds;
  int instance_count = 1;
  // By service.
  std::map<std::string, Tally> tallies;
};

}  // namespace rosemarycove
