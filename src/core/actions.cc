#include "core/actions.h"

#include <algorithm>
#include <array>

namespace rosemarycove {
namespace {

// Indexed by EndCause.
constexpr std::array<std::string_view, 30> kCauseNames = {
    "answered",          "unknown_model",  "unknown_service",
    "class_not_allowed", "customer_limit", "class_limit",
    "queue_full",        "evicted",        "late",
    "max_wait",          "draining",       "not_ready",
    "no_backend",        "backend_error",  "answer_lost",
    "answer_malformed",  "answer_crossed", "caller_left",
    "key_taken",         "key_reused",     "store_unavailable",
    "unknown_route",     "unknown_key",    "ambiguous",
    "quarantined",       "rate_limited",   "unknown_software",
    "software_gone",     "servers_paused", "no_memory"};

}  // namespace

std::string_view ToString(EndCause cause) {
  return kCauseNames.at(static_cast<std::size_t>(cause));
}

std::optional<EndCause> EndCauseOf(std::string_view word) {
  const auto* found = std::find(kCauseNames.begin(), kCauseNames.end(), word);
  if (found == kCauseNames.end()) {
    return std::nullopt;
  }
  return static_cast<EndCause>(found - kCauseNames.begin());
}

}  // namespace rosemarycove
