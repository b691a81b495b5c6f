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

std::string_view ToString(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kYes:
      return "yes";
    case Ran::kUnknown:
      return "unknown";
  }
  return "invalid";
}

}  // namespace rosemarycove
