#include "core/placer.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <utility>

namespace rosemarycove {
namespace {

constexpr double kThousand = 1000;
// Costs, as shares of what the request is worth.
// Being late: the predicted time relative to the target, to this power, so
// that delay hardly counts until it comes near the target.
constexpr double kLatePower = 4;
// What a prediction far beyond the target costs at the most.
constexpr double kMostLate = 4;
// Shared tokens read again, relative to the request's own work.
constexpr double kReadAgain = 2.5;
// The share of that cost at the homes of a part, in their order: the first one
// reads it in any case, and the next ones as soon as it overflows.
constexpr std::array<double, 3> kReadAgainAtHome = {0, 0.5, 0.75};
// A server in another data centre: bytes and a little time.
constexpr double kFarServer = 0.01;
// Each stream with a short gap target that a long prompt would pause.
constexpr double kBrittleStream = 0.1;
// Unread long-prompt tokens ahead of a stream with a short gap target, for
// each thousand.
constexpr double kLongAheadPerThousand = 0.02;
// A server set aside for the other kind of routes.
constexpr double kWrongSide = 0.35;
// The server that an instance likes least: instances that see the same loads do
// not all pick the same server among those that are nearly alike.
constexpr double kLeastLiked = 0.06;
// A data centre that seems cut off.
constexpr double kSuspectedDataCentre = 10;
// An engine whose memory would be full.
constexpr double kMemoryFull = 2;
// Work of generating a token relative to reading one, in a usual batch.
constexpr double kAnswerTokenWork = 30;

// Share that is set aside before anything is known of the work.
constexpr double kStartShare = 0.45;
// Work counts a third after this time: bursts last for several seconds, and
// each change of the division costs prompts their homes.
constexpr Duration kWorkLife = std::chrono::seconds(6);
// What another instance told of its work is used for this long.
constexpr Duration kPeerWorkLife = std::chrono::seconds(3);
// Requests that all instances together must have seen before the engines are
// divided by their work.
constexpr int kLeastSeen = 40;
// Engines that are set aside for routes that bear pauses: at least and at most
// this share, and only in services with so many engines.
constexpr double kLeastSetAside = 0.15;
constexpr double kMostSetAside = 0.7;
constexpr int kLeastEngines = 4;
// How far the wanted share must move before an engine changes sides; each
// change moves prompts away from where they are cached.
constexpr double kSetAsideStep = 0.12;
// Orders the engines; the same at every instance.
constexpr std::uint64_t kSideSeed = 0x51DE;
// Each request beyond a server's slots, relative to its predicted time.
constexpr double kQueuedRequest = 0.15;

// Share of an engine's memory and of its slots that the first tier may fill;
// the answers' lengths are estimates. Each tier below leaves this much more for
// those above it.
constexpr double kMemoryBound = 0.8;
constexpr double kSlotBound = 1.0;
// The same for requests that bear pauses: they are long, a step takes longer
// the more is held, and what is not held keeps shared parts cached.
constexpr double kLongMemoryBound = 0.65;
constexpr double kLeftByTier = 0.06;
constexpr int kLastTier = 4;
// A request of the tighter class that the others must leave on time: its
// unread prompt tokens.
constexpr double kUsualPromptTokens = 600;
// Prompts above this pause streams beside them when they are read.
constexpr int kLongPromptTokens = 12000;
// Share of a request's work that is worth a wait for its home.
constexpr double kWaitForHome = 0.1;
// Streams with a short gap target, for each slot, beside which one that would
// pause them is still begun when its own engines are full.
constexpr double kMostBrittlePerSlot = 0.05;
// Gap targets up to this make a stream brittle.
constexpr Duration kBrittleGap = std::chrono::milliseconds(400);
// Share of the target that is aimed at, for what the prediction misses.
constexpr double kAimedShare = 0.85;
// Requests that may wait at a server for each of its slots before it counts
// as full for this service.
constexpr double kMostQueuedPerSlot = 1.5;
// A server's own report of its load is used for this long.
constexpr Duration kReportLife = std::chrono::milliseconds(400);

int SharedTokens(const PlacementQuery& query) {
  int tokens = 0;
  for (std::size_t i = 0; i + 1 < query.parts.size(); ++i) {
    tokens += query.parts[i].tokens;
  }
  return tokens;
}

// Prompt tokens, and answer tokens as so many prompt tokens.
double WorkOf(const PlacementQuery& query) {
  return query.prompt_tokens + kAnswerTokenWork * query.answer_tokens;
}

bool TakesRequestsOf(const RegisteredServer& server,
                     const std::string& service) {
  return server.service == service && !server.is_draining;
}

bool IsBrittle(const Route& route) {
  return route.gap_target && *route.gap_target <= kBrittleGap;
}

}  // namespace

std::string_view ToString(ChoiceReason reason) {
  switch (reason) {
    case ChoiceReason::kCheapest:
      return "cheapest";
    case ChoiceReason::kPromptAffinity:
      return "home_of_prompt";
    case ChoiceReason::kTrial:
      return "trial";
    case ChoiceReason::kOnlyEjected:
      return "only_ejected";
  }
  return "unknown";
}

std::string_view ToString(NoChoiceReason reason) {
  switch (reason) {
    case NoChoiceReason::kNoServer:
      return "no_server";
    case NoChoiceReason::kUnreachable:
      return "unreachable";
    case NoChoiceReason::kFull:
      return "full";
    case NoChoiceReason::kHeldBack:
      return "held_back";
  }
  return "unknown";
}

std::string_view ToString(CapacityLimit limit) {
  switch (limit) {
    case CapacityLimit::kNone:
      return "none";
    case CapacityLimit::kSlots:
      return "slots";
    case CapacityLimit::kMemory:
      return "memory";
    case CapacityLimit::kGapSensitiveStreams:
      return "brittle_streams";
    case CapacityLimit::kTooSlow:
      return "too_slow";
  }
  return "unknown";
}

Placer::Placer(PlacerOptions options, const BackendDirectory& directory)
    : options(std::move(options)),
      directory(directory),
      instance_seed(IdHash(this->options.instance)) {}

const LatencyModel& Placer::LatencyModelOf(const std::string& service,
                                           bool set_aside) const {
  static const LatencyModel kUnknown;
  const auto found = this->speeds.find({service, set_aside});
  return found == this->speeds.end() ? kUnknown : found->second;
}

ServerLoad Placer::UntoldLoad(const std::string& server, TimePoint now) const {
  const auto found = this->recent.find(server);
  if (found == this->recent.end() ||
      now - found->second.since > this->interval) {
    return {};
  }
  const int others = this->instances - 1;
  return {.running = others * found->second.load.running,
          .kv_tokens = others * found->second.load.kv_tokens};
}

ServerLoad Placer::LoadOf(const std::string& server, TimePoint now) const {
  ServerLoad load = this->loads.TotalLoad(server, now);
  const auto found = this->reported.find(server);
  if (found == this->reported.end() || now - found->second.at > kReportLife) {
    return load;
  }
  // Instances that are cut off from this one have requests there as well; they
  // are taken to be like those that are known.
  const int told = found->second.running + found->second.waiting;
  if (told > load.running) {
    const int unknown = told - load.running;
    load.kv_tokens += unknown * (load.kv_tokens / std::max(1, load.running));
    load.running = told;
  }
  return load;
}

double Placer::Dislike(const std::string& server) const {
  constexpr double kRanks = 18446744073709551616.0;  // All values of a rank.
  return static_cast<double>(RendezvousScore(this->instance_seed, server)) /
         kRanks;
}

bool Placer::IsSetAside(const PlacementQuery& query,
                        const std::string& server) const {
  const auto found = this->sides.find(query.service->name);
  return found != this->sides.end() && found->second.set_aside.contains(server);
}

void Placer::RecentWork::FadeTo(TimePoint now) {
  const double kept =
      std::exp(-ToSeconds(now - this->at) / ToSeconds(kWorkLife));
  this->pause_tolerant_work *= kept;
  this->other_work *= kept;
  this->at = now;
}

double Placer::LongShare(const std::string& service, TimePoint now) const {
  const auto found = this->sides.find(service);
  RecentWork all =
      found == this->sides.end() ? RecentWork{.at = now} : found->second.work;
  all.FadeTo(now);
  const std::uint64_t number = IdHash(service);
  for (const auto& [peer, told] : this->peer_work) {
    for (const ServicePartition& partition : told.partitions) {
      if (partition.service_hash == number && now - told.at <= kPeerWorkLife) {
        all.pause_tolerant_work += partition.pause_tolerant_work;
        all.other_work += partition.other_work;
      }
    }
  }
  return all.pause_tolerant_work <= 0
             ? 0
             : all.pause_tolerant_work /
                   (all.pause_tolerant_work + all.other_work);
}

void Placer::ChooseSides(const std::string& service, TimePoint now) {
  Sides& divided = this->sides[service];
  const double long_share = this->leads ? this->LongShare(service, now) : 0;
  const double wanted =
      long_share <= 0 ? 0
                      : std::clamp(long_share, kLeastSetAside, kMostSetAside);
  if (this->leads && divided.seen * this->instances >= kLeastSeen &&
      std::abs(wanted - divided.share) >= kSetAsideStep) {
    divided.share = wanted;
  }
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  for (const auto& [id, server] : this->directory.servers()) {
    if (TakesRequestsOf(server, service)) {
      ranked.emplace_back(RendezvousScore(kSideSeed, id), &id);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  const auto count = static_cast<int>(ranked.size());
  const int aside = count < kLeastEngines
                        ? 0
                        : static_cast<int>(std::lround(divided.share * count));
  divided.set_aside.clear();
  for (int i = 0; i < aside; ++i) {
    divided.set_aside.insert(*ranked[static_cast<std::size_t>(i)].second);
  }
}

void Placer::RecordRequest(const PlacementQuery& query, TimePoint now) {
  if (!query.service->IsModel()) {
    return;
  }
  Sides& divided = this->sides[query.service->name];
  if (query.tolerates_pauses && divided.share == 0) {
    divided.share = kStartShare;
  }
  const double work = WorkOf(query);
  ++divided.seen;
  divided.work.FadeTo(now);
  (query.tolerates_pauses ? divided.work.pause_tolerant_work
                          : divided.work.other_work) += work;
  this->ChooseSides(query.service->name, now);
}

std::vector<ServicePartition> Placer::Partitions(TimePoint now) const {
  std::vector<ServicePartition> partitions;
  for (const auto& [service, divided] : this->sides) {
    RecentWork work = divided.work;
    work.FadeTo(now);
    partitions.push_back({.service_hash = IdHash(service),
                          .reserved_share = divided.share,
                          .pause_tolerant_work = work.pause_tolerant_work,
                          .other_work = work.other_work});
  }
  return partitions;
}

void Placer::SetPeerWork(const std::string& peer,
                         const std::vector<ServicePartition>& partitions,
                         TimePoint now) {
  this->peer_work[peer] = {.partitions = partitions, .at = now};
}

void Placer::RemovePeer(const std::string& peer) {
  this->loads.RemovePeer(peer);
  this->peer_work.erase(peer);
}

void Placer::FollowPartitions(const std::vector<ServicePartition>& partitions) {
  this->leads = false;
  for (auto& [service, divided] : this->sides) {
    const std::uint64_t number = IdHash(service);
    for (const ServicePartition& partition : partitions) {
      if (partition.service_hash == number && partition.reserved_share > 0) {
        divided.share = partition.reserved_share;
      }
    }
  }
}

std::vector<const RegisteredServer*> Placer::HomesOf(
    const PlacementQuery& query) const {
  if (query.parts.size() < 2) {
    return {};
  }
  const std::uint64_t part = query.parts[query.parts.size() - 2].id;
  std::vector<std::pair<std::uint64_t, const RegisteredServer*>> ranked;
  for (const auto& [id, server] : this->directory.servers()) {
    if (TakesRequestsOf(server, query.service->name) &&
        this->IsSetAside(query, id) == query.tolerates_pauses) {
      ranked.emplace_back(RendezvousScore(part, id), &server);
    }
  }
  const std::size_t count = std::min(kReadAgainAtHome.size(), ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), std::greater<>());
  std::vector<const RegisteredServer*> homes;
  for (std::size_t i = 0; i < count; ++i) {
    homes.push_back(ranked[i].second);
  }
  return homes;
}

std::vector<Placer::Candidate> Placer::Candidates(
    const PlacementQuery& query, TimePoint now, NoChoiceReason& why_not) const {
  why_not = NoChoiceReason::kNoServer;
  std::vector<Candidate> candidates;
  const std::vector<const RegisteredServer*> homes = this->HomesOf(query);
  for (const auto& [id, server] : this->directory.servers()) {
    if (!TakesRequestsOf(server, query.service->name)) {
      continue;
    }
    if (std::find(query.tried_servers.begin(), query.tried_servers.end(), id) !=
        query.tried_servers.end()) {
      why_not = NoChoiceReason::kUnreachable;
      continue;
    }
    const ServerHealthStatus fit = this->server_health.StatusOf(id, now);
    if (fit == ServerHealthStatus::kEjected) {
      why_not = NoChoiceReason::kUnreachable;
      continue;
    }
    Candidate candidate{.server = &server,
                        .load = this->LoadOf(id, now),
                        .trial = fit == ServerHealthStatus::kTrial};
    const auto home = std::find(homes.begin(), homes.end(), &server);
    if (home != homes.end()) {
      candidate.home_rank = static_cast<int>(home - homes.begin());
    }
    const double waiting = candidate.load.running - server.slots;
    if (waiting >= kMostQueuedPerSlot * server.slots) {
      why_not = NoChoiceReason::kFull;
      continue;
    }
    candidates.push_back(candidate);
  }
  return candidates;
}

void Placer::Weigh(const PlacementQuery& query, Candidate& candidate,
                   TimePoint now) const {
  const RegisteredServer& server = *candidate.server;
  const LatencyModel& speed = this->LatencyModelOf(
      query.service->name, this->IsSetAside(query, server.id));
  const int shared = SharedTokens(query);
  candidate.cached_tokens =
      std::min(shared, this->caches.CachedTokens(server.id, query.parts, now));
  const int unread = std::max(0, query.prompt_tokens - candidate.cached_tokens);
  candidate.inputs = {.prefill_tokens = static_cast<double>(unread),
                      .prefill_tokens_ahead =
                          static_cast<double>(candidate.load.prefill_tokens),
                      .running = static_cast<double>(
                          std::min(candidate.load.running, server.slots))};
  candidate.predicted = speed.Predict(server.id, candidate.inputs, now);
  double first = ToMilliseconds(candidate.predicted);
  const double queued = std::max(0, candidate.load.running + 1 - server.slots);
  first *= 1 + kQueuedRequest * queued;
  candidate.predicted = FromSeconds(first / kThousand);
  const double aim = kAimedShare * ToMilliseconds(query.route->target);
  double cost = std::min(kMostLate, std::pow(first / aim, kLatePower));
  if (shared > 0) {
    const double share =
        candidate.home_rank ? kReadAgainAtHome[*candidate.home_rank] : 1;
    cost += share * kReadAgain * (shared - candidate.cached_tokens) /
            std::max(1.0, WorkOf(query));
  }
  if (query.service->IsModel() &&
      this->IsSetAside(query, server.id) != query.tolerates_pauses) {
    cost += kWrongSide;
  }
  if (server.data_centre != this->options.data_centre) {
    cost += kFarServer;
  }
  if (!candidate.home_rank) {
    cost += kLeastLiked * this->Dislike(server.id);
  }
  if (this->suspected.contains(server.data_centre)) {
    cost += kSuspectedDataCentre;
  }
  if (unread >= kLongPromptTokens) {
    cost += kBrittleStream * candidate.load.gap_sensitive_streams;
  }
  if (IsBrittle(*query.route)) {
    cost +=
        kLongAheadPerThousand * candidate.load.long_prefill_tokens / kThousand;
  }
  if (query.service->kv_capacity_tokens > 0) {
    const double held =
        candidate.load.kv_tokens + query.prompt_tokens + query.answer_tokens;
    if (held > kMemoryBound * query.service->kv_capacity_tokens) {
      cost += kMemoryFull;
    }
  }
  candidate.cost = cost;
  candidate.limit = this->FindCapacityLimit(query, candidate, now);
}

CapacityLimit Placer::FindCapacityLimit(const PlacementQuery& query,
                                        const Candidate& candidate,
                                        TimePoint now) const {
  if (!query.service->IsModel()) {
    return CapacityLimit::kNone;
  }
  ServerLoad load = candidate.load;
  // Others send there for other prompts, so they do not all pick it at once.
  if (!candidate.home_rank) {
    load += this->UntoldLoad(candidate.server->id, now);
  }
  const int tier = std::min(query.tier, kLastTier);
  const double slots =
      (kSlotBound - kLeftByTier * tier) * candidate.server->slots;
  if (load.running + 1 > slots) {
    return CapacityLimit::kSlots;
  }
  const double memory =
      query.tolerates_pauses ? kLongMemoryBound : kMemoryBound;
  if (query.service->kv_capacity_tokens > 0 &&
      load.kv_tokens + query.prompt_tokens + query.answer_tokens >
          (memory - kLeftByTier * tier) * query.service->kv_capacity_tokens &&
      load.running > 0) {
    return CapacityLimit::kMemory;
  }
  if (load.running == 0) {
    return CapacityLimit::kNone;
  }
  const bool set_aside = this->IsSetAside(query, candidate.server->id);
  if (query.tolerates_pauses && !set_aside &&
      load.gap_sensitive_streams >
          kMostBrittlePerSlot * candidate.server->slots) {
    return CapacityLimit::kGapSensitiveStreams;
  }
  if (set_aside || !query.shortest_target) {
    return candidate.predicted <= query.route->target ? CapacityLimit::kNone
                                                      : CapacityLimit::kTooSlow;
  }
  // Those that run here or come next must be on time with it.
  const LatencyModel& speed =
      this->LatencyModelOf(query.service->name, set_aside);
  const Duration usual =
      speed.Predict(candidate.server->id,
                    {.prefill_tokens = kUsualPromptTokens,
                     .running = static_cast<double>(load.running + 1)},
                    now);
  return usual <= *query.shortest_target ? CapacityLimit::kNone
                                         : CapacityLimit::kTooSlow;
}

bool Placer::WaitsForHome(const PlacementQuery& query,
                          const std::vector<Candidate>& candidates,
                          const Candidate& best, TimePoint now) {
  const int shared = SharedTokens(query);
  if (now >= query.affinity_wait_until || best.IsFirstHome() ||
      shared - best.cached_tokens < kWaitForHome * WorkOf(query)) {
    return false;
  }
  return std::any_of(candidates.begin(), candidates.end(),
                     [](const Candidate& candidate) {
                       return candidate.IsFirstHome() &&
                              candidate.limit != CapacityLimit::kNone;
                     });
}

std::optional<ServerChoice> Placer::Choose(const PlacementQuery& query,
                                           TimePoint now,
                                           NoChoiceReason& why_not) {
  std::vector<Candidate> candidates = this->Candidates(query, now, why_not);
  if (candidates.empty()) {
    return why_not == NoChoiceReason::kUnreachable
               ? this->ChooseEjected(query, now)
               : std::nullopt;
  }
  Candidate* best = nullptr;
  std::optional<CapacityLimit> affinity_limit;
  this->capacity_limits = {};
  for (Candidate& candidate : candidates) {
    this->Weigh(query, candidate, now);
    ++this->capacity_limits[static_cast<std::size_t>(candidate.limit)];
    if (candidate.IsFirstHome()) {
      affinity_limit = candidate.limit;
    }
    if (candidate.limit != CapacityLimit::kNone) {
      continue;
    }
    // A request that may run once is no trial while there are others.
    if (candidate.trial && !query.route->MayRepeat() && candidates.size() > 1) {
      candidate.cost += kSuspectedDataCentre;
    }
    if (candidate.trial && query.route->MayRepeat()) {
      best = &candidate;
      break;
    }
    if (best == nullptr || candidate.cost < best->cost) {
      best = &candidate;
    }
  }
  if (best == nullptr || this->WaitsForHome(query, candidates, *best, now)) {
    why_not = NoChoiceReason::kHeldBack;
    return std::nullopt;
  }
  ChoiceReason reason = ChoiceReason::kCheapest;
  if (best->trial) {
    reason = ChoiceReason::kTrial;
    this->server_health.RecordTrial(best->server->id, now);
  } else if (best->IsFirstHome()) {
    reason = ChoiceReason::kPromptAffinity;
  }
  return ServerChoice{.server = *best->server,
                      .reason = reason,
                      .is_reserved = this->IsSetAside(query, best->server->id),
                      .predicted_first_event = best->predicted,
                      .added_load = FootprintOf(
                          query, static_cast<int>(best->inputs.prefill_tokens)),
                      .latency_inputs = best->inputs,
                      .load = best->load,
                      .cached_tokens = best->cached_tokens,
                      .candidate_count = static_cast<int>(candidates.size()),
                      .affinity_limit = affinity_limit};
}

std::optional<ServerChoice> Placer::ChooseEjected(const PlacementQuery& query,
                                                  TimePoint now) const {
  const RegisteredServer* best = nullptr;
  for (const auto& [id, server] : this->directory.servers()) {
    const bool tried =
        std::find(query.tried_servers.begin(), query.tried_servers.end(), id) !=
        query.tried_servers.end();
    if (!TakesRequestsOf(server, query.service->name) || tried) {
      continue;
    }
    if (best == nullptr || this->server_health.EjectedUntil(id) <
                               this->server_health.EjectedUntil(best->id)) {
      best = &server;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  Candidate candidate{.server = best, .load = this->LoadOf(best->id, now)};
  this->Weigh(query, candidate, now);
  return ServerChoice{
      .server = *best,
      .reason = ChoiceReason::kOnlyEjected,
      .is_reserved = this->IsSetAside(query, best->id),
      .predicted_first_event = candidate.predicted,
      .added_load =
          FootprintOf(query, static_cast<int>(candidate.inputs.prefill_tokens)),
      .latency_inputs = candidate.inputs,
      .load = candidate.load,
      .cached_tokens = candidate.cached_tokens,
      .candidate_count = 1};
}

ServerLoad Placer::FootprintOf(const PlacementQuery& query, int unread_tokens) {
  return {.running = 1,
          .prefill_tokens = unread_tokens,
          .kv_tokens = query.prompt_tokens + query.answer_tokens,
          .long_prefill_tokens =
              unread_tokens >= kLongPromptTokens ? unread_tokens : 0,
          .gap_sensitive_streams = IsBrittle(*query.route) ? 1 : 0};
}

void Placer::RecordSend(const PlacementQuery& query, const ServerChoice& choice,
                        TimePoint now) {
  this->loads.Add(choice.server.id, choice.added_load);
  RecentlySent& sent = this->recent[choice.server.id];
  if (now - sent.since > this->interval) {
    sent = {.since = now};
  }
  sent.load += choice.added_load;
  this->caches.RecordPrompt(choice.server.id, query.parts, now);
}

void Placer::RecordFirstEvent(const PlacementQuery& query, ServerChoice& choice,
                              Duration elapsed, TimePoint now) {
  const ServerLoad read{
      .prefill_tokens = choice.added_load.prefill_tokens,
      .long_prefill_tokens = choice.added_load.long_prefill_tokens};
  this->loads.Subtract(choice.server.id, read);
  choice.added_load.prefill_tokens = 0;
  choice.added_load.long_prefill_tokens = 0;
  this->speeds[{query.service->name, choice.is_reserved}].Observe(
      choice.server.id, choice.latency_inputs, elapsed, now);
}

void Placer::RecordEnd(const ServerChoice& choice) {
  this->loads.Subtract(choice.server.id, choice.added_load);
}

bool Placer::RecordResult(const ServerChoice& choice, SendResult result,
                          TimePoint now) {
  return this->server_health.RecordResult(choice.server.id, result, now);
}

void Placer::ObserveSilence(const PlacementQuery& query,
                            const ServerChoice& choice, Duration silence,
                            TimePoint now) {
  this->speeds[{query.service->name, choice.is_reserved}].ObserveSilence(
      choice.server.id, choice.latency_inputs, silence, now);
}

Duration Placer::EstimateRetryDelay(const PlacementQuery& query,
                                    TimePoint now) const {
  // The least loaded server's queue, worked off at the service's speed.
  double least = 0;
  bool first = true;
  for (const auto& [id, server] : this->directory.servers()) {
    if (!TakesRequestsOf(server, query.service->name)) {
      continue;
    }
    const ServerLoad load = this->LoadOf(id, now);
    const double over =
        static_cast<double>(load.running) / std::max(1, server.slots);
    least = first ? over : std::min(least, over);
    first = false;
  }
  constexpr Duration kLeast = std::chrono::milliseconds(200);
  constexpr Duration kMost = std::chrono::seconds(3);
  const Duration wait = FromSeconds(ToSeconds(query.route->target) * least);
  return std::clamp(wait, kLeast, kMost);
}

void Placer::Forget(const std::string& server) {
  this->caches.Forget(server);
  this->server_health.Forget(server);
  this->reported.erase(server);
  this->recent.erase(server);
  for (auto& [name, speed] : this->speeds) {
    speed.Forget(server);
  }
}

void Placer::SetReportedLoad(const std::string& server, int running,
                             int waiting, TimePoint now) {
  this->reported[server] = {.running = running, .waiting = waiting, .at = now};
}

}  // namespace rosemarycove
