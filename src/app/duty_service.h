// Holds the duties of the fleet towards the platform while this instance is the
// one that has them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "app/event_log.h"
#include "core/duty_grant.h"
#include "core/duty_lease.h"
#include "store/lease_store.h"

namespace rosemarycove {

// Runs a DutyLease against the store, tells the tasks whether this instance is
// the holder, and ticks them. Used on the event loop.
class DutyService : public DutyTenure {
 public:
  // Returns the time; MonotonicNow but for tests.
  using Clock = std::function<TimePoint()>;

  // `store` is used for the lease only; the tasks have their own. It must not
  // call back after the service is gone.
  DutyService(DutyLeaseOptions options, std::uint64_t random_seed,
              LeaseStore& store, EventLog& log, const Clock& clock);

  // Adds a task, which must outlive the service. Any number may be added.
  void AddTask(DutyTask& task) { this->tasks.push_back(&task); }
  // Sets the other instances that may hold the duty: those that report, are not
  // draining and run a release that can.
  void SetPeers(std::vector<std::string> instances);
  // Another instance reports that it holds the duty with this token, or does
  // not (0), and renewed its lease this long ago.
  void OnHolderReport(const std::string& instance, std::uint64_t token,
                      Duration lease_age, TimePoint now);
  // Another client of the store has seen this era.
  void NoteEra(std::uint64_t era, TimePoint now);
  // Advances the lease, then the tasks.
  void Tick(TimePoint now);
  // Starts a planned stop: claims no more, and hands the duty over as soon as
  // all tasks are idle, or after a few seconds: tasks can't be idle while the
  // platform doesn't respond.
  void StartStop(TimePoint now);
  // Returns whether a planned stop has nothing left to do.
  [[nodiscard]] bool IsStopped(TimePoint now) const;
  // Gives the duty up, so that another instance may try what this one can't.
  void HandOver(TimePoint now);

  [[nodiscard]] std::optional<DutyGrant> Grant(TimePoint now) const override;
  void OnFenced(std::uint64_t token, TimePoint now) override;

  // Returns whether the other instance is the holder, or one of the candidates
  // that are the first to claim. They get what a holder needs to know.
  [[nodiscard]] bool IsHolderOrCandidate(const std::string& instance,
                                         TimePoint now) const;
  // Returns whether this instance is the holder, a candidate, or was the holder
  // just before. Their reports tell all instances about the duties.
  [[nodiscard]] bool TellsAll(TimePoint now) const;
  // The token while this instance holds the duty, 0 otherwise.
  [[nodiscard]] std::uint64_t token(TimePoint now) const {
    return this->lease.token(now);
  }
  // See DutyLease.
  [[nodiscard]] Duration LeaseAge(TimePoint now) const {
    return this->lease.LeaseAge(now);
  }
  // When another instance last reported that it is the holder; TimePoint{} if
  // none has.
  [[nodiscard]] TimePoint holder_heard_at() const { return this->heard_at; }
  [[nodiscard]] bool IsHolder(TimePoint now) const {
    return this->lease.IsHolder(now);
  }
  // The metrics, in the Prometheus text format.
  [[nodiscard]] std::string MetricsText(TimePoint now) const;

 private:
  void RunLease(TimePoint now);
  void SendStep(DutyStep step);
  void OnStepFailed(const LeaseStoreError& error, TimePoint now);
  void LogChanges();

  DutyLeaseOptions options;
  LeaseStore& store;
  EventLog& log;
  Clock clock;
  DutyLease lease;
  std::vector<DutyTask*> tasks;
  // The instances that claim first, in order; this one may be among them.
  std::vector<std::string> candidates;
  std::string holder;
  std::uint64_t holder_token = 0;
  TimePoint heard_at;
  // When this instance was the holder last.
  TimePoint held_at;
  // When a planned stop started.
  std::optional<TimePoint> stop_started_at;
  // The last call of the lease failed; later failures are not logged again.
  bool failure_logged = false;
  std::uint64_t takings = 0;
  std::uint64_t refused_claims = 0;
  std::map<std::string, std::uint64_t> losses_by_reason;
  std::map<std::string, std::uint64_t> calls_by_step;
};

}  // namespace rosemarycove
