#include "core/relay_throttle.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// Most instances read the store themselves within a fraction of a second.
constexpr Duration kHeadStart = std::chrono::milliseconds(250);
// Two, since one may be cut off from the receiver.
constexpr int kFirstSenders = 2;
// Twice as many may send after each of these: a few reports.
constexpr Duration kStep = std::chrono::milliseconds(600);
constexpr int kMostSteps = 8;
// Receivers that went are dropped when there are this many.
constexpr std::size_t kMostReceivers = 2000;

}  // namespace

bool RelayThrottle::MaySend(const std::string& receiver, int place,
                            TimePoint now) {
  if (this->lacking_since.size() > kMostReceivers) {
    this->lacking_since.clear();
  }
  const TimePoint since =
      this->lacking_since.try_emplace(receiver, now).first->second;
  const Duration lacking = now - since - kHeadStart;
  if (lacking < Duration{}) {
    return false;
  }
  const auto steps = std::min<std::int64_t>(lacking / kStep, kMostSteps);
  return place < kFirstSenders << steps;
}

}  // namespace rosemarycove
