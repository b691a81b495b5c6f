// Load, speed and health of one backend server as one instance estimates them.
// Used by Scheduler; the proxy (src/proxy) uses LoadLedger and ServerHealth.
#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "core/resources.h"
#include "core/types.h"

namespace rosemarycove {

// Health of a backend server, as in a circuit breaker.
enum class BackendHealth : std::uint8_t {
  kHealthy,
  kEjected,  // Gets no requests until the ejection ends.
  // Gets a limited number of requests at a time, to test whether it recovered.
  kTrial,
};

// Tracks a backend server's load, speed and health. Owned by a Scheduler.
//
// Load reports arrive late. A report is therefore compared with the number of
// this instance's own requests at the time when it was taken; the difference is
// the load of other instances.
class BackendState {
 public:
  explicit BackendState(Backend backend);

  [[nodiscard]] const Backend& backend() const { return this->definition; }
  [[nodiscard]] BackendHealth health() const { return this->current_health; }
  [[nodiscard]] int own_running() const { return this->own_count; }
  // Ratio of the observed token time to the declared one.
  [[nodiscard]] double slowness() const { return this->current_slowness; }
  // Number of calls of UpdateSlowness with observed tokens, since the last
  // trial started or the server was added.
  [[nodiscard]] int speed_samples() const { return this->speed_sample_count; }
  // End of the current or last ejection.
  [[nodiscard]] TimePoint ejected_until() const { return this->ejection_end; }
  // Returns the number of this instance's running requests, plus those of other
  // instances according to the last load report.
  [[nodiscard]] int EstimatedRunning() const;
  // Returns the expected seconds between tokens with `batch` running requests.
  [[nodiscard]] double TokenTime(int batch) const;
  // Returns whether the server may get another request, regardless of token
  // time limits.
  [[nodiscard]] bool HasCapacity() const;

  // Replaces the declared values and keeps the measured state.
  void UpdateDefinition(Backend backend) {
    this->definition = std::move(backend);
  }
  // Counts the start or the end of a request of this instance.
  void AddRunning(TimePoint now);
  void RemoveRunning(TimePoint now);
  // Applies a report of `running` requests at the time `taken_at`. Reports that
  // are not newer than the last one are ignored.
  void ApplyLoadReport(TimePoint taken_at, int running);
  // Records that `tokens` tokens of one stream took `seconds` in total.
  void ObserveTokens(int tokens, double seconds);
  // Updates the slowness from the tokens observed since the last call. The
  // Scheduler calls it at a fixed period, so that busy and idle servers are
  // measured over equal spans.
  void UpdateSlowness();
  // Ejects the server after a failed attempt: a lost or refused connection, a
  // malformed response or the response to another request.
  void ObserveFailure(TimePoint now);
  // Ends a trial, if there is one. Called after a complete response without
  // tokens, or when the measured speed is normal.
  void ObserveSuccess();
  // Ejects the server for a time that doubles with each consecutive ejection,
  // up to a maximum. Extends an ejection that has not ended.
  void Eject(TimePoint now);
  // Ends an ejection and allows a limited number of requests.
  void StartTrial();

 private:
  [[nodiscard]] int OwnRunningAt(TimePoint time) const;
  void RecordOwnCount(TimePoint now);

  Backend definition;
  BackendHealth current_health = BackendHealth::kHealthy;
  // Running requests of this instance, and of the others.
  int own_count = 0;
  int others_count = 0;
  TimePoint last_report_time;
  // Each change of `own_count`, with the value after it.
  std::deque<std::pair<TimePoint, int>> own_count_history;
  double current_slowness = 1;
  // Since the last UpdateSlowness: the time that the observed tokens took, and
  // the declared time for them.
  double observed_seconds = 0;
  double expected_seconds = 0;
  int speed_sample_count = 0;
  int consecutive_ejections = 0;
  TimePoint ejection_end;
};

}  // namespace rosemarycove
