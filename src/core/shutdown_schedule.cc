#include "core/shutdown_schedule.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// Callers have other instances by this time; those that still send requests use
// connections from before.
constexpr Duration kLastRequestDelay = std::chrono::milliseconds(3000);

}  // namespace

void ShutdownSchedule::Start(Duration time_left, TimePoint now) {
  if (!this->ends_at) {
    this->started_at = now;
    this->ends_at = now + std::max(Duration{}, time_left);
  }
}

bool ShutdownSchedule::IsOver(TimePoint now) const {
  return this->ends_at && now >= *this->ends_at;
}

bool ShutdownSchedule::AcceptsAt(TimePoint arrival) const {
  return !this->ends_at ||
         arrival <
             std::min(*this->ends_at, this->started_at + kLastRequestDelay);
}

bool ShutdownSchedule::HasTimeFor(Duration duration, TimePoint sent_at) const {
  return !this->ends_at || sent_at + duration <= *this->ends_at;
}

Duration ShutdownSchedule::Elapsed(TimePoint now) const {
  return this->ends_at ? now - this->started_at : Duration{};
}

}  // namespace rosemarycove
