// The demand for engines of all instances over the last seconds.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/engine_demand.h"
#include "core/types.h"

namespace rosemarycove {

// The demand of the instances of one data centre for the engines of a service,
// in engines, averaged over the last seconds.
struct DataCentreDemand {
  double urgent = 0;
  double other = 0;
  // The part of both that waited or was refused.
  double unserved = 0;
  // All instances of the data centre have reported it without a pause for the
  // time over which it is averaged.
  bool is_complete = false;

  [[nodiscard]] double Total() const { return this->urgent + this->other; }
};

// The demand for the engines of a service.
struct ServiceDemand {
  // How long ago demand was first seen; zero if there was none yet.
  Duration known_for{};
  // Those where instances are.
  std::map<std::string, DataCentreDemand> data_centres;
};

// Adds up the demand that instances report. An instance that stopped reporting
// keeps its last demand for a while, since it may be cut off with its callers.
// Owned by EngineOrders.
class FleetDemand {
 public:
  void Record(const std::string& instance, const std::string& data_centre,
              const std::vector<EngineDemand>& demand, TimePoint now);
  // Drops the demand of an instance whose process has ended.
  void Remove(const std::string& instance);
  // Sets the instances that may send requests, with their data centres.
  void SetFleet(std::vector<std::pair<std::string, std::string>> instances);
  // Takes a sample if one is due.
  void Tick(TimePoint now);
  // Returns the mean demand of the last 20 s. Demand that lasted for less than
  // `min_duration` counts only up to the level that lasted for so long.
  [[nodiscard]] ServiceDemand Summarize(std::uint64_t service_hash,
                                        Duration min_duration,
                                        TimePoint now) const;

 private:
  // Updates since when all instances of each data centre have reported.
  void UpdateCompleteness(TimePoint now);

  struct Report {
    std::string data_centre;
    std::vector<EngineDemand> demand;
    TimePoint received_at;
  };
  // By data centre.
  using Sample = std::map<std::string, EngineDemand>;
  struct Series {
    std::deque<Sample> samples;
    // When demand was first seen.
    std::optional<TimePoint> known_since;
  };

  // By the name of the instance.
  std::map<std::string, Report> reports;
  std::vector<std::pair<std::string, std::string>> fleet;
  // By data centre; missing while an instance there doesn't report.
  std::map<std::string, TimePoint> complete_since;
  // By IdHash of the service.
  std::map<std::uint64_t, Series> series;
  TimePoint sampled_at;
};

}  // namespace rosemarycove
