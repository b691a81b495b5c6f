// What the settings say about the duties of the fleet towards the platform.
#pragma once

#include "core/types.h"

namespace rosemarycove {

struct DutyOptions {
  bool reports_usage = false;
  bool orders_engines = false;
  // The calls that the platform accepts from all instances together.
  double calls_per_second = 50;
  // The time for which a claim holds without a renewal.
  Duration lease = std::chrono::seconds(3);
  // The platform rejects calls with an older fencing token.
  bool tokens_are_checked = true;
  // The length of a window of usage, and the time after its end within which it
  // is to be reported.
  Duration usage_window = std::chrono::seconds(5);
  Duration usage_due = std::chrono::seconds(10);

  bool operator==(const DutyOptions&) const = default;
};

}  // namespace rosemarycove
