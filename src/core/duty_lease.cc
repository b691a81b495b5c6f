#include "core/duty_lease.h"

#include <algorithm>
#include <utility>

#include "core/store_revision.h"

namespace rosemarycove {
namespace {

// The holder renews this many times per lease, so that one renewal may fail.
constexpr int kRenewalsPerLease = 3;
// A lease runs from the arrival of its renewal, which is later than its
// sending.
constexpr Duration kExpiryMargin = std::chrono::milliseconds(100);
// Added to the time without a report for each rank, so that few instances try
// at a time: a claim takes three calls to the store, some 10 ms each.
constexpr Duration kRankDelay = std::chrono::milliseconds(300);
constexpr Duration kMaxRankJitter = std::chrono::milliseconds(150);
// The pause after a call that failed doubles within these limits.
constexpr Duration kMinBackoff = std::chrono::milliseconds(300);
constexpr Duration kMaxBackoff = std::chrono::seconds(4);
// A process waits for this many leases after its start.
constexpr int kLeasesAfterStart = 2;
// A claim that is found without a report of its holder may have been renewed
// once more before the holder ended, so it is read again after the time between
// two renewals. An instance that is cut off from its peers goes on with fewer
// reads, since they are priced.
constexpr int kFrequentReads = 3;
constexpr int kSlowReadLeases = 2;

}  // namespace

std::optional<std::uint64_t> MakeFencingToken(std::uint64_t revision) {
  const std::uint64_t count = CountOf(revision);
  if (count == 0 || count >> kTokenCountBits != 0) {
    return std::nullopt;
  }
  return EraOf(revision) << kTokenCountBits | count;
}

std::string_view ToString(DutyChangeKind kind) {
  switch (kind) {
    case DutyChangeKind::kTaken:
      return "taken";
    case DutyChangeKind::kLeaseExpired:
      return "lease_expired";
    case DutyChangeKind::kLeaseGone:
      return "lease_gone";
    case DutyChangeKind::kStoreRestored:
      return "store_restored";
    case DutyChangeKind::kFenced:
      return "fenced";
    case DutyChangeKind::kSuperseded:
      return "superseded";
    case DutyChangeKind::kHandedOver:
      return "handed_over";
    case DutyChangeKind::kClaimRefused:
      return "claim_refused";
  }
  return "unknown";
}

DutyLease::DutyLease(DutyLeaseOptions lease_options, std::uint64_t random_seed,
                     TimePoint now)
    : options(std::move(lease_options)),
      random(random_seed),
      claim_not_before(now + kLeasesAfterStart * this->options.lease) {
  this->Wait({}, now);
}

Duration DutyLease::Jitter(Duration max) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      0, max.count())(this->random));
}

void DutyLease::Wait(Duration quiet, TimePoint now) {
  this->state = State::kWaiting;
  this->read_at = now + quiet;
  this->read_jitter = this->Jitter(kMaxRankJitter);
}

void DutyLease::BackOff(TimePoint now) {
  this->backoff = std::clamp(2 * this->backoff, kMinBackoff, kMaxBackoff);
  this->Wait(this->backoff + this->Jitter(this->backoff), now);
}

void DutyLease::OnHolderReport(std::uint64_t token, Duration lease_age,
                               TimePoint now) {
  if (token < this->highest_token || token == this->own_token) {
    return;
  }
  this->highest_token = token;
  this->silent_claim_reads = 0;
  if (this->state == State::kHolding && token > this->own_token) {
    this->Lose(DutyChangeKind::kSuperseded, now);
  }
  if (this->state == State::kWaiting) {
    // The lease ends then, unless it is renewed.
    this->read_at =
        std::max(this->read_at,
                 now + this->options.lease + kExpiryMargin -
                     std::clamp(lease_age, Duration{}, this->options.lease));
  }
}

void DutyLease::OnHolderLeft(TimePoint now) {
  if (this->state == State::kWaiting) {
    this->read_at = std::min(this->read_at, now);
  }
}

Duration DutyLease::RankDelay() const {
  // The candidates read the key again after the time between two renewals, and
  // know what a holder needs to.
  const Duration extra = this->rank < kDutyCandidates
                             ? Duration{}
                             : this->options.lease / kRenewalsPerLease;
  return this->rank * kRankDelay + extra;
}

void DutyLease::NoteEra(std::uint64_t stated_era, TimePoint now) {
  if (stated_era <= this->era) {
    return;
  }
  this->era = stated_era;
  if (this->state == State::kHolding) {
    this->Lose(DutyChangeKind::kStoreRestored, now);
  }
  this->claim_not_before =
      std::max(this->claim_not_before, now + this->options.lease);
}

