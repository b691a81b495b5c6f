// The maximum of a value over the last seconds.
#pragma once

#include <deque>
#include <utility>

#include "core/types.h"

namespace rosemarycove {

// Part of CapacityPlanner.
class HeldMaximum {
 public:
  explicit HeldMaximum(Duration window) : window(window) {}

  void Add(double value, TimePoint now) {
    while (!this->values.empty() && this->values.back().second <= value) {
      this->values.pop_back();
    }
    this->values.emplace_back(now, value);
    while (now - this->values.front().first > this->window) {
      this->values.pop_front();
    }
  }
  // Returns 0 before the first value.
  [[nodiscard]] double Get() const {
    return this->values.empty() ? 0 : this->values.front().second;
  }

 private:
  Duration window;
  // In descending order of the values.
  std::deque<std::pair<TimePoint, double>> values;
};

}  // namespace rosemarycove
