// Counts the requests of this instance and, while it is the holder, reports the
// usage of the fleet to the platform.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "app/event_log.h"
#include "core/duty_grant.h"
#include "core/fleet_clock.h"
#include "core/usage_ledger.h"
#include "core/usage_windows.h"
#include "store/duty_calls.h"
#include "store/lease_store.h"

namespace rosemarycove {

struct UsageReporterOptions {
  std::string instance;
  std::uint64_t process = 0;
  UsageWindowsOptions windows;
};

// The reporter's components; all must outlive it.
struct UsageReporterParts {
  // Shared with other tasks. The owner ticks both.
  LeaseStore& store;
  DutyCalls& calls;
  EventLog& log;
  // Reads the wall clock: the time since the start of 1970.
  std::function<Duration()> read_wall_clock;
  // See DutyService::Clock.
  std::function<TimePoint()> read_clock;
  // Called when this instance can't report, so that another one may try.
  std::function<void(TimePoint)> hand_over;
};

// Before a window is reported, its counts are written to the store, under a key
// that must not exist yet and while this instance's claim stands. What that
// record says is what every holder sends, so that two holders never send
// different reports for one window. Used on the event loop.
class UsageReporter : public DutyTask {
 public:
  UsageReporter(UsageReporterOptions options, UsageReporterParts parts);

  // Counts a request that began to run at a server.
  void Count(const std::string& customer);
  // Returns the part of a report that is the same for all receivers, without
  // the token.
  [[nodiscard]] DutyState MakeState();
  // Returns the own counts that the holder or candidate at this address was not
  // told yet.
  [[nodiscard]] UsageUpdate MakeUpdate(const std::string& address);
  // The receiver at this address may be a new process, or may have lost
  // reports.
  void ForgetReceiver(const std::string& address) { this->told.erase(address); }
  // A process of another instance that counts usage has sent a report.
  void OnPeerHeard(const std::string& instance, std::uint64_t process_number,
                   TimePoint now) {
    this->windows.OnPeer(instance, process_number, now);
  }
  void OnPeerState(const std::string& instance, const DutyState& state,
                   TimePoint now);
  void OnPeerGone(const std::string& instance, const std::string& address);
  // The store has come back from a copy, or did so before this instance first
  // saw it.
  void OnStoreRestored();
  // Sets when the holder was heard last, TimePoint{} if never.
  void set_holder_heard_at(TimePoint time) { this->holder_heard_at = time; }

  void Tick(DutyTenure& tenure, TimePoint now) override;
  [[nodiscard]] bool is_idle() const override;
  // Returns whether some receiver was told all own counts, or there is none.
  [[nodiscard]] bool HasToldCounts() const;
  // The metrics, in the Prometheus text format.
  [[nodiscard]] std::string MetricsText() const;

 private:
  enum class Step : std::uint8_t {
    kOpen,        // Not closed yet.
    kCollecting,  // Counts of silent instances are read from the store.
    kRecording,   // Its counts are fixed; the record is to be written or read.
    kRecorded,    // What the record says is to be sent.
    kDone         // Reported, or missed.
  };

  // A window that is not reported yet.
  struct Pending {
    std::int64_t window = 0;
    Step step = Step::kOpen;
    UsageReport report;
    // The record may exist: it is read before it is written (again).
    bool reads_record = false;
    // Instances whose counts are not complete, and those of them whose counts
    // may be in the store and are not read yet.
    std::vector<std::string> lacking;
    std::vector<std::string> unread;
    // Keys of counts that were read.
    std::vector<std::string> obsolete_keys;
    bool is_overdue = false;
  };

  // Starts a term as the holder, which knows nothing of former terms.
  void StartTerm(const DutyGrant& grant, Duration wall);
  // Makes the store's call that is due, if any.
  void Record(DutyTenure& tenure, const DutyGrant& grant, TimePoint now,
              Duration wall);
  void Close(Pending& pending);
  void ReadCounts(Pending& pending);
  void ReadRecord(std::int64_t window);
  void WriteRecord(DutyTenure& tenure, const DutyGrant& grant,
                   const Pending& pending, Duration wall);
  // Handles what the store has of a record; `revision` is 0 if it has none.
  void OnRecordRead(std::int64_t window, const StoreItem& item);
  // Sends the report that is due, if any.
  void Send(DutyTenure& tenure, const DutyGrant& grant, TimePoint now);
  void OnSent(DutyTenure& tenure, std::uint64_t token, std::int64_t window,
              DutyCallResult result);
  void Miss(Pending& pending, const std::string& reason);
  // Drops the windows at the front that are done.
  void Advance(Duration wall);
  void CheckOverdue(TimePoint now, Duration wall);
  // Writes the own counts to the store if the holder may lack them.
  void SaveOwnCounts(TimePoint now, Duration wall);
  [[nodiscard]] Pending* Find(std::int64_t window);
  // Notes a call that failed; logs the first of a series.
  void OnStoreFailed(const LeaseStoreError& error);

  UsageReporterOptions options;
  UsageReporterParts parts;
  FleetClock clock;
  UsageLedger ledger;
  UsageWindows windows;
  // The last change that each receiver was told, by address.
  std::map<std::string, std::uint64_t> told;
  TimePoint holder_heard_at;
  std::optional<std::int64_t> saved_window;
  // The token of the term, 0 while this instance is not the holder.
  std::uint64_t term = 0;
  std::deque<Pending> pending;
  // The records up to this window are removed.
  std::int64_t removed_through = 0;
  TimePoint next_store_call_at;
  TimePoint next_send_at;
  // Calls of this reporter are in progress.
  bool is_sending = false;
  bool is_storing = false;
  // The outcome of the last report is not known.
  bool is_outcome_unknown = false;
  // Deadlines that passed in a row although the record was written.
  int missed_deadlines = 0;
  bool store_failure_logged = false;
  bool api_failure_logged = false;
  std::uint64_t reported = 0;
  std::uint64_t missed = 0;
  std::uint64_t incomplete = 0;
  std::uint64_t late = 0;
};

}  // namespace rosemarycove
