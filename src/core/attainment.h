// How well each class met its target lately.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "core/types.h"

namespace rosemarycove {

// Requests that ended in a span of time.
struct AttainmentCount {
  std::uint64_t ended = 0;
  std::uint64_t on_target = 0;

  // Share on target; 1 without requests.
  [[nodiscard]] double Share() const;
};

// Counts by class over the last minutes, in steps of ten seconds. Requests
// that their callers cancelled are not counted.
class Attainment {
 public:
  // Longest span that can be asked for.
  static constexpr Duration kMaxSpan = std::chrono::minutes(60);

  void Add(const std::string& class_name, bool on_target, TimePoint now);
  // The count over the last `span`.
  [[nodiscard]] AttainmentCount Count(const std::string& class_name,
                                      Duration span, TimePoint now) const;

 private:
  static constexpr Duration kStep = std::chrono::seconds(10);
  static constexpr std::size_t kSteps = 361;

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
