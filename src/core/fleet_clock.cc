#include "core/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace rosemarycove {
namespace {

// Smaller differences come from the transit of reports, and from event loops
// that are late on slow machines.
constexpr Duration kTolerance = std::chrono::milliseconds(100);
// The clock of a peer that hasn't reported for longer is not used.
constexpr Duration kMaxAge = std::chrono::seconds(5);

}  // namespace

FleetClock::FleetClock(Duration wall, TimePoint now)
    : offset(wall - now.time_since_epoch()), own_offset(this->offset) {}

void FleetClock::SetOwn(Duration wall, TimePoint now) {
  this->own_offset = wall - now.time_since_epoch();
}

void FleetClock::SetPeer(const std::string& instance, Duration wall,
                         TimePoint now) {
  this->peers[instance] = {.offset = wall - now.time_since_epoch(),
                           .reported_at = now};
}

void FleetClock::Tick(TimePoint now) {
  std::erase_if(this->peers, [&](const auto& item) {
    return now - item.second.reported_at > kMaxAge;
  });
  std::vector<Duration> offsets = {this->own_offset};
  for (const auto& [instance, clock] : this->peers) {
    offsets.push_back(clock.offset);
  }
  std::sort(offsets.begin(), offsets.end());
  // Of two middle ones, the nearer to the offset in use: one clock of two
  // doesn't outvote the other.
  const Duration low = offsets[(offsets.size() - 1) / 2];
  const Duration high = offsets[offsets.size() / 2];
  const Duration median = std::clamp(this->offset, low, high);
  if (std::chrono::abs(median - this->offset) > kTolerance) {
    this->offset = median;
  }
}

Duration FleetClock::WallTime(TimePoint now) {
  this->latest = std::max(this->latest, now.time_since_epoch() + this->offset);
  return this->latest;
}

}  // namespace rosemarycove
