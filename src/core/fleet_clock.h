// The wall time as the fleet has it.
#pragma once

#include <map>
#include <string>

#include "core/types.h"

namespace rosemarycove {

// Wall clocks may step; the clock that TimePoints come from doesn't. The wall
// time is therefore derived from it by an offset, which changes only when the
// median over this instance's wall clock and those of its peers differs from
// it. The result never goes back.
class FleetClock {
 public:
  // `wall` is the time since the start of 1970.
  FleetClock(Duration wall, TimePoint now);

  // Sets what this instance's wall clock says.
  void SetOwn(Duration wall, TimePoint now);
  // Sets what a peer's wall clock says, according to its latest report.
  void SetPeer(const std::string& instance, Duration wall, TimePoint now);
  // Adapts the offset.
  void Tick(TimePoint now);
  // Returns the time since the start of 1970.
  [[nodiscard]] Duration WallTime(TimePoint now);

 private:
  struct PeerClock {
    Duration offset{};
    TimePoint reported_at;
  };

  Duration offset;
  Duration own_offset;
  std::map<std::string, PeerClock> peers;
  // The latest time that was returned.
  Duration latest{};
};

}  // namespace rosemarycove
