// What one instance knows of one backend server.
#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "core/resources.h"
#include "core/types.h"

namespace rosemarycove {

// Whether a backend server is given work.
enum class Health : std::uint8_t {
  kHealthy,
  kEjected,  // Given nothing until its return time.
  kTrial,    // Given a few requests to see whether it has recovered.
};

// Tracks a backend server's load, speed and health.
//
// Load reports describe the past: the requests that this instance started
// after a report was taken are added to what the report says.
class BackendState {
 public:
  explicit BackendState(Backend backend);

  [[nodiscard]] const Backend& backend() const { return this->definition; }
  [[nodiscard]] Health health() const { return this->health_now; }
  [[nodiscard]] int own_running() const { return this->own; }
  // Observed token time over the declared one; 1 is as declared.
  [[nodiscard]] double slowness() const { return this->slowness_now; }
  // Periods with observed tokens since it was last let in.
  [[nodiscard]] int speed_samples() const { return this->samples; }
  // When an ejected backend server may be tried again.
  [[nodiscard]] TimePoint ejected_until() const { return this->returns; }
  // Own requests and, by the last report, those of others.
  [[nodiscard]] int EstimatedRunning() const;
  // Seconds between tokens when `batch` requests run.
  [[nodiscard]] double TokenTime(int batch) const;
  // Whether a request more is allowed, leaving token times aside.
  [[nodiscard]] bool HasCapacity() const;

  // Replaces the declared values and keeps what was learned.
  void UpdateDefinition(Backend backend) {
    this->definition = std::move(backend);
  }
  // Counts a request that this instance sends or that ends.
  void AddRunning(TimePoint now);
  void RemoveRunning(TimePoint now);
  // Takes a report of `running` requests as they were at `taken_at`. Reports
  // older than the last one are ignored.
  void ApplyLoadReport(TimePoint taken_at, int running);
  // Takes the seconds that a stream's next tokens took together.
  void ObserveTokens(int tokens, double seconds);
  // Learns from what was observed since the last call; called at a steady
  // period, so that busy servers are not judged by shorter spans.
  void UpdateSlowness();
  // Takes a crash, a refused connection or a broken answer.
  void ObserveFailure(TimePoint now);
  // Takes a whole answer; ends a trial when the speed is normal too.
  void ObserveSuccess();
  // Ejects it for a time that doubles with each ejection in a row.
  void Eject(TimePoint now);
  // Lets an ejected backend server take a few requests.
  void StartTrial();

 private:
  [[nodiscard]] int OwnRunningAt(TimePoint time) const;
  void RecordOwn(TimePoint now);

  Backend definition;
  Health health_now = Health::kHealthy;
  int own = 0;
  int others = 0;
  TimePoint last_report;
  std::deque<std::pair<TimePoint, int>> own_history;
  double slowness_now = 1;
  double observed_seconds = 0;
  double expected_seconds = 0;
  int samples = 0;
  int ejections = 0;
  TimePoint returns;
};

}  // namespace rosemarycove
