#include "core/brittle_servers.h"

#include <algorithm>
#include <cmath>

#include "core/prompt_cache_map.h"
#include "core/server_rate_limits.h"

namespace rosemarycove {
namespace {

// A server counts its rejections over this time.
constexpr Duration kRejectionTime = std::chrono::seconds(1);
// The slots that may be borrowed, as a share of the rejections that the server
// tolerates. Lenders' requests are rejected while their slots are borrowed, and
// instances borrow before they hear of each other.
constexpr double kBorrowedShare = 1.0 / 3;
// Slots are borrowed only up to this share of the room: lenders want theirs in
// a burst.
constexpr double kMaxLoadToBorrow = 2.0 / 3;
// After a rejection, the instance leaves the server alone for this time,
// doubled with each rejection in a row.
constexpr Duration kFirstRetreat = std::chrono::seconds(1);
constexpr Duration kMaxRetreat = std::chrono::seconds(8);
// The longest retreat relative to the shortest: instances come back one by one.
constexpr double kRetreatSpread = 0.5;
// A rejection lowers the believed room to this share at most.
constexpr double kRoomDecrease = 0.85;
// A server that fell may be empty, but slow at first.
constexpr double kRoomAfterLoss = 0.25;
// The believed room grows by these shares of the slots per second: after a
// rejection, and after a fall.
constexpr double kRoomGrowth = 0.05;
constexpr double kRoomGrowthAfterLoss = 0.25;
// What is known of servers that are not registered is dropped after this time.
constexpr Duration kUnregisteredMemory = std::chrono::minutes(1);

}  // namespace

void BrittleServers::SetFleet(std::vector<std::string> instances,
                              bool hears_all_instances, Duration interval) {
  this->hears_all = hears_all_instances;
  this->report_interval = interval;
  if (instances == this->peers) {
    return;
  }
  this->peers = std::move(instances);
  for (auto& [server_hash, state] : this->states) {
    this->UpdateRanks(server_hash, state);
  }
}

void BrittleServers::Tick(
    const std::map<std::string, RegisteredServer>& registered, TimePoint now) {
  if (this->states.empty()) {
    return;
  }
  this->brittle_services.clear();
  std::map<std::uint64_t, const RegisteredServer*> servers;
  for (const auto& [id, server] : registered) {
    const std::uint64_t server_hash = LifetimeHash(id, server.incarnation);
    servers.emplace(server_hash, &server);
    const auto found = this->states.find(server_hash);
    if (found != this->states.end() && found->second.tolerated) {
      const int tolerated = *found->second.tolerated;
      int& lowest =
          this->brittle_services.try_emplace(server.service, tolerated)
              .first->second;
      lowest = std::min(lowest, tolerated);
    }
  }
  for (const auto& [server_hash, server] : servers) {
    const auto service = this->brittle_services.find(server->service);
    if (service == this->brittle_services.end()) {
      continue;
    }
    State& state = this->states[server_hash];
    state.last_heard_at = now;
    state.assumed = service->second;
    state.slots = server->slots;
    if (state.ranks.empty()) {
      this->UpdateRanks(server_hash, state);
    }
  }
  std::erase_if(this->states, [&](const auto& item) {
    const auto server = servers.find(item.first);
    return server == servers.end()
               ? now - item.second.last_heard_at > kUnregisteredMemory
               : !this->brittle_services.contains(server->second->service) &&
                     !this->untold_servers.contains(item.first);
  });
  if (this->states.empty()) {
    this->peer_rejections.clear();
  }
}

void BrittleServers::Observe(const RegisteredServer& server,
                             std::optional<int> tolerated, TimePoint sent_at,
                             TimePoint now) {
  if (this->states.empty() && !tolerated) {
    return;
  }
  const std::uint64_t server_hash = LifetimeHash(server.id, server.incarnation);
  const auto found = this->states.find(server_hash);
  if (found == this->states.end() && !tolerated) {
    return;
  }
  State& state =
      found == this->states.end() ? this->states[server_hash] : found->second;
  state.last_heard_at = now;
  state.slots = server.slots;
  if (state.ranks.empty()) {
    this->UpdateRanks(server_hash, state);
  }
  if (this->Adopt(server_hash, state, tolerated, sent_at, "", now)) {
    this->untold_servers.insert(server_hash);
  }
}

bool BrittleServers::Adopt(std::uint64_t server_hash, State& state,
                           std::optional<int> tolerated, TimePoint observed_at,
                           const std::string& from, TimePoint now) {
  if (state.observed_at && observed_at < *state.observed_at) {
    return false;
  }
  state.observed_at = observed_at;
  if (state.tolerated == tolerated) {
    return false;
  }
  this->changes.push_back({.server_hash = server_hash,
                           .tolerated = tolerated,
                           .previous = state.tolerated,
                           .from = from,
                           .age = now - observed_at});
  state.tolerated = tolerated;
  return true;
}

void BrittleServers::UpdateRanks(std::uint64_t server_hash,
                                 State& state) const {
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  ranked.emplace_back(RendezvousScore(server_hash, this->instance),
                      &this->instance);
  for (const std::string& peer : this->peers) {
    ranked.emplace_back(RendezvousScore(server_hash, peer), &peer);
  }
  std::sort(ranked.begin(), ranked.end());
  state.ranks.clear();
  for (const auto& [score, name] : ranked) {
    state.ranks.emplace(*name, static_cast<int>(state.ranks.size()));
  }
}

int BrittleServers::PartOf(const State& state, const std::string& instance,
                           TimePoint now) {
  const auto found = state.ranks.find(instance);
  if (found == state.ranks.end()) {
    return 0;
  }
  const auto slots = static_cast<int>(RoomAt(state, now));
  const auto count = static_cast<int>(state.ranks.size());
  return slots / count + (found->second < slots % count ? 1 : 0);
}

const BrittleServers::State* BrittleServers::FindBrittle(
    const RegisteredServer& server) const {
  if (this->states.empty()) {
    return nullptr;
  }
  const auto found =
      this->states.find(LifetimeHash(server.id, server.incarnation));
  return found == this->states.end() || !found->second.Tolerated()
             ? nullptr
             : &found->second;
}

BrittleServers::State* BrittleServers::FindBrittle(
    const RegisteredServer& server) {
  if (this->states.empty()) {
    return nullptr;
  }
  const auto found =
      this->states.find(LifetimeHash(server.id, server.incarnation));
  return found == this->states.end() || !found->second.Tolerated()
             ? nullptr
             : &found->second;
}

void BrittleServers::RecordSend(const RegisteredServer& server, TimePoint now) {
  if (State* state = this->FindBrittle(server)) {
    state->last_sent_at = now;
  }
}

void BrittleServers::RecordAnswer(const RegisteredServer& server) {
  if (State* state = this->FindBrittle(server)) {
    state->retreat = {};
  }
}

void BrittleServers::RecordRejection(const RegisteredServer& server,
                                     int running, TimePoint now) {
  State* state = this->FindBrittle(server);
  if (state == nullptr) {
    return;
  }
  std::erase_if(state->rejections,
                [now](TimePoint at) { return now - at > kRejectionTime; });
  state->rejections.push_back(now);
  LowerRoom(*state,
            std::max(static_cast<double>(running),
                     kRoomDecrease * RoomAt(*state, now)),
            kRoomGrowth, now);
  state->retreat = std::clamp(2 * state->retreat, kFirstRetreat, kMaxRetreat);
  const double rank =
      UnitScore(LifetimeHash(server.id, server.incarnation), this->instance);
  state->resumes_at = now + FromSeconds(ToSeconds(state->retreat) *
                                        (1 + kRetreatSpread * rank));
}

void BrittleServers::RecordLoss(const RegisteredServer& server, TimePoint now) {
  if (State* state = this->FindBrittle(server)) {
    LowerRoom(*state, kRoomAfterLoss * state->slots, kRoomGrowthAfterLoss, now);
  }
}

bool BrittleServers::IsBrittle(const RegisteredServer& server) const {
  return this->FindBrittle(server) != nullptr;
}

bool BrittleServers::HasRoom(const RegisteredServer& server, int running,
                             const LoadLedger& ledger, TimePoint now) const {
  const State* state = this->FindBrittle(server);
  if (state == nullptr) {
    return true;
  }
  const double room = RoomAt(*state, now);
  if (running + 1 > room || now < state->resumes_at) {
    return false;
  }
  return ledger.OwnLoad(server.id).running <
             PartOf(*state, this->instance, now) ||
         (running + 1 <= kMaxLoadToBorrow * room &&
          this->MayBorrow(server, *state, ledger, now));
}

bool BrittleServers::MayBorrow(const RegisteredServer& server,
                               const State& state, const LoadLedger& ledger,
                               TimePoint now) const {
  const std::uint64_t server_hash = LifetimeHash(server.id, server.incarnation);
  // The others may not have heard of the last request yet.
  if (!this->hears_all || now - state.last_sent_at < this->report_interval ||
      this->HasRejected(server_hash, state, now)) {
    return false;
  }
  const double left = kBorrowedShare * *state.Tolerated() -
                      this->Borrowed(server, state, ledger, now);
  // As many instances as slots may be borrowed, others in each interval.
  const auto round = static_cast<std::uint64_t>(now.time_since_epoch() /
                                                this->report_interval);
  const std::uint64_t key = RendezvousScore(round, this->instance);
  return UnitScore(key, server.id) <
         left / static_cast<double>(this->peers.size() + 1);
}

int BrittleServers::Borrowed(const RegisteredServer& server, const State& state,
                             const LoadLedger& ledger, TimePoint now) const {
  int borrowed = std::max(0, ledger.OwnLoad(server.id).running -
                                 PartOf(state, this->instance, now));
  for (const auto& [peer, running] : ledger.RunningByPeer(server.id, now)) {
    borrowed += std::max(0, running - PartOf(state, peer, now));
  }
  return borrowed;
}

bool BrittleServers::HasRejected(std::uint64_t server_hash, const State& state,
                                 TimePoint now) const {
  return CountRejections(state, now) > 0 ||
         std::any_of(this->peer_rejections.begin(), this->peer_rejections.end(),
                     [&](const auto& item) {
                       return now - item.second.received_at <= kRejectionTime &&
                              item.second.counts.contains(server_hash);
                     });
}

void BrittleServers::LowerRoom(State& state, double room, double growth,
                               TimePoint now) {
  // One request has to find out whether there is more.
  room = std::max(1.0, room);
  if (room < RoomAt(state, now)) {
    state.learnt_room = room;
    state.room_growth = growth;
    state.room_learnt_at = now;
  }
}

double BrittleServers::RoomAt(const State& state, TimePoint now) {
  const double grown =
      state.room_growth * state.slots * ToSeconds(now - state.room_learnt_at);
  return state.learnt_room
             ? std::min<double>(state.slots, *state.learnt_room + grown)
             : state.slots;
}

int BrittleServers::CountRejections(const State& state, TimePoint now) {
  return static_cast<int>(std::count_if(
      state.rejections.begin(), state.rejections.end(),
      [now](TimePoint at) { return now - at <= kRejectionTime; }));
}

std::vector<BrittlenessReport> BrittleServers::Reports(bool whole,
                                                       TimePoint now) const {
  std::vector<BrittlenessReport> reports;
  for (const auto& [server_hash, state] : this->states) {
    const int rejected = CountRejections(state, now);
    if (state.observed_at &&
        (rejected > 0 || this->untold_servers.contains(server_hash) ||
         (whole && state.tolerated))) {
      reports.push_back({.server_hash = server_hash,
                         .tolerated = state.tolerated,
                         .age = now - *state.observed_at,
                         .rejected = rejected,
                         .room = static_cast<int>(RoomAt(state, now))});
    }
  }
  return reports;
}

void BrittleServers::RecordReportSent() { this->untold_servers.clear(); }

void BrittleServers::Merge(const std::string& peer,
                           const std::vector<BrittlenessReport>& reports,
                           TimePoint now) {
  if (reports.empty() && this->states.empty()) {
    return;
  }
  PeerRejections& rejections = this->peer_rejections[peer];
  rejections.counts.clear();
  rejections.received_at = now;
  for (const BrittlenessReport& report : reports) {
    const auto found = this->states.find(report.server_hash);
    if (found == this->states.end() && !report.tolerated) {
      continue;
    }
    State& state = this->states[report.server_hash];
    state.last_heard_at = now;
    this->Adopt(report.server_hash, state, report.tolerated, now - report.age,
                peer, now);
    if (report.rejected > 0) {
      rejections.counts.emplace(report.server_hash, report.rejected);
      LowerRoom(state, report.room, kRoomGrowth, now);
    }
  }
}

int BrittleServers::brittle_count() const {
  return static_cast<int>(std::count_if(
      this->states.begin(), this->states.end(),
      [](const auto& item) { return item.second.tolerated.has_value(); }));
}

}  // namespace rosemarycove
