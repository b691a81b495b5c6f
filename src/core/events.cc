#include "core/events.h"

namespace rosemarycove {

std::string_view ToString(AttemptResult result) {
  switch (result) {
    case AttemptResult::kCompleted:
      return "completed";
    case AttemptResult::kNotSent:
      return "not_sent";
    case AttemptResult::kNotExecuted:
      return "not_run";
    case AttemptResult::kAnsweredError:
      return "answered_error";
    case AttemptResult::kLost:
      return "lost";
    case AttemptResult::kMalformed:
      return "malformed";
    case AttemptResult::kAbandoned:
      return "abandoned";
    case AttemptResult::kWrongId:
      return "wrong_id";
  }
  return "invalid";
}

}  // namespace rosemarycove
