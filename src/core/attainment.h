// Target attainment of each request class of a Node over recent spans of time.
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

  // Returns the fraction of the ended requests that were on target; 1 if none
  // ended.
  [[nodiscard]] double Share() const;
};

// Keeps a sliding window of counts for each class, in steps of kStep. Its
// caller does not add requests that were cancelled.
class Attainment {
 public:
  // Longest span for which Count has all counts.
  static constexpr Duration kMaxSpan = std::chrono::minutes(60);

  // Counts a request that ended at `now`.
  void Add(const std::string& class_name, bool on_target, TimePoint now);
  // Returns the counts over the last `span`.
  [[nodiscard]] AttainmentCount Count(const std::string& class_name,
                                      Duration span, TimePoint now) const;

 private:
  static constexpr Duration kStep = std::chrono::seconds(10);
  // The number of steps in kMaxSpan, plus the current one.
  static constexpr std::size_t kSteps = 361;

  // One entry of the ring buffer; `number` counts steps since the clock's
  // epoch.
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