void DutyLease::OnFenced(std::uint64_t token, TimePoint now) {
  if (this->state == State::kHolding && token == this->own_token) {
    this->Lose(DutyChangeKind::kFenced, now);
  }
}

void DutyLease::HandOver(TimePoint now) {
  if (this->state == State::kHolding) {
    this->Lose(DutyChangeKind::kHandedOver, now);
    this->state = State::kEnding;
  }
}

void DutyLease::Lose(DutyChangeKind kind, TimePoint now) {
  this->changes.push_back(
      {.kind = kind, .token = this->own_token, .held = now - this->taken_at});
  this->own_token = 0;
  this->claim_not_before =
      now + this->options.late_execution + this->options.lease;
  this->Wait(this->options.lease, now);
}

void DutyLease::RefuseClaim(const std::string& reason, TimePoint now) {
  this->changes.push_back(
      {.kind = DutyChangeKind::kClaimRefused, .reason = reason});
  this->BackOff(now);
}

void DutyLease::LoseIfExpired(TimePoint now) {
  if (this->state == State::kHolding && now >= this->valid_until) {
    this->Lose(DutyChangeKind::kLeaseExpired, now);
  }
}

std::optional<DutyStep> DutyLease::TakeStep(TimePoint now) {
  this->LoseIfExpired(now);
  this->step.reset();
  switch (this->state) {
    case State::kWaiting:
      if (this->may_claim &&
          now >= std::max(this->read_at, this->claim_not_before) +
                     this->RankDelay() + this->read_jitter) {
        this->step = DutyStep::kRead;
      }
      break;
    case State::kAbsent:
      if (this->may_claim && now >= this->claim_not_before) {
        this->step = DutyStep::kGrant;
      } else {
        this->Wait(this->options.lease, now);
      }
      break;
    case State::kLeased:
      // The process may have been frozen since the lease was granted.
      if (this->may_claim &&
          now + this->options.call_timeout < this->valid_until) {
        ++this->claim_number;
        this->step = DutyStep::kClaim;
      } else {
        this->state = State::kEnding;
        this->step = DutyStep::kEnd;
      }
      break;
    case State::kSettling:
      if (now >= this->next_call_at) {
        this->step = DutyStep::kRead;
      }
      break;
    case State::kHolding:
      if (now >= this->next_call_at) {
        this->step = DutyStep::kRenew;
      }
      break;
    case State::kEnding:
      this->step = DutyStep::kEnd;
      break;
  }
  this->step_sent_at = now;
  return this->step;
}

void DutyLease::OnRead(std::uint64_t read_revision, const std::string& value,
                       TimePoint now) {
  const bool is_settling = this->state == State::kSettling;
  if (!is_settling && this->state != State::kWaiting) {
    return;
  }
  if (is_settling && read_revision != 0 && value == this->claim_value()) {
    this->Hold(read_revision, now);
    return;
  }
  this->known_claimant.clear();
  if (is_settling && read_revision == 0) {
    // The claim may still be executed. Without the lease it fails.
    this->RefuseClaim("the claim had no response and is not in the store", now);
    this->state = State::kEnding;
    return;
  }
  if (read_revision == 0) {
    this->state = State::kAbsent;
    return;
  }
  const std::size_t name = value.find('/', value.find('/') + 1);
  if (name != std::string::npos) {
    this->known_claimant = value.substr(name + 1);
  }
  ++this->silent_claim_reads;
  this->Wait(this->silent_claim_reads > kFrequentReads
                 ? kSlowReadLeases * this->options.lease
                 : this->options.lease / kRenewalsPerLease,
             now);
}

void DutyLease::OnGranted(std::uint64_t lease, Duration ttl, TimePoint now) {
  if (this->state != State::kAbsent) {
    return;
  }
  this->lease_id = lease;
  this->lease_era = this->era;
  this->renewed_at = this->step_sent_at;
  this->valid_until = this->step_sent_at + std::min(ttl, this->options.lease);
  if (now + this->options.call_timeout >= this->valid_until) {
    this->RefuseClaim("the lease is too short or came too late", now);
    return;
  }
  this->state = State::kLeased;
}

void DutyLease::OnClaimed(std::uint64_t claimed_revision, TimePoint now) {
  if (this->state == State::kLeased) {
    this->Hold(claimed_revision, now);
  }
}

