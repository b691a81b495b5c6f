#include "app/duty_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "app/gateway_observer.h"
#include "core/store_revision.h"
#include "net/fleet_links.h"

namespace rosemarycove {
namespace {

// How long a planned stop waits for the tasks, of a shutdown grace of 8 s.
constexpr Duration kMaxStopWait = std::chrono::seconds(3);

// For this long a former holder tells the others that it is none.
constexpr Duration kLateHolderTime = std::chrono::seconds(3);

std::string_view ToString(DutyStep step) {
  switch (step) {
    case DutyStep::kRead:
      return "read";
    case DutyStep::kGrant:
      return "grant";
    case DutyStep::kClaim:
      return "claim";
    case DutyStep::kRenew:
      return "renew";
    case DutyStep::kEnd:
      return "end";
  }
  return "unknown";
}

DutyStepFailure FailureOf(LeaseStoreErrorKind kind) {
  switch (kind) {
    case LeaseStoreErrorKind::kNotExecuted:
      return DutyStepFailure::kRefused;
    case LeaseStoreErrorKind::kUnknown:
      return DutyStepFailure::kUnknown;
    case LeaseStoreErrorKind::kConflict:
      return DutyStepFailure::kConflict;
    case LeaseStoreErrorKind::kNoLease:
      return DutyStepFailure::kNoLease;
  }
  return DutyStepFailure::kUnknown;
}

}  // namespace

DutyService::DutyService(DutyLeaseOptions lease_options,
                         std::uint64_t random_seed, LeaseStore& store,
                         EventLog& log, const Clock& time)
    : options(std::move(lease_options)),
      store(store),
      log(log),
      clock(time),
      lease(this->options, random_seed, time()) {
  this->SetPeers({});
}

void DutyService::SetPeers(std::vector<std::string> instances) {
  instances.push_back(this->options.instance);
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(instances.size());
  for (std::string& instance : instances) {
    const std::uint64_t hash = RankHash(instance);
    ranked.emplace_back(hash, std::move(instance));
  }
  std::sort(ranked.begin(), ranked.end());
  this->candidates.clear();
  for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
    if (ranked[rank].second == this->options.instance) {
      this->lease.SetRank(static_cast<int>(rank));
    }
    if (rank < kDutyCandidates) {
      this->candidates.push_back(ranked[rank].second);
    }
  }
}

void DutyService::OnHolderReport(const std::string& instance,
                                 std::uint64_t token, Duration lease_age,
                                 TimePoint now) {
  if (token == 0 && instance == this->holder) {
    this->holder.clear();
    this->lease.OnHolderLeft(now);
  }
  if (token == 0 || token < this->holder_token) {
    return;
  }
  this->holder = instance;
  this->holder_token = token;
  this->heard_at = now;
  this->lease.OnHolderReport(token, lease_age, now);
}

void DutyService::NoteEra(std::uint64_t era, TimePoint now) {
  this->lease.NoteEra(era, now);
  this->LogChanges();
}

void DutyService::HandOver(TimePoint now) {
  this->lease.HandOver(now);
  this->LogChanges();
}

std::optional<DutyGrant> DutyService::Grant(TimePoint now) const {
  return this->lease.Grant(now);
}

void DutyService::OnFenced(std::uint64_t token, TimePoint now) {
  this->lease.OnFenced(token, now);
  this->LogChanges();
}

bool DutyService::TellsAll(TimePoint now) const {
  return now - this->held_at <= kLateHolderTime ||
         this->IsHolderOrCandidate(this->options.instance, now);
}

void DutyService::Tick(TimePoint now) {
  if (this->lease.IsHolder(now)) {
    this->held_at = now;
  }
  this->store.Tick(now);
  if (this->stop_started_at) {
    const bool all_idle =
        std::all_of(this->tasks.begin(), this->tasks.end(),
                    [](const DutyTask* task) { return task->is_idle(); });
    if (all_idle || now - *this->stop_started_at >= kMaxStopWait) {
      this->lease.HandOver(now);
    }
  }
  this->RunLease(now);
  for (DutyTask* task : this->tasks) {
    task->Tick(*this, now);
  }
  this->LogChanges();
}

void DutyService::StartStop(TimePoint now) {
  if (!this->stop_started_at) {
    this->stop_started_at = now;
    this->lease.SetMayClaim(false);
  }
}

void DutyService::RunLease(TimePoint now) {
  if (this->store.is_busy()) {
    return;
  }
  if (const auto step = this->lease.TakeStep(now)) {
    this->SendStep(*step);
  }
  this->LogChanges();
}

