// How current an instance's configuration is.
#pragma once

#include <cstdint>
#include <optional>

#include "core/types.h"

namespace rosemarycove {

// What another instance reports of its configuration.
struct PeerConfiguration {
  std::uint64_t version = 0;
  // Its own age; see ConfigurationFreshness. nullopt if it doesn't know, or
  // runs a release that doesn't report it.
  std::optional<Duration> age;
};

// Tracks the time up to which an instance knows every configuration that the
// store had acknowledged, whether from its own reads or from other instances.
// Few instances wait at the store for changes. That these live doesn't show
// that they reach the store, so an instance whose knowledge has become too old
// reads the store itself.
class ConfigurationFreshness {
 public:
  // Records a read of the store that started at `started_at` and returned.
  // `is_usable`: the latest configuration known from the store is in force.
  void RecordRead(TimePoint started_at, bool is_usable);
  // Records a report. `version` is that of the configuration in force here.
  void RecordReport(const PeerConfiguration& peer, std::uint64_t version,
                    TimePoint now);
  // Returns the age that is reported to other instances; nullopt if unknown.
  [[nodiscard]] std::optional<Duration> Age(TimePoint now) const;
  // Returns whether the instance of this rank (FleetLinks::Rank) has to read
  // the store itself.
  [[nodiscard]] bool MustRead(int rank, TimePoint now) const;

 private:
  // nullopt if it isn't known at any time.
  std::optional<TimePoint> current_at;
  // When the last own read started, whether or not its result was usable.
  TimePoint read_at;
};

}  // namespace rosemarycove
