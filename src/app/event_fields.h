// Converts actions of the core to log fields.
#pragma once

#include "app/event_log.h"
#include "core/actions.h"

namespace rosemarycove {

// Fields of a request_ended event.
LogFields ToLogFields(const FinishRequest& finish);
// Fields of a placed event.
LogFields ToLogFields(const PlacementDecision& decision);

}  // namespace rosemarycove
