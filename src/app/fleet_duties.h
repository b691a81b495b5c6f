// The duties of the fleet towards the platform, as a gateway takes part in
// them.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/duty_service.h"
#include "app/event_log.h"
#include "app/paced_duty_calls.h"
#include "app/usage_reporter.h"
#include "core/duty_options.h"
#include "core/fleet_report.h"
#include "net/fleet_links.h"
#include "store/duty_calls.h"
#include "store/lease_store.h"

namespace rosemarycove {

// The longest time that a call to the platform API takes, for this lease. The
// holder renews after a third of the lease, so most of the time remains.
Duration DutyCallTimeout(Duration lease);
// The same of a call to the store for the lease itself: a renewal without a
// response can be repeated before the lease ends.
Duration LeaseCallTimeout(Duration lease);

// The platform-specific components; they must outlive the duties.
struct DutyParts {
  DutyOptions options;
  // For the lease only.
  LeaseStore& lease_store;
  // For all tasks; whoever finds it busy tries again at the next tick.
  LeaseStore& task_store;
  DutyCalls& calls;
};

// Owns the service that holds the duties and the reporter of usage, and
// connects them with the reports between instances. Used on the event loop.
class FleetDuties {
 public:
  FleetDuties(const std::string& instance, const DutyParts& parts,
              EventLog& log);

  // For further tasks, which must outlive the duties.
  void AddTask(DutyTask& task) { this->service.AddTask(task); }
  [[nodiscard]] LeaseStore& task_store() { return this->parts.task_store; }
  [[nodiscard]] DutyCalls& calls() { return this->paced_calls; }

  // Counts a request that began to run at a server.
  void CountRequest(const std::string& customer);
  // Returns whether the peer is the holder or one of the first candidates,
  // which get what a holder needs to know.
  [[nodiscard]] bool NeedsHolderData(const FleetPeer& peer,
                                     TimePoint now) const;
  // Adds what this peer is told about the duties: all are told by the holder
  // and the candidates, and by each other instance in its first report on a
  // connection; the holder and the candidates are told by all.
  void CompleteReport(const FleetPeer& peer, FleetReport& report,
                      TimePoint now);
  void OnReport(const FleetPeer& peer, const FleetReport& report,
                TimePoint now);
  void OnPeerStatusChange(const FleetPeer& peer, PeerStatus status);
  // `era` is the highest that other clients of the store have seen.
  void Tick(const FleetLinks& links, std::uint64_t era, TimePoint now);
  // Starts a planned stop.
  void StartStop(TimePoint now);
  // Returns whether the duty is handed over and all counts are told.
  [[nodiscard]] bool IsStopped(TimePoint now) const;
  [[nodiscard]] std::string MetricsText(TimePoint now) const;

 private:
  [[nodiscard]] DutyState MakeState(TimePoint now);
  void NoteEra(std::uint64_t era, TimePoint now);

  DutyParts parts;
  // A random number that tells this process from its predecessor.
  std::uint64_t process;
  PacedDutyCalls paced_calls;
  DutyService service;
  // Null if no usage is reported.
  std::unique_ptr<UsageReporter> usage;
  // The process numbers of the peers whose release has duties.
  std::map<std::string, std::uint64_t> capable_peers;
  TimePoint peers_updated_at;
  // Until then, a fleet that starts has no holder.
  TimePoint first_term_at;
  std::uint64_t known_era = 0;
};

}  // namespace rosemarycove
