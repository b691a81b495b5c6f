#include "core/relay_throttle.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// No instance relays before this time has passed; most receivers read the store
// themselves within a fraction of a second.
constexpr Duration kInitialDelay = std::chrono::milliseconds(250);
// Two, since one of them may be unable to reach the receiver.
constexpr int kInitialSenders = 2;
// The number of senders doubles each time this passes, which is long enough for
// a few reports.
constexpr Duration kDoublingTime = std::chrono::milliseconds(600);
constexpr int kMaxDoublings = 8;
// Above this number, all receivers are dropped, so that those that are gone do
// not accumulate.
constexpr std::size_t kMaxReceivers = 2000;

}  // namespace

bool RelayThrottle::MaySend(const std::string& receiver, std::uint64_t revision,
                            int rank, TimePoint now) {
  if (this->lags.size() > kMaxReceivers) {
    this->lags.clear();
  }
  Lag& known =
      this->lags.try_emplace(receiver, Lag{.revision = revision, .since = now})
          .first->second;
  if (revision != known.revision) {
    known = {.revision = revision, .since = now};
  }
  const Duration lag = now - known.since - kInitialDelay;
  if (lag < Duration{}) {
    return false;
  }
  const auto doublings =
      std::min<std::int64_t>(lag / kDoublingTime, kMaxDoublings);
  return rank < kInitialSenders << doublings;
}

}  // namespace rosemarycove
