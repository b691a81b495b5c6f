// Decides whether this instance is the one that acts for the fleet at the
// platform.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "core/duty_grant.h"
#include "core/types.h"

namespace rosemarycove {

// The fencing token has the store's era above this many bits, and the store's
// own number of the claim below. With the 12 bits of an era it fits the 52 bits
// that a JSON number keeps exact.
inline constexpr int kTokenCountBits = 40;

// Returns the fencing token of a claim that was written at this revision (see
// core/store_revision.h); nullopt if its count has too many bits.
std::optional<std::uint64_t> MakeFencingToken(std::uint64_t revision);

// The key that names the holder.
inline constexpr std::string_view kDutyClaimKey = "duties/holder";

// The instances that claim first. They get what a holder needs to know; more
// than one, since some may fail together with the holder.
inline constexpr int kDutyCandidates = 3;

struct DutyLeaseOptions {
  std::string instance;
  // A random number that tells this process from its predecessor.
  std::uint64_t process = 0;
  // The time for which a claim holds without a renewal.
  Duration lease = std::chrono::seconds(3);
  // The longest time that a call to the platform takes. The holder begins no
  // call when less than this and `margin` remains of its lease.
  Duration call_timeout = std::chrono::milliseconds(1200);
  Duration margin = std::chrono::milliseconds(100);
  // A call without a response may be executed this much later, with a margin.
  Duration late_execution = std::chrono::seconds(10);
};

// The call to the store that is due.
enum class DutyStep : std::uint8_t {
  kRead,   // Read the claim key.
  kGrant,  // Ask for a lease.
  kClaim,  // Write claim_value() with lease() on condition of no claim key.
  kRenew,  // Renew lease().
  kEnd     // End lease().
};

// Why a call to the store gave no result.
enum class DutyStepFailure : std::uint8_t {
  kRefused,   // Nothing was done.
  kUnknown,   // The call may have been executed, or may be executed later.
  kConflict,  // Another claim exists.
  kNoLease    // The lease has ended.
};

enum class DutyChangeKind : std::uint8_t {
  kTaken,
  kLeaseExpired,   // Lost: no renewal succeeded in time.
  kLeaseGone,      // Lost: the store had no such lease any more.
  kStoreRestored,  // Lost: the store came back from a copy.
  kFenced,         // Lost: the platform has seen a higher token.
  kSuperseded,     // Lost: another instance reports a higher token.
  kHandedOver,     // Given up on purpose.
  kClaimRefused    // A claim was not made, or is not used.
};

// Returns the word that logs and metrics use.
std::string_view ToString(DutyChangeKind kind);

struct DutyChange {
  DutyChangeKind kind = DutyChangeKind::kTaken;
  std::uint64_t token = 0;
  // How long the duty was held.
  Duration held{};
  // Why a claim was refused; empty otherwise.
  std::string reason;
};

// A state machine without input or output: its owner makes the calls that
// TakeStep returns, one at a time, and hands the results in.
//
// Two rules prevent that instances hold in the order A, B, A while a call that
// A sent in its first term may still be executed: after a term, an instance
// waits for late_execution and a lease; and a process that starts waits for two
// leases, since its predecessor may have been the holder.
class DutyLease {
 public:
  DutyLease(DutyLeaseOptions options, std::uint64_t random_seed, TimePoint now);

  // Sets the number of instances that claim before this one.
  void SetRank(int rank) { this->rank = rank; }
  // Sets whether this instance may claim, which a draining one may not.
  void SetMayClaim(bool may_claim) { this->may_claim = may_claim; }
  // Another instance reports that it holds the duty, and renewed its lease this
  // long ago.
  void OnHolderReport(std::uint64_t token, Duration lease_age, TimePoint now);
  // The instance that was the holder reports that it is no more.
  void OnHolderLeft(TimePoint now);
  // A response of the store stated this era.
  void NoteEra(std::uint64_t era, TimePoint now);
  // The platform rejected a call with this token.
  void OnFenced(std::uint64_t token, TimePoint now);
  // Gives the duty up and ends the lease, so that another instance can claim at
  // once.
  void HandOver(TimePoint now);

