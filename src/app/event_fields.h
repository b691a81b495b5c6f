// The log fields of what the core reports.
#pragma once

#include "app/event_log.h"
#include "core/actions.h"

namespace rosemarycove {

// Fields of a request_ended event.
LogFields FieldsOf(const FinishRequest& finish);
// Fields of a placed event.
LogFields FieldsOf(const DecisionMade& decision);

}  // namespace rosemarycove
