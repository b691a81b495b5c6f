#include "proxy/proxy_observer.h"

#include <array>

namespace rosemarycove {
namespace {

// Indexed by CloseCause.
constexpr std::array<std::string_view, 8> kCloseCauseNames = {
    "caller_closed",    "caller_not_reading", "idle_timeout", "response_sent",
    "idle_at_shutdown", "process_ends",       "no_progress",  "room_needed"};

}  // namespace

std::string_view ToString(NextStep next) {
  switch (next) {
    case NextStep::kAnotherServer:
      return "another_server";
    case NextStep::kSilentServer:
      return "silent_server";
    case NextStep::kGiveUp:
      return "given_up";
  }
  return "unknown";
}

std::string_view ToString(CloseCause cause) {
  return kCloseCauseNames.at(static_cast<std::size_t>(cause));
}

}  // namespace rosemarycove
