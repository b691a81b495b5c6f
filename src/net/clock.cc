#include "net/clock.h"

#include <ctime>

namespace rosemarycove {

TimePoint MonotonicNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace rosemarycove
