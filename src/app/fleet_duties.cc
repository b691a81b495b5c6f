#include "app/fleet_duties.h"

#include <algorithm>
#include <random>
#include <utility>

#include "net/clock.h"

namespace rosemarycove {
namespace {

// Numbers up to this many bits are exact in JSON.
constexpr int kExactBits = 52;
// Time between two updates of the candidates.
constexpr Duration kPeersInterval = std::chrono::milliseconds(250);
// A call to the platform may take this share of the lease: two fifths.
constexpr int kCallShare = 2;
constexpr int kCallShareOf = 5;
constexpr int kLeaseCallsPerLease = 3;

std::uint64_t RandomNumber() {
  return std::mt19937_64(std::random_device()())();
}

}  // namespace

Duration DutyCallTimeout(Duration lease) {
  return lease * kCallShare / kCallShareOf;
}

Duration LeaseCallTimeout(Duration lease) {
  return lease / kLeaseCallsPerLease;
}

FleetDuties::FleetDuties(const std::string& instance,
                         const DutyParts& duty_parts, EventLog& log)
    : parts(duty_parts),
      process(RandomNumber() >> (64 - kExactBits)),
      paced_calls(this->parts.calls, this->parts.options.calls_per_second),
      service({.instance = instance,
               .process = this->process,
               .lease = this->parts.options.lease,
               .call_timeout = DutyCallTimeout(this->parts.options.lease)},
              RandomNumber(), this->parts.lease_store, log, MonotonicNow),
      first_term_at(MonotonicNow() + 2 * this->parts.options.lease) {
  if (!this->parts.options.reports_usage) {
    return;
  }
  this->usage = std::make_unique<UsageReporter>(
      UsageReporterOptions{
          .instance = instance,
          .process = this->process,
          .windows = {.window = this->parts.options.usage_window,
                      .due = this->parts.options.usage_due,
                      .lease = this->parts.options.lease}},
      UsageReporterParts{
          .store = this->parts.task_store,
          .calls = this->paced_calls,
          .log = log,
          .read_wall_clock = WallClockNow,
          .read_clock = MonotonicNow,
          .hand_over = [this](TimePoint now) { this->service.HandOver(now); }});
  this->service.AddTask(*this->usage);
}

void FleetDuties::CountRequest(const std::string& customer) {
  if (this->usage) {
    this->usage->Count(customer);
  }
}

DutyState FleetDuties::MakeState(TimePoint now) {
  DutyState state = this->usage ? this->usage->MakeState()
                                : DutyState{.wall_time = WallClockNow()};
  state.process = this->process;
  state.token = this->service.token(now);
  state.lease_age = this->service.LeaseAge(now);
  return state;
}

bool FleetDuties::NeedsHolderData(const FleetPeer& peer, TimePoint now) const {
  return this->service.IsHolderOrCandidate(peer.identity.instance, now);
}

void FleetDuties::CompleteReport(const FleetPeer& peer, FleetReport& report,
                                 TimePoint now) {
  const bool is_first = report.identity.has_value();
  if (this->usage && is_first) {
    this->usage->ForgetReceiver(peer.identity.address);
  }
  const bool needs_holder_data = this->NeedsHolderData(peer, now);
  if (!is_first && !needs_holder_data && !this->service.TellsAll(now)) {
    return;
  }
  report.duties = this->MakeState(now);
  if (this->usage && needs_holder_data) {
    report.duties->usage = this->usage->MakeUpdate(peer.identity.address);
  }
}

void FleetDuties::OnReport(const FleetPeer& peer, const FleetReport& report,
                           TimePoint now) {
  const std::string& instance = peer.identity.instance;
  if (report.duties) {
    this->capable_peers[instance] = report.duties->process;
  } else if (report.identity) {
    this->capable_peers.erase(instance);
  }
  const auto found = this->capable_peers.find(instance);
  if (this->usage && found != this->capable_peers.end()) {
    this->usage->OnPeerHeard(instance, found->second, now);
  }
  if (!report.duties) {
    return;
  }
  this->service.OnHolderReport(instance, report.duties->token,
                               report.duties->lease_age, now);
  if (this->usage) {
    this->usage->OnPeerState(instance, *report.duties, now);
  }
}

void FleetDuties::OnPeerStatusChange(const FleetPeer& peer, PeerStatus status) {
  if (status != PeerStatus::kGone) {
    return;
  }
  this->capable_peers.erase(peer.identity.instance);
  if (this->usage) {
    this->usage->OnPeerGone(peer.identity.instance, peer.identity.address);
  }
}

void FleetDuties::NoteEra(std::uint64_t era, TimePoint now) {
  if (era <= this->known_era) {
    return;
  }
  this->known_era = era;
  this->service.NoteEra(era, now);
  if (this->usage) {
    this->usage->OnStoreRestored();
  }
}

void FleetDuties::Tick(const FleetLinks& links, std::uint64_t era,
                       TimePoint now) {
  if (now - this->peers_updated_at >= kPeersInterval) {
    this->peers_updated_at = now;
    std::vector<std::string> instances;
    for (const FleetPeer* peer : links.ServingPeers()) {
      if (this->capable_peers.contains(peer->identity.instance)) {
        instances.push_back(peer->identity.instance);
      }
    }
    this->service.SetPeers(std::move(instances));
  }
  this->parts.task_store.Tick(now);
  this->paced_calls.Tick(now);
  this->NoteEra(std::max({era, this->parts.task_store.era(),
                          this->parts.lease_store.era()}),
                now);
  if (this->usage) {
    this->usage->set_holder_heard_at(
        this->service.IsHolder(now)
            ? now
            : std::max(this->service.holder_heard_at(), this->first_term_at));
  }
  this->service.Tick(now);
}

void FleetDuties::StartStop(TimePoint now) { this->service.StartStop(now); }

bool FleetDuties::IsStopped(TimePoint now) const {
  return this->service.IsStopped(now) &&
         (!this->usage || this->usage->HasToldCounts());
}

std::string FleetDuties::MetricsText(TimePoint now) const {
  return this->service.MetricsText(now) +
         (this->usage ? this->usage->MetricsText() : "");
}

}  // namespace rosemarycove
