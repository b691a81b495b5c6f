#include "core/fleet_retry_budget.h"

#include <algorithm>
#include <numeric>

namespace rosemarycove {
namespace {

// Share of the budget that is withheld, because the window's start is only
// exact to a slice and because the others do not count a new instance
// immediately.
constexpr double kSafetyMargin = 0.2;

}  // namespace

void FleetRetryBudget::set_instance_count(int count) {
  this->instance_count = std::max(1, count);
}

FleetRetryBudget::Tally& FleetRetryBudget::Advance(const std::string& service,
                                                   TimePoint now) {
  Tally& tally = this->tallies[service];
  const std::int64_t slice =
      now.time_since_epoch() / (this->bounds.window / kSlices);
  const std::int64_t passed =
      std::min<std::int64_t>(slice - tally.slice, kSlices);
  for (std::int64_t i = 1; i <= passed; ++i) {
    const auto index = static_cast<std::size_t>((slice - passed + i) % kSlices);
    tally.requests[index] = 0;
    tally.retries[index] = 0;
  }
  tally.slice = std::max(tally.slice, slice);
  return tally;
}

void FleetRetryBudget::RecordRequest(const std::string& service,
                                     TimePoint now) {
  Tally& tally = this->Advance(service, now);
  ++tally.requests[static_cast<std::size_t>(tally.slice % kSlices)];
}

bool FleetRetryBudget::TrySpend(const std::string& service, TimePoint now) {
  Tally& tally = this->Advance(service, now);
  const int requests =
      std::accumulate(tally.requests.begin(), tally.requests.end(), 0);
  const int retries =
      std::accumulate(tally.retries.begin(), tally.retries.end(), 0);
  const double allowed =
      (1 - kSafetyMargin) * (this->bounds.ratio * requests +
                             this->bounds.slack / this->instance_count);
  if (retries + 1 > allowed) {
    return false;
  }
  ++tally.retries[static_cast<std::size_t>(tally.slice % kSlices)];
  return true;
}

}  // namespace rosemarycove
