// The speed of each engine, learned from its times and from what it states.
// Used by Placer.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// Identifies a server in EngineSpeed and in the samples of fleet reports: the
// lower half of IdHash.
using ShortServerHash = std::uint32_t;
ShortServerHash ShortIdHash(const std::string& server);

// How long an engine's work took, relative to what the sender expected of an
// engine of usual speed.
struct SpeedSample {
  ShortServerHash server = 0;
  double ratio = 1;
  // The evidence; 1 for one time to a first event.
  double weight = 0;

  bool operator==(const SpeedSample&) const = default;
};

// Estimates how long an engine's work takes, relative to an engine of usual
// speed of its service, as the product of two factors:
//
// - the learned factor, from the times to the first event and between events.
//   It changes slowly.
// - the momentary factor: the slowdown that the engine states in its responses,
//   relative to the mean of what it states. It is a sample of a state that
//   changes within a second, so its distance from 1 decays with its age.
//
// The product is right whether the stated slowdown includes that of a slow
// machine or only that of the moment. Owned by a Placer.
//
// In a large fleet each instance sees few responses of an engine, so instances
// tell each other their samples of engines that are not well known yet.
class EngineSpeed {
 public:
  // Records the slowdown that the engine states; 1 is its usual speed.
  void ObserveStated(const std::string& service, const std::string& server,
                     double slowdown, TimePoint now);
  // Returns whether an engine of the service ever stated its slowdown.
  [[nodiscard]] bool HasStated(const std::string& service) const;
  // Records a time that the engine took, relative to the time that is expected
  // of an engine of usual speed.
  void Observe(const std::string& server, double ratio, double weight,
               TimePoint now);
  // Records that the engine takes at least this time, on the same scale.
  void ObserveSilence(const std::string& server, double ratio, TimePoint now);
  // Records what another instance told.
  void Merge(const std::vector<SpeedSample>& samples, TimePoint now);
  // Returns the samples of engines that are not well known, since the last call
  // of MarkTold; one for each engine.
  [[nodiscard]] std::vector<SpeedSample> Untold() const;
  // The other instances were told.
  void MarkTold() { this->untold.clear(); }
  // Drops what is known of a server that restarted or is gone.
  void Forget(const std::string& server);

  // Returns the expected time now, relative to that of an engine of usual
  // speed.
  [[nodiscard]] double Slowdown(const std::string& server, TimePoint now) const;
  // The same without the state of the moment.
  [[nodiscard]] double UsualSlowdown(const std::string& server) const;

 private:
  struct Engine {
    // The sum of the logarithms of the ratios, so that the estimate is a
    // geometric mean.
    double log_sum = 0;
    double weight = 0;
    TimePoint learned_at;
    // Of the slowdowns that the engine stated.
    double stated_mean = 1;
    int stated_count = 0;
    // The momentary factor when it was last observed, and its decay time.
    double moment = 1;
    Duration moment_decay = std::chrono::seconds(1);
    TimePoint moment_at;
  };

  [[nodiscard]] static double Learned(const Engine& engine);
  [[nodiscard]] static double MomentNow(const Engine& engine, TimePoint now);
  static void Learn(Engine& engine, double ratio, double weight, TimePoint now);

  std::unordered_map<ShortServerHash, Engine> engines;
  std::map<ShortServerHash, SpeedSample> untold;
  // The mean stated slowdown, by service.
  std::map<std::string, double> mean_by_service;
};

}  // namespace rosemarycove
