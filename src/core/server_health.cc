#include "core/server_health.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// Consecutive failures that eject a server. A single one may be by chance, as a
// server closes idle connections without notice.
constexpr int kFailuresToEject = 2;
// Each ejection is twice as long as the previous one, up to the maximum.
constexpr Duration kFirstEjection = std::chrono::milliseconds(500);
constexpr Duration kMaxEjection = std::chrono::seconds(4);
constexpr int kMaxDoublings = 3;
// Time between two trial requests, for the response to the first to arrive.
constexpr Duration kTrialInterval = std::chrono::milliseconds(300);
// Earlier ejections no longer count after this time without a failure.
constexpr Duration kEjectionMemory = std::chrono::seconds(10);
// Weight of one result in the error rate.
constexpr double kErrorRateStep = 0.1;
// Minimum number of results before the error rate is used.
constexpr int kMinResults = 6;
// A server is ejected when its error rate exceeds the mean of the others by
// this.
constexpr double kMaxErrorExcess = 0.3;

}  // namespace

std::string_view ToString(SendResult result) {
  switch (result) {
    case SendResult::kAnswered:
      return "answered";
    case SendResult::kError:
      return "error";
    case SendResult::kFull:
      return "full";
    case SendResult::kUnreachable:
      return "unreachable";
    case SendResult::kMalformed:
      return "malformed";
    case SendResult::kSilent:
      return "silent";
  }
  return "unknown";
}

double ServerHealth::MeanErrorRateOfOthers(const std::string& server) const {
  double sum = 0;
  int count = 0;
  for (const auto& [name, state] : this->states) {
    if (name != server && state.result_count >= kMinResults) {
      sum += state.error_rate;
      ++count;
    }
  }
  return count == 0 ? 0 : sum / count;
}

void ServerHealth::Eject(State& state, TimePoint now) {
  const int doublings = std::min(state.ejection_count, kMaxDoublings);
  const Duration length =
      std::min(kFirstEjection * (1 << doublings), kMaxEjection);
  state.ejected_until = now + length;
  state.is_suspect = true;
  ++state.ejection_count;
}

bool ServerHealth::RecordResult(const std::string& server, SendResult result,
                                TimePoint now) {
  State& state = this->states[server];
  const bool failed =
      result != SendResult::kAnswered && result != SendResult::kFull;
  state.error_rate += kErrorRateStep * ((failed ? 1 : 0) - state.error_rate);
  ++state.result_count;
  if (!failed) {
    state.consecutive_failures = 0;
    if (result == SendResult::kAnswered) {
      state.is_suspect = false;
      if (now - state.last_failure_at > kEjectionMemory) {
        state.ejection_count = 0;
      }
    }
    return false;
  }
  state.last_failure_at = now;
  const bool counts_as_consecutive = result != SendResult::kError;
  if (counts_as_consecutive) {
    ++state.consecutive_failures;
  }
  const bool was_ejected = now < state.ejected_until;
  const bool fails_repeatedly =
      state.consecutive_failures >= kFailuresToEject ||
      (counts_as_consecutive && state.is_suspect);
  const bool fails_often =
      state.result_count >= kMinResults &&
      state.error_rate > this->MeanErrorRateOfOthers(server) + kMaxErrorExcess;
  if (was_ejected || (!fails_repeatedly && !fails_often)) {
    return false;
  }
  this->Eject(state, now);
  return true;
}

ServerHealthStatus ServerHealth::StatusOf(const std::string& server,
                                          TimePoint now) const {
  const auto found = this->states.find(server);
  if (found == this->states.end() || !found->second.is_suspect) {
    return ServerHealthStatus::kHealthy;
  }
  const State& state = found->second;
  if (now < state.ejected_until || now - state.last_trial_at < kTrialInterval) {
    return ServerHealthStatus::kEjected;
  }
  return ServerHealthStatus::kTrial;
}

void ServerHealth::RecordTrial(const std::string& server, TimePoint now) {
  this->states[server].last_trial_at = now;
}

void ServerHealth::Forget(const std::string& server) {
  this->states.erase(server);
}

TimePoint ServerHealth::EjectedUntil(const std::string& server) const {
  const auto found = this->states.find(server);
  return found == this->states.end() ? TimePoint{}
                                     : found->second.ejected_until;
}

}  // namespace rosemarycove
