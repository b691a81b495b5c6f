#include "core/configuration_freshness.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// The age at which the first instance reads the store itself.
constexpr Duration kMaxAge = std::chrono::milliseconds(3000);
// Added for each rank, so that the read of one instance and its report spare
// the others theirs.
constexpr Duration kRankDelay = std::chrono::milliseconds(150);
constexpr int kSpacedRanks = 3;
constexpr Duration kLaterRankDelay = std::chrono::milliseconds(10);
constexpr int kMaxLaterRanks = 60;

}  // namespace

void ConfigurationFreshness::RecordRead(TimePoint started_at, bool is_usable) {
  this->read_at = std::max(this->read_at, started_at);
  if (is_usable) {
    this->current_at =
        std::max(this->current_at.value_or(started_at), started_at);
  }
}

void ConfigurationFreshness::RecordReport(const PeerConfiguration& peer,
                                          std::uint64_t version,
                                          TimePoint now) {
  if (!peer.age || peer.version > version) {
    return;
  }
  const TimePoint known_at = now - *peer.age;
  this->current_at = std::max(this->current_at.value_or(known_at), known_at);
}

std::optional<Duration> ConfigurationFreshness::Age(TimePoint now) const {
  if (!this->current_at) {
    return std::nullopt;
  }
  return std::max(Duration{}, now - *this->current_at);
}

bool ConfigurationFreshness::MustRead(int rank, TimePoint now) const {
  const Duration delay =
      kRankDelay * std::min(rank, kSpacedRanks) +
      kLaterRankDelay * std::clamp(rank - kSpacedRanks, 0, kMaxLaterRanks);
  const TimePoint known_at =
      std::max(this->current_at.value_or(this->read_at), this->read_at);
  return now - known_at > kMaxAge + delay;
}

}  // namespace rosemarycove