void DutyLease::Hold(std::uint64_t claimed_revision, TimePoint now) {
  const std::optional<std::uint64_t> token = MakeFencingToken(claimed_revision);
  if (!token) {
    this->RefuseClaim("the revision has too many bits for a token", now);
    return;
  }
  if (this->era != this->lease_era || EraOf(claimed_revision) != this->era) {
    this->RefuseClaim("the store came back from a copy meanwhile", now);
    return;
  }
  if (now >= this->valid_until) {
    this->RefuseClaim("the lease ended before the claim was known", now);
    return;
  }
  if (!this->may_claim) {
    this->RefuseClaim("the instance is stopping", now);
    this->state = State::kEnding;
    return;
  }
  if (*token <= this->highest_token) {
    this->RefuseClaim("another instance reports a higher token", now);
    return;
  }
  this->state = State::kHolding;
  this->backoff = {};
  this->silent_claim_reads = 0;
  this->revision = claimed_revision;
  this->own_token = *token;
  this->highest_token = *token;
  this->taken_at = now;
  this->next_call_at =
      this->renewed_at + this->options.lease / kRenewalsPerLease;
  this->changes.push_back({.kind = DutyChangeKind::kTaken, .token = *token});
}

void DutyLease::OnRenewed(Duration ttl, TimePoint now) {
  if (this->state != State::kHolding || this->step != DutyStep::kRenew) {
    return;
  }
  this->backoff = {};
  this->renewed_at = this->step_sent_at;
  this->valid_until =
      std::max(this->valid_until,
               this->step_sent_at + std::min(ttl, this->options.lease));
  this->next_call_at =
      this->renewed_at + this->options.lease / kRenewalsPerLease;
  this->LoseIfExpired(now);
}

void DutyLease::OnEnded(TimePoint now) {
  if (this->state == State::kEnding) {
    this->Wait(this->options.lease, now);
  }
}

void DutyLease::OnStepFailed(DutyStepFailure failure, const std::string& reason,
                             TimePoint now) {
  switch (this->state) {
    case State::kWaiting:
      // The term may have ended while its last renewal was under way.
      if (this->step == DutyStep::kRead) {
        this->BackOff(now);
      }
      break;
    case State::kAbsent:
      this->BackOff(now);
      break;
    case State::kLeased:
      if (failure == DutyStepFailure::kUnknown ||
          failure == DutyStepFailure::kConflict) {
        this->state = State::kSettling;
        this->next_call_at = now;
      } else {
        this->RefuseClaim(reason, now);
      }
      break;
    case State::kSettling:
      if (now >= this->valid_until) {
        this->RefuseClaim("the claim had no response and can't be read", now);
      }
      this->next_call_at =
          failure == DutyStepFailure::kUnknown ? now : now + kMinBackoff;
      break;
    case State::kHolding:
      if (this->step != DutyStep::kRenew) {
        break;
      }
      if (failure == DutyStepFailure::kNoLease) {
        this->Lose(DutyChangeKind::kLeaseGone, now);
        break;
      }
      // A call that timed out has taken long enough already.
      this->next_call_at =
          failure == DutyStepFailure::kUnknown ? now : now + kMinBackoff;
      break;
    case State::kEnding:
      // Otherwise the failure is that of a renewal which was under way.
      if (this->step == DutyStep::kEnd) {
        this->Wait(this->options.lease, now);
      }
      break;
  }
}

std::optional<DutyGrant> DutyLease::Grant(TimePoint now) const {
  if (this->state != State::kHolding ||
      now + this->options.call_timeout + this->options.margin >
          this->valid_until) {
    return std::nullopt;
  }
  return DutyGrant{.token = this->own_token,
                   .claim_key = std::string(kDutyClaimKey),
                   .claim_revision = this->revision};
}

bool DutyLease::IsHolder(TimePoint now) const {
  return this->state == State::kHolding && now < this->valid_until;
}

std::uint64_t DutyLease::token(TimePoint now) const {
  return this->IsHolder(now) ? this->own_token : 0;
}

Duration DutyLease::LeaseAge(TimePoint now) const {
  return this->IsHolder(now) ? now - this->renewed_at : Duration{};
}

std::string DutyLease::claim_value() const {
  return std::to_string(this->options.process) + "/" +
         std::to_string(this->claim_number) + "/" + this->options.instance;
}

std::vector<DutyChange> DutyLease::TakeChanges() {
  return std::exchange(this->changes, {});
}

}  // namespace rosemarycove
