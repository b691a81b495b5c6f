#include "core/backend_state.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// The history of this instance's running requests is kept for this time, to
// compare it with load reports that arrive late.
constexpr Duration kHistoryPeriod = std::chrono::seconds(10);
constexpr std::size_t kMaxHistoryEntries = 4096;
// Weight of a new period in the moving average of the slowness.
constexpr double kSpeedWeight = 0.2;
// Maximum number of concurrent requests to a server on trial.
constexpr int kMaxTrialRequests = 2;
constexpr Duration kInitialEjectionTime = std::chrono::seconds(2);
constexpr int kMaxEjectionDoublings = 4;

}  // namespace

BackendState::BackendState(Backend backend) : definition(std::move(backend)) {}

int BackendState::EstimatedRunning() const {
  return this->own_count + this->others_count;
}

double BackendState::TokenTime(int batch) const {
  const double declared =
      ToSeconds(this->definition.token_time_base) +
      batch * ToSeconds(this->definition.token_time_per_stream);
  return declared * this->current_slowness;
}

bool BackendState::HasCapacity() const {
  if (this->definition.is_draining ||
      this->current_health == BackendHealth::kEjected) {
    return false;
  }
  if (this->current_health == BackendHealth::kTrial &&
      this->own_count >= kMaxTrialRequests) {
    return false;
  }
  return this->EstimatedRunning() < this->definition.max_streams;
}

void BackendState::AddRunning(TimePoint now) {
  ++this->own_count;
  this->RecordOwnCount(now);
}

void BackendState::RemoveRunning(TimePoint now) {
  --this->own_count;
  this->RecordOwnCount(now);
}

void BackendState::RecordOwnCount(TimePoint now) {
  this->own_count_history.emplace_back(now, this->own_count);
  while (this->own_count_history.size() > kMaxHistoryEntries ||
         this->own_count_history.front().first + kHistoryPeriod < now) {
    this->own_count_history.pop_front();
  }
}

int BackendState::OwnRunningAt(TimePoint time) const {
  const auto after = std::upper_bound(
      this->own_count_history.begin(), this->own_count_history.end(), time,
      [](TimePoint value, const auto& entry) { return value < entry.first; });
  if (after != this->own_count_history.begin()) {
    return std::prev(after)->second;
  }
  return this->own_count_history.empty() ? this->own_count : 0;
}

void BackendState::ApplyLoadReport(TimePoint taken_at, int running) {
  if (taken_at <= this->last_report_time) {
    return;
  }
  this->last_report_time = taken_at;
  this->others_count = std::max(0, running - this->OwnRunningAt(taken_at));
}

void BackendState::ObserveTokens(int tokens, double seconds) {
  this->observed_seconds += seconds;
  this->expected_seconds += tokens * this->TokenTime(this->EstimatedRunning()) /
                            this->current_slowness;
}

void BackendState::UpdateSlowness() {
  if (this->expected_seconds <= 0) {
    return;
  }
  const double ratio = this->observed_seconds / this->expected_seconds;
  ++this->speed_sample_count;
  const double weight = std::max(kSpeedWeight, 1.0 / this->speed_sample_count);
  this->current_slowness += weight * (ratio - this->current_slowness);
  this->observed_seconds = 0;
  this->expected_seconds = 0;
}

void BackendState::ObserveFailure(TimePoint now) { this->Eject(now); }

void BackendState::ObserveSuccess() {
  if (this->current_health == BackendHealth::kTrial) {
    this->current_health = BackendHealth::kHealthy;
    this->consecutive_ejections = 0;
  }
}

void BackendState::Eject(TimePoint now) {
  if (this->current_health == BackendHealth::kEjected) {
    // A request that was sent before the ejection failed.
    this->ejection_end =
        std::max(this->ejection_end, now + kInitialEjectionTime);
    return;
  }
  this->current_health = BackendHealth::kEjected;
  const int doublings =
      std::min(this->consecutive_ejections, kMaxEjectionDoublings);
  this->ejection_end = now + kInitialEjectionTime * (1 << doublings);
  ++this->consecutive_ejections;
  this->others_count = 0;
}

void BackendState::StartTrial() {
  this->current_health = BackendHealth::kTrial;
  this->current_slowness = std::min(this->current_slowness, 1.0);
  this->speed_sample_count = 0;
}

}  // namespace rosemarycove