void DutyService::SendStep(DutyStep step) {
  ++this->calls_by_step[std::string(ToString(step))];
  // Handles a result, then makes the next call at once if one is due.
  const auto handle = [this](const auto& result, auto on_result) {
    const TimePoint now = this->clock();
    this->lease.NoteEra(this->store.era(), now);
    if (result) {
      this->failure_logged = false;
      on_result(*result, now);
    } else {
      this->OnStepFailed(result.error(), now);
    }
    this->LogChanges();
    this->RunLease(now);
  };
  switch (step) {
    case DutyStep::kRead:
      this->store.Read(
          std::string(kDutyClaimKey), [this, handle](const auto& result) {
            handle(result, [this](const StoreItem& item, TimePoint now) {
              this->lease.OnRead(item.revision, item.value, now);
            });
          });
      break;
    case DutyStep::kGrant:
      this->store.GrantLease(
          this->options.lease, [this, handle](const auto& result) {
            handle(result, [this](const StoreLease& granted, TimePoint now) {
              this->lease.OnGranted(granted.id, granted.ttl, now);
            });
          });
      break;
    case DutyStep::kClaim:
      this->store.Commit(
          {.conditions = {{.key = std::string(kDutyClaimKey)}},
           .writes = {{.key = std::string(kDutyClaimKey),
                       .value = this->lease.claim_value(),
                       .lease = this->lease.lease()}}},
          [this, handle](const auto& result) {
            handle(result, [this](std::uint64_t revision, TimePoint now) {
              this->lease.OnClaimed(revision, now);
            });
          });
      break;
    case DutyStep::kRenew:
      this->store.RenewLease(
          this->lease.lease(), [this, handle](const auto& result) {
            handle(result, [this](Duration ttl, TimePoint now) {
              this->lease.OnRenewed(ttl, now);
            });
          });
      break;
    case DutyStep::kEnd:
      this->store.EndLease(
          this->lease.lease(), [this, handle](const auto& result) {
            handle(result, [this](bool /*ended*/, TimePoint now) {
              this->lease.OnEnded(now);
            });
          });
      break;
  }
}

void DutyService::OnStepFailed(const LeaseStoreError& error, TimePoint now) {
  if (!this->failure_logged) {
    this->failure_logged = true;
    this->log.Write(LogEvent::kDutyCallFailed,
                    {{"call", "lease"}, {"why", error.message}});
  }
  this->lease.OnStepFailed(FailureOf(error.kind), error.message, now);
}

void DutyService::LogChanges() {
  for (const DutyChange& change : this->lease.TakeChanges()) {
    const LogFields term = {{"token", change.token},
                            {"reason", ToString(change.kind)},
                            {"held_ms", ToLogMilliseconds(change.held)}};
    switch (change.kind) {
      case DutyChangeKind::kTaken:
        ++this->takings;
        this->log.Write(
            LogEvent::kDutyTaken,
            {{"token", change.token}, {"claim", this->lease.claim_count()}});
        break;
      case DutyChangeKind::kClaimRefused:
        ++this->refused_claims;
        this->log.Write(
            LogEvent::kDutyClaimRefused,
            {{"reason", change.reason}, {"claim", this->lease.claim_count()}});
        break;
      case DutyChangeKind::kHandedOver:
        ++this->losses_by_reason[std::string(ToString(change.kind))];
        this->log.Write(LogEvent::kDutyHandedOver, term);
        break;
      default:
        ++this->losses_by_reason[std::string(ToString(change.kind))];
        this->log.Write(LogEvent::kDutyLost, term);
        break;
    }
  }
}

bool DutyService::IsStopped(TimePoint now) const {
  return this->stop_started_at && !this->lease.IsHolder(now) &&
         this->lease.IsSettled();
}

bool DutyService::IsHolderOrCandidate(const std::string& instance,
                                      TimePoint now) const {
  const bool is_holder =
      instance == this->holder && now - this->heard_at <= this->options.lease;
  return is_holder ||
         std::find(this->candidates.begin(), this->candidates.end(),
                   instance) != this->candidates.end();
}

std::string DutyService::MetricsText(TimePoint now) const {
  std::string text = fmt::format(
      "# TYPE rosemarycove_duty_holder gauge\n"
      "rosemarycove_duty_holder {}\n"
      "# TYPE rosemarycove_duty_token gauge\n"
      "rosemarycove_duty_token {}\n"
      "# TYPE rosemarycove_duty_lease_age_ms gauge\n"
      "rosemarycove_duty_lease_age_ms {}\n"
      "# TYPE rosemarycove_duty_claims_total counter\n"
      "rosemarycove_duty_claims_total {}\n"
      "# TYPE rosemarycove_duty_terms_total counter\n"
      "rosemarycove_duty_terms_total {}\n"
      "# TYPE rosemarycove_duty_claims_refused_total counter\n"
      "rosemarycove_duty_claims_refused_total {}\n",
      this->lease.IsHolder(now) ? 1 : 0, this->lease.token(now),
      ToLogMilliseconds(this->lease.LeaseAge(now)), this->lease.claim_count(),
      this->takings, this->refused_claims);
  text += "# TYPE rosemarycove_duty_losses_total counter\n";
  for (const auto& [reason, count] : this->losses_by_reason) {
    text += fmt::format("rosemarycove_duty_losses_total{{reason=\"{}\"}} {}\n",
                        reason, count);
  }
  text += "# TYPE rosemarycove_duty_store_calls_total counter\n";
  for (const auto& [step, count] : this->calls_by_step) {
    text += fmt::format(
        "rosemarycove_duty_store_calls_total{{call=\"{}\"}} {}\n", step, count);
  }
  return text;
}

}  // namespace rosemarycove
