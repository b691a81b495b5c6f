// Limits the share of an instance's network link that documents may use.
#pragma once

#include <algorithm>
#include <cstddef>

#include "core/types.h"

namespace rosemarycove {

// A token bucket in bytes. What is sent at once may exceed the budget, which
// then has to recover first: a document can't be split.
class LinkBudget {
 public:
  // `bytes_per_second` is the capacity of the link; 0 if it is unknown, which
  // limits nothing.
  explicit LinkBudget(double bytes_per_second)
      : rate(kShare * bytes_per_second) {}

  // Returns whether a document may be sent now.
  [[nodiscard]] bool HasRoom(TimePoint now) {
    const double most = this->rate * ToSeconds(kBurst);
    this->available = std::min(
        most, this->available + this->rate * ToSeconds(now - this->updated_at));
    this->updated_at = now;
    return this->rate == 0 || this->available > 0;
  }
  void Spend(std::size_t bytes) {
    this->available -= static_cast<double>(bytes);
  }

 private:
  // The rest of the link is for requests.
  static constexpr double kShare = 0.25;
  static constexpr Duration kBurst = std::chrono::milliseconds(100);

  double rate;
  double available = 0;
  TimePoint updated_at;
};

}  // namespace rosemarycove