  // Returns the call that is due, if any, and notes that it is sent now. To be
  // called only while no call is in progress.
  std::optional<DutyStep> TakeStep(TimePoint now);
  // The results of the calls. Those of the step that was taken last only.
  void OnRead(std::uint64_t revision, const std::string& value, TimePoint now);
  void OnGranted(std::uint64_t lease, Duration ttl, TimePoint now);
  void OnClaimed(std::uint64_t revision, TimePoint now);
  void OnRenewed(Duration ttl, TimePoint now);
  void OnEnded(TimePoint now);
  void OnStepFailed(DutyStepFailure failure, const std::string& reason,
                    TimePoint now);

  // See DutyTenure::Grant.
  [[nodiscard]] std::optional<DutyGrant> Grant(TimePoint now) const;
  // Returns whether this instance holds the duty, also if too little time is
  // left for a call.
  [[nodiscard]] bool IsHolder(TimePoint now) const;
  // The token while this instance holds the duty, 0 otherwise.
  [[nodiscard]] std::uint64_t token(TimePoint now) const;
  // The time since the last renewal that succeeded was sent; for metrics.
  [[nodiscard]] Duration LeaseAge(TimePoint now) const;
  // The claim as it is written to the store.
  [[nodiscard]] std::string claim_value() const;
  [[nodiscard]] std::uint64_t lease() const { return this->lease_id; }
  // Returns whether a lease is still to be ended, or the key to be read.
  [[nodiscard]] bool IsSettled() const {
    return this->state == State::kWaiting;
  }
  // The name of the instance whose claim was read last; empty if none.
  [[nodiscard]] const std::string& claimant() const {
    return this->known_claimant;
  }
  [[nodiscard]] std::uint64_t claim_count() const { return this->claim_number; }
  // Returns what has happened since the last call.
  std::vector<DutyChange> TakeChanges();

 private:
  enum class State : std::uint8_t {
    kWaiting,   // Not the holder.
    kAbsent,    // The key did not exist: a lease is asked for next.
    kLeased,    // There is a lease: the claim is written next.
    kSettling,  // The claim's outcome is unknown: the key is read next.
    kHolding,
    kEnding  // The lease is ended next.
  };

  void Hold(std::uint64_t revision, TimePoint now);
  // Ends the term, or notes a claim that is not used.
  void Lose(DutyChangeKind kind, TimePoint now);
  void RefuseClaim(const std::string& reason, TimePoint now);
  // Waits for the holder's next sign before the key is read again.
  void Wait(Duration quiet, TimePoint now);
  void BackOff(TimePoint now);
  void LoseIfExpired(TimePoint now);
  [[nodiscard]] Duration Jitter(Duration max);
  // How long this instance leaves the claim to those that precede it.
  [[nodiscard]] Duration RankDelay() const;

  DutyLeaseOptions options;
  std::mt19937_64 random;
  int rank = 0;
  bool may_claim = true;
  State state = State::kWaiting;
  // Not before this time, whatever else is known.
  TimePoint claim_not_before;
  // The key is read at this time plus the delay of the rank.
  TimePoint read_at;
  Duration read_jitter{};
  Duration backoff{};
  // Counts the reads that found a claim without a report of its holder.
  int silent_claim_reads = 0;
  std::uint64_t era = 0;
  std::uint64_t highest_token = 0;
  std::uint64_t claim_number = 0;
  std::string known_claimant;
  std::uint64_t lease_id = 0;
  // The era in which the lease was granted.
  std::uint64_t lease_era = 0;
  std::uint64_t revision = 0;
  std::uint64_t own_token = 0;
  TimePoint taken_at;
  // When the grant or the last renewal that succeeded was sent.
  TimePoint renewed_at;
  TimePoint valid_until;
  std::optional<DutyStep> step;
  TimePoint step_sent_at;
  // Of a renewal, or of a read that settles a claim.
  TimePoint next_call_at;
  std::vector<DutyChange> changes;
};

}  // namespace rosemarycove
