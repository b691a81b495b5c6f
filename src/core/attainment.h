// Target attainment of each request class over recent spans of time.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "core/types.h"

namespace rosemarycove {

// Counts of the requests that ended in a span of time.
struct AttainmentCount {
  std::uint64_t ended = 0;
  std::uint64_t on_target = 0;

  // Fraction of the requests that met their target; 1 if there were none.
  [[nodiscard]] double Share() const;
};

// Keeps a sliding window of counts for each class, in steps of ten seconds. The
// caller leaves out requests that were cancelled.
class Attainment {
 public:
  // Longest span that Count accepts.
  static constexpr Duration kMaxSpan = std::chrono::minutes(60);

  // Counts a request that ended at `now`.
  void Add(const std::string& class_name, bool on_target, TimePoint now);
  // Returns the counts over the last `span`.
  [[nodiscard]] AttainmentCount Count(const std::string& class_name,
                                      Duration span, TimePoint now) const;

 private:
  static constexpr Duration kStep = std::chrono::seconds(10);
  // The steps of kMaxSpan and one to spare.
  static constexpr std::size_t kSteps = 361;

  // One slot of the ring buffer; `number` counts steps since the clock's epoch.
  struct Step {
    std::int64_t number = -1;
    AttainmentCount count;
  };
  static std::int64_t StepNumber(TimePoint time) {
    return time.time_since_epoch() / kStep;
  }

  std::map<std::string, std::array<Step, kSteps>> classes;
};

}  // namespace rosemarycove
