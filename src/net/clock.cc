#include "net/clock.h"

#include <ctime>

namespace rosemarycove {

TimePoint MonotonicNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

Duration WallClockNow() {
  return std::chrono::system_clock::now().time_since_epoch();
}

}  // namespace rosemarycove
