#include "core/backend_state.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// Own running counts are kept this long, to correct late reports.
constexpr Duration kHistory = std::chrono::seconds(10);
constexpr std::size_t kMaxHistory = 4096;
// Weight of a new period in the moving average of the speed.
constexpr double kSpeedWeight = 0.2;
constexpr int kTrialStreams = 2;
constexpr Duration kFirstEjection = std::chrono::seconds(2);
constexpr int kMaxDoublings = 4;

}  // namespace

BackendState::BackendState(Backend backend) : definition(std::move(backend)) {}

int BackendState::EstimatedRunning() const { return this->own + this->others; }

double BackendState::TokenTime(int batch) const {
  const double declared =
      ToSeconds(this->definition.token_time_base) +
      batch * ToSeconds(this->definition.token_time_per_stream);
  return declared * this->slowness_now;
}

bool BackendState::HasCapacity() const {
  if (this->definition.leaving || this->health_now == Health::kEjected) {
    return false;
  }
  if (this->health_now == Health::kTrial && this->own >= kTrialStreams) {
    return false;
  }
  return this->EstimatedRunning() < this->definition.max_streams;
}

void BackendState::AddRunning(TimePoint now) {
  ++this->own;
  this->RecordOwn(now);
}

void BackendState::RemoveRunning(TimePoint now) {
  --this->own;
  this->RecordOwn(now);
}

void BackendState::RecordOwn(TimePoint now) {
  this->own_history.emplace_back(now, this->own);
  while (this->own_history.size() > kMaxHistory ||
         this->own_history.front().first + kHistory < now) {
    this->own_history.pop_front();
  }
}

int BackendState::OwnRunningAt(TimePoint time) const {
  const auto after = std::upper_bound(
      this->own_history.begin(), this->own_history.end(), time,
      [](TimePoint value, const auto& entry) { return value < entry.first; });
  if (after != this->own_history.begin()) {
    return std::prev(after)->second;
  }
  return this->own_history.empty() ? this->own : 0;
}

void BackendState::ApplyLoadReport(TimePoint taken_at, int running) {
  if (taken_at <= this->last_report) {
    return;
  }
  this->last_report = taken_at;
  this->others = std::max(0, running - this->OwnRunningAt(taken_at));
}

void BackendState::ObserveTokens(int tokens, double seconds) {
  this->observed_seconds += seconds;
  this->expected_seconds +=
      tokens * this->TokenTime(this->EstimatedRunning()) / this->slowness_now;
}

void BackendState::UpdateSlowness() {
  if (this->expected_seconds <= 0) {
    return;
  }
  const double ratio = this->observed_seconds / this->expected_seconds;
  ++this->samples;
  const double weight = std::max(kSpeedWeight, 1.0 / this->samples);
  this->slowness_now += weight * (ratio - this->slowness_now);
  this->observed_seconds = 0;
  this->expected_seconds = 0;
}

void BackendState::ObserveFailure(TimePoint now) { this->Eject(now); }

void BackendState::ObserveSuccess() {
  if (this->health_now == Health::kTrial) {
    this->health_now = Health::kHealthy;
    this->ejections = 0;
  }
}

void BackendState::Eject(TimePoint now) {
  if (this->health_now == Health::kEjected) {
    // A request sent before the ejection failed only now.
    this->returns = std::max(this->returns, now + kFirstEjection);
    return;
  }
  this->health_now = Health::kEjected;
  const int doublings = std::min(this->ejections, kMaxDoublings);
  this->returns = now + kFirstEjection * (1 << doublings);
  ++this->ejections;
  this->others = 0;
}

void BackendState::StartTrial() {
  this->health_now = Health::kTrial;
  this->slowness_now = std::min(this->slowness_now, 1.0);
  this->samples = 0;
}

}  // namespace rosemarycove
