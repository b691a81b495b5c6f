#include "core/server_health.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// Lost connections in a row that eject a server: one may be chance, as a
// server closes idle connections without notice.
constexpr int kLossesToEject = 2;
constexpr Duration kFirstEjection = std::chrono::milliseconds(500);
constexpr Duration kLongestEjection = std::chrono::seconds(4);
// Between two trial requests, and how long a trial is waited for.
constexpr Duration kTrialPause = std::chrono::milliseconds(300);
// Ejections are forgotten once a server answers for this long.
constexpr Duration kForgetAfter = std::chrono::seconds(10);
// Weight of one end in the error rate.
constexpr double kRateStep = 0.1;
// Ends that have to be seen before the error rate counts.
constexpr int kLeastSamples = 6;
// Ejects a server whose error rate exceeds the others' by this.
constexpr double kErrorExcess = 0.3;

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

double ServerHealth::UsualErrorRate(const std::string& server) const {
  double sum = 0;
  int count = 0;
  for (const auto& [name, state] : this->states) {
    if (name != server && state.samples >= kLeastSamples) {
      sum += state.error_rate;
      ++count;
    }
  }
  return count == 0 ? 0 : sum / count;
}

void ServerHealth::Eject(State& state, TimePoint now) {
  const int doublings = std::min(state.ejections, 3);
  const Duration length =
      std::min(kFirstEjection * (1 << doublings), kLongestEjection);
  state.ejected_until = now + length;
  state.suspect = true;
  ++state.ejections;
}

bool ServerHealth::RecordResult(const std::string& server, SendResult result,
                                TimePoint now) {
  State& state = this->states[server];
  const bool failed =
      result != SendResult::kAnswered && result != SendResult::kFull;
  state.error_rate += kRateStep * ((failed ? 1 : 0) - state.error_rate);
  ++state.samples;
  if (!failed) {
    state.failures_in_row = 0;
    if (result == SendResult::kAnswered) {
      state.suspect = false;
      if (now - state.last_failure > kForgetAfter) {
        state.ejections = 0;
      }
    }
    return false;
  }
  state.last_failure = now;
  const bool path_failed = result != SendResult::kError;
  if (path_failed) {
    ++state.failures_in_row;
  }
  const bool was_ejected = now < state.ejected_until;
  const bool by_row =
      state.failures_in_row >= kLossesToEject || (path_failed && state.suspect);
  const bool by_rate =
      state.samples >= kLeastSamples &&
      state.error_rate > this->UsualErrorRate(server) + kErrorExcess;
  if (was_ejected || (!by_row && !by_rate)) {
    return false;
  }
  this->Eject(state, now);
  return true;
}

ServerHealthStatus ServerHealth::StatusOf(const std::string& server,
                                          TimePoint now) const {
  const auto found = this->states.find(server);
  if (found == this->states.end() || !found->second.suspect) {
    return ServerHealthStatus::kHealthy;
  }
  const State& state = found->second;
  if (now < state.ejected_until || now - state.trial_at < kTrialPause) {
    return ServerHealthStatus::kEjected;
  }
  return ServerHealthStatus::kTrial;
}

void ServerHealth::RecordTrial(const std::string& server, TimePoint now) {
  this->states[server].trial_at = now;
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
