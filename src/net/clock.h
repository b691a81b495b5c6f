// The clock of an instance.
#pragma once

#include "core/types.h"

namespace rosemarycove {

// Returns the time since the machine started, including the time in which it
// was suspended, which std::chrono::steady_clock leaves out. A permission that
// another instance or a server gave for some time ends while this machine is
// suspended.
TimePoint MonotonicNow();

// Returns what the wall clock says, which may step: the time since the start of
// 1970.
Duration WallClockNow();

}  // namespace rosemarycove
