#include "core/types.h"

namespace rosemarycove {

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kRefused:
      return "refused";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "invalid";
}

std::string_view ToString(ExecutionStatus status) {
  switch (status) {
    case ExecutionStatus::kNotExecuted:
      return "no";
    case ExecutionStatus::kExecuted:
      return "yes";
    case ExecutionStatus::kUnknown:
      return "unknown";
  }
  return "invalid";
}

}  // namespace rosemarycove
