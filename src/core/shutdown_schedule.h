// Decides which requests an instance that shuts down still handles. Used by the
// proxy (src/proxy).
#pragma once

#include <optional>

#include "core/types.h"

namespace rosemarycove {

// The times of a planned shutdown. At its end, open requests are cut off, so no
// request is sent to a server that would probably not end before. The gateway
// owns one and uses it on its event loop.
class ShutdownSchedule {
 public:
  // Starts the shutdown, at whose end open requests are cut off. Only the first
  // call has an effect.
  void Start(Duration time_left, TimePoint now);
  [[nodiscard]] bool has_started() const { return this->ends_at.has_value(); }
  // Returns whether requests are cut off now.
  [[nodiscard]] bool IsOver(TimePoint now) const;
  // Returns whether a request that arrives at this time may be handled. Later
  // ones are refused however short they are, so that the shutdown ends.
  [[nodiscard]] bool AcceptsAt(TimePoint arrival) const;
  // Returns whether a request that takes this long and is sent at this time
  // ends before the cut-off.
  [[nodiscard]] bool HasTimeFor(Duration duration, TimePoint sent_at) const;
  // The time since the start; zero before.
  [[nodiscard]] Duration Elapsed(TimePoint now) const;

 private:
  TimePoint started_at;
  // When open requests are cut off; nullopt before the shutdown starts.
  std::optional<TimePoint> ends_at;
};

}  // namespace rosemarycove
