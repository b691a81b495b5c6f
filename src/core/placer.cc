#include "core/placer.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <tuple>
#include <utility>

namespace rosemarycove {
namespace {

// Cost terms. A cost of 1 is the value of one request.

// The cost of lateness is the predicted time relative to the aimed time, to
// this power, so that delay hardly counts until it comes near the target.
constexpr double kLatenessExponent = 4;
constexpr double kMaxLatenessCost = 4;
// Cost of prefilling shared tokens again, as a multiple of their fraction of
// the request's own work.
constexpr double kRecomputeCost = 2.5;
// The same where engines are weighed. Each data centre has affinity servers of
// its own there, so more is read again, which slows other requests of the
// engine.
constexpr double kWeighedRecomputeCost = 5;
// The fraction of that cost that counts at the affinity servers of a part, by
// rank: the first server prefills the part in any case, and the next ones do
// when the first has no capacity.
constexpr std::array<double, 3> kRecomputeCostByRank = {0, 0.5, 0.75};
// A server in another data centre costs traffic and a little time.
constexpr double kRemoteServerCost = 0.01;
// The same where engines are weighed, in addition to the cost of the bytes.
constexpr double kAwayCost = 0.02;
// There, servers in another data centre keep the headroom of so many tiers for
// more urgent work of their own.
constexpr int kTiersKeptAway = 2;
// For each stream with a short gap target that a long prefill would pause.
constexpr double kPausedStreamCost = 0.1;
// For a stream with a short gap target, for each kLongPrefillUnitTokens of
// pending prefill of long prompts.
constexpr double kLongPrefillCost = 0.02;
constexpr double kLongPrefillUnitTokens = 1000;
// For a server on the other side of the partition.
constexpr double kWrongPartitionCost = 0.35;
// The largest bias against a server. Instances have different biases, so those
// that see the same loads do not all choose the same one of similar servers.
constexpr double kMaxBiasCost = 0.06;
// For a server in a data centre that seems unreachable, or a server on trial if
// the request must not be executed twice.
constexpr double kRiskyServerCost = 10;
// For an engine whose KV cache would be full.
constexpr double kMemoryFullCost = 2;
// Work of generating an output token relative to prefilling a prompt token, in
// a typical batch.
constexpr double kOutputTokenWork = 30;

// The reserved share of a service's engines before its work is measured.
constexpr double kInitialReservedShare = 0.45;
// Recent work decays to 1/e in this time: bursts last for several seconds, and
// each change of the partition gives prompts other affinity servers.
constexpr Duration kWorkDecayTime = std::chrono::seconds(6);
// The work that another instance reported is used for this long.
constexpr Duration kPeerWorkMaxAge = std::chrono::seconds(3);
// Minimum number of requests at all instances before a service is partitioned
// by its work. Their number is estimated from the requests of this instance.
constexpr int kMinRequestsSeen = 40;
// Bounds of the share of engines that is reserved for pause-tolerant routes.
constexpr double kMinReservedShare = 0.15;
constexpr double kMaxReservedShare = 0.7;
// Services with fewer engines are not partitioned.
constexpr int kMinEnginesToPartition = 4;
// Minimum change of the reserved share; each change moves prompts away from the
// engines where they are cached.
constexpr double kReservedShareStep = 0.12;
// The same where engines are weighed: their order is stable, so a change moves
// few engines.
constexpr double kWeighedShareStep = 0.08;
// There, the part of the share of pause-tolerant work that is reserved. Their
// targets are longer, so their engines can be used more fully.
constexpr double kReservedPartOfWork = 0.9;
// Seeds the order in which engines are reserved; the same at every instance.
constexpr std::uint64_t kPartitionSeed = 0x51DE;
// Delay for each request that a server runs beyond its slots, as a fraction of
// the predicted time to the first event.
constexpr double kQueuedRequestDelay = 0.15;

// Share of an engine's KV cache and of its slots that tier 0 may use; less than
// all of the cache, since the lengths of the responses are estimates.
constexpr double kMaxMemoryShare = 0.8;
constexpr double kMaxSlotShare = 1.0;
// Share of the KV cache that pause-tolerant requests of tier 0 may use. They
// are long, and a step of the engine takes longer the more the cache holds. The
// rest keeps shared parts cached.
constexpr double kMaxPauseTolerantMemoryShare = 0.65;
// Headroom that each less important tier leaves in addition, as a share, up to
// tier number kMaxHeadroomTier.
constexpr double kHeadroomPerTier = 0.06;
constexpr int kMaxHeadroomTier = 4;
// Recent arrivals decay to 1/e in this time.
constexpr Duration kArrivalDecayTime = std::chrono::seconds(2);
// Expected number of instances that use a free slot: servers queue a few
// requests.
constexpr double kUsersPerFreeSlot = 1.5;
// Time between two decisions on waiting requests, in which nothing is reported.
constexpr Duration kPlacementInterval = std::chrono::milliseconds(50);
// Weight of the latest duration of an attempt in the mean, and the shortest one
// that counts.
constexpr double kDurationWeight = 0.05;
constexpr Duration kMinDuration = std::chrono::milliseconds(20);
// Prompt of a typical request with the service's shortest target, used to
// predict whether such requests stay on time.
constexpr double kTypicalPromptTokens = 600;
// A prefill of at least this many tokens pauses other streams of the engine.
constexpr int kLongPromptTokens = 12000;
// A server that has to read shared tokens again takes a request only if the
// predicted time leaves slack: this multiple of the tokens' share of the
// request's work, as a share of the target. In an overload, reading them again
// takes the capacity of several requests.
constexpr double kSlackToReadAgain = 1.2;
// For an engine at usual speed with all slots in use, so that fast engines get
// more of the load than slow ones.
constexpr double kEngineLoadCost = 0.1;
// A prefill of at least this many tokens counts as long if engines are weighed.
// Prompts that lack little of kLongPromptTokens, or that are half cached, pause
// the streams of a slow engine for longer than a typical gap target.
constexpr int kLongPrefillTokens = 4000;
// A prefill that takes this long costs kPausedStreamCost for each stream that
// it pauses; a shorter one costs less.
constexpr Duration kCostlyPause = std::chrono::milliseconds(100);
// Weights of a stream's gaps and of a time to the first event for the speed of
// an engine. A stream has many gaps, and its first event also waits for others.
constexpr double kGapsWeight = 3;
constexpr double kFirstEventWeight = 1;
// An engine counts as fast above this speed, relative to the usual one, and
// until it falls below the other.
constexpr double kFastSpeed = 1.15;
constexpr double kNoLongerFastSpeed = 1.05;
// Minimum share of a request's work that its affinity server must save for the
// request to wait for it.
constexpr double kMinSavedShareToWait = 0.1;
// Maximum number of gap-sensitive streams per slot of an unreserved engine at
// which it may get a pause-tolerant request.
constexpr double kMaxPausedStreamsPerSlot = 0.05;
// Streams with a gap target up to this are sensitive to gaps.
constexpr Duration kMaxSensitiveGap = std::chrono::milliseconds(400);
// The aimed time as a share of the target; the rest allows for prediction
// errors.
constexpr double kAimedTargetShare = 0.85;
// A server is full at this many queued requests per slot.
constexpr double kMaxQueuedPerSlot = 1.5;
// A request that failed without a response at this many servers is relayed, if
// none of its service answered in between.
constexpr int kFailedServersToRelay = 2;
// A request that finds no capacity is relayed if one in this many servers, or
// more, is out of reach.
constexpr int kServersPerOutOfReach = 3;
// Requests of other instances that show that they reach a server; a single one
// may be an attempt that is about to fail.
constexpr int kMinPeerRequests = 2;
// A server's own report of its load is used for this long.
constexpr Duration kReportMaxAge = std::chrono::milliseconds(400);

constexpr double kMillisecondsPerSecond = 1000;

// Returns the tokens of the prompt parts that other requests share.
int SharedTokens(const PlacementQuery& query) {
  int tokens = 0;
  for (const PromptPart& part : SharedParts(query.parts)) {
    tokens += part.tokens;
  }
  return tokens;
}

// Returns the request's work, in prompt tokens.
double WorkOf(const PlacementQuery& query) {
  return query.prompt_tokens + kOutputTokenWork * query.expected_output_tokens;
}

bool AcceptsRequestsOf(const RegisteredServer& server,
                       const std::string& service) {
  return server.service == service && !server.is_draining;
}

bool RunsAllowedSoftware(const RegisteredServer& server,
                         const PlacementQuery& query) {
  if (!query.required_software && query.excluded_software.empty()) {
    return true;
  }
  const std::uint64_t software = SoftwareHash(server);
  return software == query.required_software.value_or(software) &&
         std::find(query.excluded_software.begin(),
                   query.excluded_software.end(),
                   software) == query.excluded_software.end();
}

bool Accepts(const RegisteredServer& server, const PlacementQuery& query) {
  return AcceptsRequestsOf(server, query.service->name) &&
         RunsAllowedSoftware(server, query);
}

bool WasTried(const PlacementQuery& query, const std::string& server) {
  return std::find(query.tried_servers.begin(), query.tried_servers.end(),
                   server) != query.tried_servers.end();
}

// Adds the ranks of the servers with the highest scores, as many as have one.
template <typename Score>
void AddRanks(std::vector<std::pair<Score, const RegisteredServer*>>& ranked,
              std::map<const RegisteredServer*, int>& ranks) {
  const std::size_t count =
      std::min(kRecomputeCostByRank.size(), ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), std::greater<>());
  for (std::size_t i = 0; i < count; ++i) {
    ranks.emplace(ranked[i].second, static_cast<int>(i));
  }
}

double TokensWorthBytesOf(const PlacementQuery& query) {
  return DataCentreChoice::TokensWorthBytes(
      {.body_bytes = query.body_bytes,
       .prompt_tokens = query.prompt_tokens,
       .expected_output_tokens = query.expected_output_tokens});
}

// Identifies a request by the part of its prompt that no other request has.
std::uint64_t RequestKey(const PlacementQuery& query) {
  return query.parts.empty() ? 0 : query.parts.back().id;
}

bool IsGapSensitive(const Route& route) {
  return route.gap_target && *route.gap_target <= kMaxSensitiveGap;
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
    case NoChoiceReason::kSoftwareGone:
      return "software_gone";
    case NoChoiceReason::kAwaitsSoftware:
      return "awaits_software";
    case NoChoiceReason::kAwaitsAffinity:
      return "awaits_affinity";
    case NoChoiceReason::kRateLimited:
      return "rate_limited";
    case NoChoiceReason::kPaused:
      return "paused";
    case NoChoiceReason::kOutOfReach:
      return "out_of_reach";
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
    case CapacityLimit::kWithheld:
      return "withheld";
    case CapacityLimit::kRate:
      return "rate";
    case CapacityLimit::kContended:
      return "contended";
    case CapacityLimit::kPaused:
      return "paused";
    case CapacityLimit::kBrittle:
      return "brittle";
    case CapacityLimit::kKept:
      return "kept";
  }
  return "unknown";
}

Placer::Placer(PlacerOptions options, const BackendDirectory& directory)
    : options(std::move(options)),
      directory(directory),
      instance_seed(IdHash(this->options.instance)),
      server_reach(directory),
      limits(this->options.instance),
      brittle(this->options.instance),
      server_availability(this->options.instance) {}

const LatencyModel& Placer::LatencyModelOf(const std::string& service,
                                           bool is_reserved) const {
  static const LatencyModel kUntrained;
  const auto found = this->latency_models.find({service, is_reserved});
  return found == this->latency_models.end() ? kUntrained : found->second;
}

ServerLoad Placer::UnreportedLoad(const std::string& server,
                                  TimePoint now) const {
  const auto found = this->recently_sent.find(server);
  if (found == this->recently_sent.end() ||
      now - found->second.interval_start > this->report_interval) {
    return {};
  }
  const int others = this->instance_count - 1;
  return {.running = others * found->second.load.running,
          .kv_tokens = others * found->second.load.kv_tokens};
}

ServerLoad Placer::EstimateLoad(const std::string& server,
                                TimePoint now) const {
  ServerLoad load = this->load_ledger.TotalLoad(server, now);
  const auto found = this->reported_loads.find(server);
  if (found == this->reported_loads.end() ||
      now - found->second.received_at > kReportMaxAge) {
    return load;
  }
  // The report includes requests of instances that this one cannot reach.
  // These are assumed to be of the same size as the known ones.
  const int reported = found->second.running + found->second.waiting;
  if (reported > load.running) {
    const int unknown = reported - load.running;
    load.kv_tokens += unknown * (load.kv_tokens / std::max(1, load.running));
    load.running = reported;
  }
  return load;
}

double Placer::UsableSlots(const RegisteredServer& server, int tier) {
  return (kMaxSlotShare - kHeadroomPerTier * std::min(tier, kMaxHeadroomTier)) *
         server.slots;
}

void Placer::Arrivals::Add(int tier, TimePoint now) {
  const double kept = std::exp(-ToSeconds(now - this->updated_at) /
                               ToSeconds(kArrivalDecayTime));
  for (auto& [other_tier, count] : this->count_by_tier) {
    count *= kept;
  }
  this->count_by_tier[tier] += 1;
  this->updated_at = now;
}

int Placer::InstancesWithin(const PlacementQuery& query, bool is_away) const {
  const auto found = this->engine_partitions.find(query.service->name);
  const int centres = found == this->engine_partitions.end()
                          ? 1
                          : std::max(1, found->second.centre_count);
  const int at_home = std::max(1, this->instance_count / centres);
  return is_away ? std::max(1, this->instance_count - at_home) : at_home;
}

double Placer::ExpectedRivals(const PlacementQuery& query,
                              const Candidate& candidate, int running,
                              TimePoint now) const {
  const auto found =
      this->recent_arrivals.find({query.service->name, query.tolerates_pauses});
  if (found == this->recent_arrivals.end()) {
    return 0;
  }
  double count = 0;
  for (const auto& [tier, arrivals] : found->second.count_by_tier) {
    if (UsableSlots(*candidate.server, tier) >= running + 1) {
      count += arrivals;
    }
  }
  double rate = count / ToSeconds(kArrivalDecayTime);
  int others = this->instance_count - 1;
  if (this->WeighsEngines(*query.service)) {
    others = this->InstancesWithin(query, candidate.is_away) - 1;
    if (candidate.is_away) {
      rate = std::min(
          rate, this->centre_choice.OverloadRate(query.service->name, now));
    }
  }
  const double rivals = rate * others * ToSeconds(this->UnreportedTime());
  // Requests with other prompts have other affinity servers, which are in the
  // same data centre where engines are weighed.
  return candidate.affinity_rank == 0
             ? rivals / std::max(1, this->SideCount(query, *candidate.server))
             : rivals;
}

bool Placer::WinsSlot(const PlacementQuery& query, const Candidate& candidate,
                      int running, TimePoint now) const {
  const RegisteredServer& server = *candidate.server;
  const double rivals = this->ExpectedRivals(query, candidate, running, now);
  double free_slots = UsableSlots(server, query.tier) - running;
  const auto duration = this->mean_durations.find(
      {query.service->name, this->IsReserved(query, server.id)});
  if (duration != this->mean_durations.end()) {
    free_slots += running * std::min(1.0, ToSeconds(this->UnreportedTime()) /
                                              ToSeconds(duration->second));
  }
  if (kUsersPerFreeSlot * free_slots >= rivals) {
    return true;
  }
  // The same for all requests until the next report.
  const auto round = static_cast<std::uint64_t>(now.time_since_epoch() /
                                                this->report_interval);
  const std::uint64_t key = RendezvousScore(round, this->options.instance);
  return UnitScore(key, server.id) < kUsersPerFreeSlot * free_slots / rivals;
}

Duration Placer::UnreportedTime() const {
  return (this->report_interval + kPlacementInterval) / 2;
}

int Placer::SideCount(const PlacementQuery& query,
                      const RegisteredServer& server) const {
  const bool is_reserved = this->IsReserved(query, server.id);
  const bool weighs_engines = this->WeighsEngines(*query.service);
  return static_cast<int>(std::count_if(
      this->directory.servers().begin(), this->directory.servers().end(),
      [&](const auto& item) {
        return this->IsStaying(item.second, query.service->name) &&
               this->IsReserved(query, item.first) == is_reserved &&
               (!weighs_engines ||
                item.second.data_centre == server.data_centre);
      }));
}

double Placer::InstanceBias(const std::string& server) const {
  return UnitScore(this->instance_seed, server);
}

bool Placer::IsReserved(const PlacementQuery& query,
                        const std::string& server) const {
  const auto found = this->engine_partitions.find(query.service->name);
  return found != this->engine_partitions.end() &&
         found->second.reserved_servers.contains(server);
}

bool Placer::IsWithheld(const PlacementQuery& query,
                        const std::string& server) const {
  const WithheldEngines& withheld = query.withheld;
  const auto found = this->engine_partitions.find(query.service->name);
  if (found == this->engine_partitions.end() ||
      found->second.reserved_servers.empty()) {
    return withheld.reserved || withheld.unreserved;
  }
  return found->second.reserved_servers.contains(server) ? withheld.reserved
                                                         : withheld.unreserved;
}

void Placer::RecentWork::DecayTo(TimePoint now) {
  const double kept =
      std::exp(-ToSeconds(now - this->updated_at) / ToSeconds(kWorkDecayTime));
  this->pause_tolerant_work *= kept;
  this->other_work *= kept;
  this->updated_at = now;
}

double Placer::PauseTolerantShare(const std::string& service,
                                  TimePoint now) const {
  const auto found = this->engine_partitions.find(service);
  RecentWork all = found == this->engine_partitions.end()
                       ? RecentWork{.updated_at = now}
                       : found->second.work;
  all.DecayTo(now);
  const std::uint64_t service_hash = IdHash(service);
  for (const auto& [peer, report] : this->peer_work) {
    for (const ServicePartition& partition : report.partitions) {
      if (partition.service_hash == service_hash &&
          now - report.received_at <= kPeerWorkMaxAge) {
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

void Placer::UpdatePartition(const RoutedService& routed_service,
                             TimePoint now) {
  const std::string& service = routed_service.name;
  EnginePartition& partition = this->engine_partitions[service];
  const double tolerant_share =
      this->is_partition_leader ? this->PauseTolerantShare(service, now) : 0;
  const double wanted =
      tolerant_share <= 0
          ? 0
          : std::clamp(tolerant_share, kMinReservedShare, kMaxReservedShare);
  const double step = this->WeighsEngines(routed_service) ? kWeighedShareStep
                                                          : kReservedShareStep;
  if (this->is_partition_leader &&
      partition.requests_seen * this->instance_count >= kMinRequestsSeen &&
      std::abs(wanted - partition.reserved_share) >= step) {
    this->SetReservedShare(service, wanted);
  }
  if (this->WeighsEngines(routed_service)) {
    this->ReserveBySpeed(service, partition);
    return;
  }
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  for (const auto& [id, server] : this->directory.servers()) {
    if (this->IsStaying(server, service)) {
      ranked.emplace_back(RendezvousScore(kPartitionSeed, id), &id);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  const auto count = static_cast<int>(ranked.size());
  const int reserved_count =
      count < kMinEnginesToPartition
          ? 0
          : static_cast<int>(std::lround(partition.reserved_share * count));
  partition.reserved_servers.clear();
  for (int i = 0; i < reserved_count; ++i) {
    partition.reserved_servers.insert(
        *ranked[static_cast<std::size_t>(i)].second);
  }
}

void Placer::ReserveBySpeed(const std::string& service,
                            EnginePartition& partition) {
  // Slow engines first: short targets need fast ones.
  struct Ranked {
    bool is_fast = false;
    std::uint64_t score = 0;
    const std::string* id = nullptr;
    bool operator<(const Ranked& other) const {
      return std::tie(this->is_fast, this->score) <
             std::tie(other.is_fast, other.score);
    }
  };
  std::map<std::string, std::vector<Ranked>> ranked_by_centre;
  std::array<double, 2> sums{};
  std::array<int, 2> counts{};
  for (const auto& [id, server] : this->directory.servers()) {
    if (!this->IsStaying(server, service)) {
      continue;
    }
    const double speed = 1 / this->speeds.UsualSlowdown(id);
    if (speed > kFastSpeed) {
      partition.fast_servers.insert(id);
    } else if (speed < kNoLongerFastSpeed) {
      partition.fast_servers.erase(id);
    }
    const bool is_fast = partition.fast_servers.contains(id);
    sums[is_fast ? 1 : 0] += speed;
    ++counts[is_fast ? 1 : 0];
    ranked_by_centre[server.data_centre].push_back(
        {is_fast, RendezvousScore(kPartitionSeed, id), &id});
  }
  for (std::size_t i = 0; i < counts.size(); ++i) {
    partition.typical_speeds[i] = counts[i] > 0 ? sums[i] / counts[i] : 1;
  }
  partition.centre_count = static_cast<int>(ranked_by_centre.size());
  partition.reserved_servers.clear();
  const double share = kReservedPartOfWork * partition.reserved_share;
  const auto reserve = [&](std::vector<Ranked>& ranked) {
    if (static_cast<int>(ranked.size()) < kMinEnginesToPartition) {
      return;
    }
    std::sort(ranked.begin(), ranked.end());
    const auto speed_of = [&](const Ranked& engine) {
      return partition.typical_speeds[engine.is_fast ? 1 : 0];
    };
    double total = 0;
    for (const Ranked& engine : ranked) {
      total += speed_of(engine);
    }
    double sum = 0;
    for (const Ranked& engine : ranked) {
      sum += speed_of(engine);
      if (sum - speed_of(engine) / 2 > share * total) {
        return;
      }
      partition.reserved_servers.insert(*engine.id);
    }
  };
  // Of each data centre that is large enough, the same share is reserved, so
  // that all requests have engines at home.
  std::vector<Ranked> others;
  for (auto& [centre, ranked] : ranked_by_centre) {
    if (static_cast<int>(ranked.size()) >= kMinEnginesToPartition) {
      reserve(ranked);
    } else {
      others.insert(others.end(), ranked.begin(), ranked.end());
    }
  }
  reserve(others);
}

double Placer::TypicalSpeed(const PlacementQuery& query,
                            const std::string& server) const {
  const auto found = this->engine_partitions.find(query.service->name);
  if (found == this->engine_partitions.end()) {
    return 1;
  }
  const EnginePartition& partition = found->second;
  return partition
      .typical_speeds[partition.fast_servers.contains(server) ? 1 : 0];
}

void Placer::SetReservedShare(const std::string& service, double share) {
  EnginePartition& partition = this->engine_partitions[service];
  if (share == partition.reserved_share) {
    return;
  }
  this->partition_changes.push_back({.service = service,
                                     .reserved_share = share,
                                     .previous_share = partition.reserved_share,
                                     .is_leader = this->is_partition_leader});
  partition.reserved_share = share;
}

void Placer::RecordRequest(const PlacementQuery& query, TimePoint now) {
  if (!query.service->IsModel()) {
    return;
  }
  this->recent_arrivals[{query.service->name, query.tolerates_pauses}].Add(
      query.tier, now);
  EnginePartition& partition = this->engine_partitions[query.service->name];
  if (query.tolerates_pauses && partition.reserved_share == 0) {
    this->SetReservedShare(query.service->name, kInitialReservedShare);
  }
  const double work = WorkOf(query);
  ++partition.requests_seen;
  partition.work.DecayTo(now);
  (query.tolerates_pauses ? partition.work.pause_tolerant_work
                          : partition.work.other_work) += work;
  this->UpdatePartition(*query.service, now);
}

std::vector<ServicePartition> Placer::Partitions(TimePoint now) const {
  std::vector<ServicePartition> partitions;
  for (const auto& [service, partition] : this->engine_partitions) {
    RecentWork work = partition.work;
    work.DecayTo(now);
    partitions.push_back({.service_hash = IdHash(service),
                          .reserved_share = partition.reserved_share,
                          .pause_tolerant_work = work.pause_tolerant_work,
                          .other_work = work.other_work});
  }
  return partitions;
}

void Placer::SetPeerWork(const std::string& peer,
                         const std::vector<ServicePartition>& partitions,
                         TimePoint now) {
  this->peer_work[peer] = {.partitions = partitions, .received_at = now};
}

void Placer::RemovePeer(const std::string& peer) {
  this->load_ledger.RemovePeer(peer);
  this->peer_work.erase(peer);
}

void Placer::FollowPartitions(const std::vector<ServicePartition>& partitions) {
  this->is_partition_leader = false;
  for (auto& [service, own] : this->engine_partitions) {
    const std::uint64_t service_hash = IdHash(service);
    for (const ServicePartition& partition : partitions) {
      if (partition.service_hash == service_hash &&
          partition.reserved_share > 0) {
        this->SetReservedShare(service, partition.reserved_share);
      }
    }
  }
}

std::map<const RegisteredServer*, int> Placer::AffinityRanks(
    const PlacementQuery& query) const {
  if (query.parts.size() < 2) {
    return {};
  }
  if (this->WeighsEngines(*query.service)) {
    return this->WeighedAffinityRanks(query);
  }
  const std::uint64_t part = query.parts[query.parts.size() - 2].id;
  std::vector<std::pair<std::uint64_t, const RegisteredServer*>> ranked;
  for (const auto& [id, server] : this->directory.servers()) {
    if (Accepts(server, query) &&
        this->IsStaying(server, query.service->name) &&
        this->IsReserved(query, id) == query.tolerates_pauses) {
      ranked.emplace_back(RendezvousScore(part, id), &server);
    }
  }
  std::map<const RegisteredServer*, int> ranks;
  AddRanks(ranked, ranks);
  return ranks;
}

std::map<const RegisteredServer*, int> Placer::WeighedAffinityRanks(
    const PlacementQuery& query) const {
  const std::uint64_t part = query.parts[query.parts.size() - 2].id;
  std::map<std::string_view,
           std::vector<std::pair<double, const RegisteredServer*>>>
      ranked_by_centre;
  for (const auto& [id, server] : this->directory.servers()) {
    if (Accepts(server, query) &&
        this->IsStaying(server, query.service->name) &&
        this->IsReserved(query, id) == query.tolerates_pauses) {
      // Weighted rendezvous hashing: the share of the parts is in proportion to
      // the speed.
      ranked_by_centre[server.data_centre].emplace_back(
          std::log(UnitScore(part, id)) / this->TypicalSpeed(query, id),
          &server);
    }
  }
  std::map<const RegisteredServer*, int> ranks;
  for (auto& [centre, ranked] : ranked_by_centre) {
    AddRanks(ranked, ranks);
  }
  return ranks;
}

bool Placer::IsStaying(const RegisteredServer& server,
                       const std::string& service) const {
  return AcceptsRequestsOf(server, service) &&
         !this->server_availability.IsLeaving(server);
}

std::vector<Placer::Candidate> Placer::Candidates(
    const PlacementQuery& query, TimePoint now, NoChoiceReason& why_not) const {
  why_not = query.required_software ? NoChoiceReason::kSoftwareGone
                                    : NoChoiceReason::kNoServer;
  std::vector<Candidate> candidates;
  std::vector<Candidate> leaving;
  const std::map<const RegisteredServer*, int> affinity_ranks =
      this->AffinityRanks(query);
  const bool weighs_engines = this->WeighsEngines(*query.service);
  for (const auto& [id, server] : this->directory.servers()) {
    if (!Accepts(server, query) ||
        this->server_availability.HasLeft(server, now)) {
      continue;
    }
    if (WasTried(query, id)) {
      why_not = NoChoiceReason::kUnreachable;
      continue;
    }
    const ServerHealthStatus health = this->server_health.StatusOf(id, now);
    if (health == ServerHealthStatus::kEjected) {
      why_not = NoChoiceReason::kUnreachable;
      continue;
    }
    Candidate candidate{
        .server = &server,
        .load = this->EstimateLoad(id, now),
        .is_trial = health == ServerHealthStatus::kTrial,
        .is_leaving = this->server_availability.IsLeaving(server)};
    candidate.is_away =
        weighs_engines && server.data_centre != this->options.data_centre;
    const auto affinity = affinity_ranks.find(&server);
    if (affinity != affinity_ranks.end()) {
      candidate.affinity_rank = affinity->second;
    }
    const double queued = candidate.load.running - server.slots;
    if (queued >= kMaxQueuedPerSlot * server.slots) {
      why_not = NoChoiceReason::kFull;
      continue;
    }
    (candidate.is_leaving ? leaving : candidates).push_back(candidate);
  }
  if (leaving.empty()) {
    return candidates;
  }
  const bool others_take_requests = std::any_of(
      candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
        return this->TakesNow(*candidate.server, query.tier, now);
      });
  if (!others_take_requests) {
    candidates.insert(candidates.end(), leaving.begin(), leaving.end());
  }
  return candidates;
}

void Placer::Evaluate(const PlacementQuery& query, Candidate& candidate,
                      TimePoint now) const {
  const RegisteredServer& server = *candidate.server;
  const bool weighs_engines = this->WeighsEngines(*query.service);
  const int shared = SharedTokens(query);
  candidate.cached_tokens = std::min(
      shared,
      this->prompt_caches.CachedTokens(
          LifetimeHash(server.id, server.incarnation), query.parts, now));
  const int prefill_tokens =
      std::max(0, query.prompt_tokens - candidate.cached_tokens);
  candidate.inputs = {.prefill_tokens = static_cast<double>(prefill_tokens),
                      .prefill_tokens_ahead =
                          static_cast<double>(candidate.load.prefill_tokens),
                      .running = static_cast<double>(
                          std::min(candidate.load.running, server.slots))};
  candidate.predicted =
      this->PredictFirstEvent(query, server.id, candidate.inputs, now);
  double predicted_ms = ToMilliseconds(candidate.predicted);
  const double queued = std::max(0, candidate.load.running + 1 - server.slots);
  predicted_ms *= 1 + kQueuedRequestDelay * queued;
  candidate.predicted = FromSeconds(predicted_ms / kMillisecondsPerSecond);
  const double aim_ms = kAimedTargetShare * ToMilliseconds(query.route->target);
  const double spread =
      weighs_engines ? this->LatencyModelOf(query.service->name,
                                            this->IsReserved(query, server.id))
                           .CostSpread()
                     : 1;
  double cost =
      std::min(kMaxLatenessCost,
               spread * std::pow(predicted_ms / aim_ms, kLatenessExponent));
  if (shared > 0) {
    const double rank_share =
        candidate.affinity_rank && !candidate.is_away
            ? kRecomputeCostByRank[*candidate.affinity_rank]
            : 1;
    cost += rank_share *
            (weighs_engines ? kWeighedRecomputeCost : kRecomputeCost) *
            (shared - candidate.cached_tokens) / std::max(1.0, WorkOf(query));
  }
  if (query.service->IsModel() &&
      this->IsReserved(query, server.id) != query.tolerates_pauses) {
    cost += kWrongPartitionCost;
  }
  if (candidate.is_away) {
    cost += kAwayCost + CostOfTokens(query, TokensWorthBytesOf(query));
  } else if (server.data_centre != this->options.data_centre) {
    cost += kRemoteServerCost;
  }
  if (!candidate.affinity_rank) {
    cost += kMaxBiasCost * this->InstanceBias(server.id);
  }
  if (this->suspected_centres.contains(server.data_centre)) {
    cost += kRiskyServerCost;
  }
  if (weighs_engines) {
    cost += this->EngineCost(query, candidate, now);
  } else if (prefill_tokens >= kLongPromptTokens) {
    cost += kPausedStreamCost * candidate.load.gap_sensitive_streams;
  }
  if (IsGapSensitive(*query.route)) {
    cost += kLongPrefillCost * candidate.load.long_prefill_tokens /
            kLongPrefillUnitTokens;
  }
  if (query.service->kv_capacity_tokens > 0) {
    const double kv_tokens = candidate.load.kv_tokens + query.prompt_tokens +
                             query.expected_output_tokens;
    if (kv_tokens > kMaxMemoryShare * query.service->kv_capacity_tokens) {
      cost += kMemoryFullCost;
    }
  }
  candidate.cost = cost;
  candidate.limit = this->FindCapacityLimit(query, candidate, now);
}

Duration Placer::PredictFirstEvent(const PlacementQuery& query,
                                   const std::string& server,
                                   const LatencyInputs& inputs,
                                   TimePoint now) const {
  const LatencyModel& model = this->LatencyModelOf(
      query.service->name, this->IsReserved(query, server));
  return this->WeighsEngines(*query.service)
             ? FromSeconds(ToSeconds(model.PredictUsual(inputs)) *
                           this->speeds.Slowdown(server, now))
             : model.Predict(server, inputs, now);
}

double Placer::EngineCost(const PlacementQuery& query,
                          const Candidate& candidate, TimePoint now) const {
  const RegisteredServer& server = *candidate.server;
  const bool is_reserved = this->IsReserved(query, server.id);
  const double slowdown = this->speeds.Slowdown(server.id, now);
  double cost = kEngineLoadCost * this->speeds.UsualSlowdown(server.id) *
                (candidate.load.running + 1) / std::max(1, server.slots);
  const LatencyModel& model =
      this->LatencyModelOf(query.service->name, is_reserved);
  const Duration prefill =
      model.PredictUsual({.prefill_tokens = candidate.inputs.prefill_tokens}) -
      model.PredictUsual({});
  cost +=
      kPausedStreamCost * candidate.load.gap_sensitive_streams *
      std::min(1.0, slowdown * ToSeconds(prefill) / ToSeconds(kCostlyPause));
  const auto pace = this->stream_paces.find({query.service->name, is_reserved});
  if (query.route->gap_target && pace != this->stream_paces.end()) {
    const Duration longest = pace->second.PredictLongest(
        {.prefill_tokens_ahead =
             static_cast<double>(candidate.load.long_prefill_tokens),
         .running = candidate.inputs.running});
    const double relative =
        slowdown * ToSeconds(longest) /
        (kAimedTargetShare * ToSeconds(*query.route->gap_target));
    cost +=
        std::min(kMaxLatenessCost, pace->second.CostSpread() *
                                       std::pow(relative, kLatenessExponent));
  }
  return cost;
}

double Placer::CostOfTokens(const PlacementQuery& query, double tokens) {
  return kWeighedRecomputeCost * tokens / std::max(1.0, WorkOf(query));
}

double Placer::LimitAway(const PlacementQuery& query,
                         Candidate& candidate) const {
  const int tier = std::min(query.tier + kTiersKeptAway, kMaxHeadroomTier);
  const double spare =
      UsableSlots(*candidate.server, tier) - candidate.load.running;
  if (candidate.limit != CapacityLimit::kNone) {
    return 0;
  }
  if (spare < 1) {
    candidate.limit = CapacityLimit::kSlots;
    return 0;
  }
  const int capacity = query.service->kv_capacity_tokens;
  if (capacity > 0 &&
      candidate.load.kv_tokens + query.prompt_tokens +
              query.expected_output_tokens >
          (kMaxPauseTolerantMemoryShare - kHeadroomPerTier * tier) * capacity) {
    candidate.limit = CapacityLimit::kMemory;
    return 0;
  }
  return spare;
}

LeaveReason Placer::WeighDataCentres(const PlacementQuery& query,
                                     std::vector<Candidate>& candidates,
                                     TimePoint now) {
  if (!this->WeighsEngines(*query.service) ||
      std::none_of(candidates.begin(), candidates.end(),
                   [](const Candidate& item) { return !item.is_away; })) {
    return LeaveReason::kNoServer;
  }
  if (this->options.leave_policy == LeavePolicy::kNever) {
    std::erase_if(candidates,
                  [](const Candidate& item) { return item.is_away; });
    return LeaveReason::kNoServer;
  }
  const std::string& service = query.service->name;
  const std::uint64_t key = RequestKey(query);
  const double draw = UnitScore(key, this->options.instance);
  std::map<std::string, double> spare_slots;
  Candidate* home_affinity = nullptr;
  int cached_away = 0;
  for (Candidate& candidate : candidates) {
    if (candidate.is_away) {
      spare_slots[candidate.server->data_centre] +=
          this->LimitAway(query, candidate);
      if (candidate.limit == CapacityLimit::kNone) {
        cached_away = std::max(cached_away, candidate.cached_tokens);
      }
    } else if (candidate.IsFirstAffinity()) {
      home_affinity = &candidate;
    }
  }
  const auto cheapest = [&](bool is_away) -> const Candidate* {
    const Candidate* best = nullptr;
    for (const Candidate& candidate : candidates) {
      if (candidate.is_away == is_away &&
          candidate.limit == CapacityLimit::kNone &&
          (best == nullptr || candidate.cost < best->cost)) {
        best = &candidate;
      }
    }
    return best;
  };
  const Candidate* home = cheapest(false);
  const Candidate* away = cheapest(true);
  if (away == nullptr) {
    return LeaveReason::kFull;
  }
  const bool is_overloaded = home == nullptr || away->cost < home->cost;
  if (!is_overloaded) {
    const int read_tokens = home_affinity == nullptr
                                ? 0
                                : cached_away - home_affinity->cached_tokens;
    if (read_tokens > 0 && !DataCentreChoice::ShouldReadAtHome(
                               read_tokens, TokensWorthBytesOf(query), draw)) {
      home_affinity->cost += CostOfTokens(query, read_tokens);
    }
    return LeaveReason::kCached;
  }
  this->centre_choice.RecordOverload(service, key, now);
  for (const auto& [centre, slots] : spare_slots) {
    this->centre_choice.Update(
        service, centre,
        {.slots = slots, .age = this->load_ledger.MaxPeerAge(now)},
        this->InstancesWithin(query, true), this->UnreportedTime(), now);
  }
  for (Candidate& candidate : candidates) {
    if (candidate.is_away && candidate.limit == CapacityLimit::kNone &&
        !this->centre_choice.MayLeave(service, candidate.server->data_centre,
                                      draw)) {
      candidate.limit = CapacityLimit::kContended;
    }
  }
  return home == nullptr ? LeaveReason::kFull : LeaveReason::kSlow;
}

bool Placer::HasRateFor(const RegisteredServer& server, int tier,
                        TimePoint now) const {
  return this->limits.empty() ||
         this->limits.MaySend(LifetimeHash(server.id, server.incarnation), tier,
                              now);
}

bool Placer::HasSlotIfBrittle(const RegisteredServer& server, int tier,
                              TimePoint now) const {
  if (!this->brittle.IsBrittle(server)) {
    return true;
  }
  const int running = this->EstimateLoad(server.id, now).running;
  return running + 1 <= UsableSlots(server, tier) &&
         this->brittle.HasRoom(server, running, this->load_ledger, now);
}

bool Placer::TakesNow(const RegisteredServer& server, int tier,
                      TimePoint now) const {
  return this->server_availability.MaySend(server, tier, now) &&
         this->HasRateFor(server, tier, now);
}

Duration Placer::MaxPredicted(const PlacementQuery& query,
                              const Candidate& candidate) {
  // In any case, the first affinity server has to read the shared parts.
  if (candidate.IsFirstAffinity()) {
    return query.route->target;
  }
  const int read_again =
      std::max(0, SharedTokens(query) - candidate.cached_tokens);
  const double share = read_again / std::max(1.0, WorkOf(query));
  return FromSeconds(ToSeconds(query.route->target) *
                     std::max(0.0, 1 - kSlackToReadAgain * share));
}

CapacityLimit Placer::FindCapacityLimit(const PlacementQuery& query,
                                        const Candidate& candidate,
                                        TimePoint now) const {
  if (!this->server_availability.MaySend(*candidate.server, query.tier, now)) {
    return CapacityLimit::kPaused;
  }
  if (!this->HasRateFor(*candidate.server, query.tier, now)) {
    return CapacityLimit::kRate;
  }
  const bool is_brittle = this->brittle.IsBrittle(*candidate.server);
  if (!query.service->IsModel() && !is_brittle) {
    return CapacityLimit::kNone;
  }
  if (this->IsWithheld(query, candidate.server->id)) {
    return CapacityLimit::kWithheld;
  }
  ServerLoad load = candidate.load;
  // Affinity servers differ between prompts, so the instances do not all choose
  // the same one at once, and unreported load is not assumed there. The parts
  // of a brittle server's slots leave room for it.
  if (!candidate.affinity_rank && !is_brittle) {
    load += this->UnreportedLoad(candidate.server->id, now);
  }
  const CapacityLimit slot_limit =
      this->FindSlotLimit(query, candidate, load, now);
  if (slot_limit != CapacityLimit::kNone || !query.service->IsModel()) {
    return slot_limit;
  }
  const int tier = std::min(query.tier, kMaxHeadroomTier);
  const double memory_share =
      query.tolerates_pauses ? kMaxPauseTolerantMemoryShare : kMaxMemoryShare;
  if (query.service->kv_capacity_tokens > 0 &&
      load.kv_tokens + query.prompt_tokens + query.expected_output_tokens >
          (memory_share - kHeadroomPerTier * tier) *
              query.service->kv_capacity_tokens &&
      load.running > 0) {
    return CapacityLimit::kMemory;
  }
  if (load.running == 0) {
    return CapacityLimit::kNone;
  }
  // A stream that goes on late is better than one that ends.
  if (query.required_software) {
    return CapacityLimit::kNone;
  }
  if (this->LacksKeptRoom(query, candidate, load, now)) {
    return CapacityLimit::kKept;
  }
  const bool is_reserved = this->IsReserved(query, candidate.server->id);
  if (query.tolerates_pauses && !is_reserved &&
      load.gap_sensitive_streams >
          kMaxPausedStreamsPerSlot * candidate.server->slots) {
    return CapacityLimit::kGapSensitiveStreams;
  }
  if (is_reserved || !query.shortest_target) {
    return candidate.predicted <= MaxPredicted(query, candidate)
               ? CapacityLimit::kNone
               : CapacityLimit::kTooSlow;
  }
  // Typical requests that run on the server or arrive next must stay on time
  // when this one is added.
  const Duration typical = this->PredictFirstEvent(
      query, candidate.server->id,
      {.prefill_tokens = kTypicalPromptTokens,
       .running = static_cast<double>(load.running + 1)},
      now);
  return typical <= *query.shortest_target ? CapacityLimit::kNone
                                           : CapacityLimit::kTooSlow;
}

bool Placer::LacksKeptRoom(const PlacementQuery& query,
                           const Candidate& candidate, const ServerLoad& load,
                           TimePoint now) const {
  const KeptRoom& kept = query.kept_room;
  const RegisteredServer& server = *candidate.server;
  if (kept.slots > 0 &&
      load.running + 1 > UsableSlots(server, query.tier) - kept.slots) {
    return true;
  }
  if (kept.kv_tokens > 0 && query.service->kv_capacity_tokens > 0 &&
      load.kv_tokens + query.prompt_tokens + query.expected_output_tokens +
              kept.kv_tokens >
          kMaxMemoryShare * query.service->kv_capacity_tokens) {
    return true;
  }
  // One prompt at a time is always prefilled, however long it is.
  if (!kept.urgent_start || load.prefill_tokens == 0) {
    return false;
  }
  const Duration start =
      this->LatencyModelOf(query.service->name,
                           this->IsReserved(query, server.id))
          .Predict(server.id,
                   {.prefill_tokens = kTypicalPromptTokens,
                    .prefill_tokens_ahead =
                        load.prefill_tokens + candidate.inputs.prefill_tokens,
                    .running = static_cast<double>(load.running + 1)},
                   now);
  return start > *kept.urgent_start;
}

CapacityLimit Placer::FindSlotLimit(const PlacementQuery& query,
                                    const Candidate& candidate,
                                    const ServerLoad& load,
                                    TimePoint now) const {
  const RegisteredServer& server = *candidate.server;
  if (load.running + 1 > UsableSlots(server, query.tier)) {
    return CapacityLimit::kSlots;
  }
  if (this->brittle.IsBrittle(server)) {
    return this->brittle.HasRoom(server, load.running, this->load_ledger, now)
               ? CapacityLimit::kNone
               : CapacityLimit::kBrittle;
  }
  // Other instances can't send a stream that goes on to another version either.
  return query.required_software ||
                 this->WinsSlot(query, candidate, load.running, now)
             ? CapacityLimit::kNone
             : CapacityLimit::kContended;
}

bool Placer::ShouldWaitForAffinity(const PlacementQuery& query,
                                   const std::vector<Candidate>& candidates,
                                   const Candidate& best, TimePoint now) {
  const int shared = SharedTokens(query);
  if (query.required_software || now >= query.affinity_wait_until ||
      best.IsFirstAffinity() ||
      shared - best.cached_tokens < kMinSavedShareToWait * WorkOf(query)) {
    return false;
  }
  return std::any_of(candidates.begin(), candidates.end(),
                     [](const Candidate& candidate) {
                       return candidate.IsFirstAffinity() &&
                              candidate.limit != CapacityLimit::kNone &&
                              candidate.limit != CapacityLimit::kRate &&
                              candidate.limit != CapacityLimit::kPaused &&
                              candidate.limit != CapacityLimit::kBrittle;
                     });
}

bool Placer::ShouldTestReach(const PlacementQuery& query, TimePoint now) const {
  return query.tried_servers.empty() && query.route->MayRepeat() &&
         this->server_reach.MayTest(query.service->name, now);
}

bool Placer::FailedOutOfReach(const PlacementQuery& query,
                              TimePoint now) const {
  return std::count_if(query.tried_servers.begin(), query.tried_servers.end(),
                       [&](const std::string& server) {
                         return this->server_reach.HasFailedSinceContact(
                             server, query.service->name, now);
                       }) >= kFailedServersToRelay;
}

bool Placer::IsReachedByOthers(const std::string& server, TimePoint now) const {
  return this->load_ledger.TotalLoad(server, now).running -
             this->load_ledger.OwnLoad(server).running >=
         kMinPeerRequests;
}

bool Placer::LacksServersInReach(const PlacementQuery& query,
                                 NoChoiceReason why_not, TimePoint now) const {
  if (why_not != NoChoiceReason::kUnreachable &&
      why_not != NoChoiceReason::kFull &&
      why_not != NoChoiceReason::kHeldBack &&
      why_not != NoChoiceReason::kAwaitsSoftware) {
    return false;
  }
  int count = 0;
  int out_of_reach = 0;
  for (const auto& [id, server] : this->directory.servers()) {
    if (!Accepts(server, query)) {
      continue;
    }
    ++count;
    const bool is_out_of_reach = WasTried(query, id)
                                     ? this->server_reach.HasFailed(id)
                                     : this->server_reach.IsOutOfReach(id, now);
    // For lack of capacity alone, requests are not relayed to instances that
    // lack the same servers.
    if (is_out_of_reach && (why_not == NoChoiceReason::kUnreachable ||
                            this->IsReachedByOthers(id, now))) {
      ++out_of_reach;
    }
  }
  return out_of_reach > 0 && out_of_reach * kServersPerOutOfReach >= count;
}

std::optional<ServerChoice> Placer::Choose(const PlacementQuery& query,
                                           TimePoint now,
                                           NoChoiceReason& why_not) {
  if (!query.may_relay) {
    return this->ChooseDirectly(query, now, why_not);
  }
  const bool is_out_of_reach =
      this->server_reach.IsServiceOutOfReach(query.service->name, now);
  const bool is_test = is_out_of_reach && this->ShouldTestReach(query, now);
  if ((is_out_of_reach && !is_test) || this->FailedOutOfReach(query, now)) {
    this->last_limit_counts = {};
    why_not = NoChoiceReason::kOutOfReach;
    return std::nullopt;
  }
  std::optional<ServerChoice> choice =
      this->ChooseDirectly(query, now, why_not);
  if (is_test) {
    if (choice) {
      choice->reason = ChoiceReason::kTrial;
      this->server_reach.RecordTest(query.service->name, now);
    }
    why_not = NoChoiceReason::kOutOfReach;
    return choice;
  }
  if (choice && choice->reason == ChoiceReason::kOnlyEjected &&
      this->server_reach.IsOutOfReach(choice->server.id, now)) {
    why_not = NoChoiceReason::kOutOfReach;
    return std::nullopt;
  }
  if (!choice && this->LacksServersInReach(query, why_not, now)) {
    why_not = NoChoiceReason::kOutOfReach;
  }
  return choice;
}

std::optional<ServerChoice> Placer::ChooseDirectly(const PlacementQuery& query,
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
  this->last_limit_counts = {};
  for (Candidate& candidate : candidates) {
    this->Evaluate(query, candidate, now);
  }
  const LeaveReason leave_reason =
      this->WeighDataCentres(query, candidates, now);
  for (Candidate& candidate : candidates) {
    ++this->last_limit_counts[static_cast<std::size_t>(candidate.limit)];
    if (candidate.IsFirstAffinity()) {
      affinity_limit = candidate.limit;
    }
    if (candidate.limit != CapacityLimit::kNone) {
      continue;
    }
    // Only a request that may be repeated is used as a trial while there are
    // other candidates.
    if (candidate.is_trial && !query.route->MayRepeat() &&
        candidates.size() > 1) {
      candidate.cost += kRiskyServerCost;
    }
    // Servers that have not failed show sooner whether the service is out of
    // reach.
    const bool has_failed =
        query.may_relay && this->server_reach.HasFailedSinceContact(
                               candidate.server->id, query.service->name, now);
    if (has_failed) {
      candidate.cost += kRiskyServerCost;
    }
    if (candidate.is_trial && query.route->MayRepeat() && !has_failed) {
      best = &candidate;
      break;
    }
    if (best == nullptr || candidate.cost < best->cost) {
      best = &candidate;
    }
  }
  if (best == nullptr) {
    why_not = this->RecordRefusal(query, candidates, now);
    return std::nullopt;
  }
  if (this->ShouldWaitForAffinity(query, candidates, *best, now)) {
    why_not = NoChoiceReason::kAwaitsAffinity;
    return std::nullopt;
  }
  ChoiceReason reason = ChoiceReason::kCheapest;
  if (best->is_trial) {
    reason = ChoiceReason::kTrial;
    this->server_health.RecordTrial(best->server->id, now);
  } else if (best->IsFirstAffinity()) {
    reason = ChoiceReason::kPromptAffinity;
  }
  return ServerChoice{
      .server = *best->server,
      .reason = reason,
      .is_reserved = this->IsReserved(query, best->server->id),
      .predicted_first_event = best->predicted,
      .added_load =
          AddedLoad(query, static_cast<int>(best->inputs.prefill_tokens)),
      .latency_inputs = best->inputs,
      .load = best->load,
      .cached_tokens = best->cached_tokens,
      .candidate_count = static_cast<int>(candidates.size()),
      .affinity_limit = affinity_limit,
      .leave_reason =
          best->is_away ? std::optional(leave_reason) : std::nullopt};
}

NoChoiceReason Placer::RecordRefusal(const PlacementQuery& query,
                                     const std::vector<Candidate>& candidates,
                                     TimePoint now) {
  bool is_paused = false;
  bool is_held_back = false;
  for (const Candidate& candidate : candidates) {
    const RegisteredServer& server = *candidate.server;
    if (candidate.limit == CapacityLimit::kRate) {
      this->limits.RecordRefusal(LifetimeHash(server.id, server.incarnation),
                                 query.tier, now);
    } else if (candidate.limit == CapacityLimit::kPaused) {
      this->server_availability.RecordRefusal(server, query.tier, now);
      // After the pause, the server gets more requests soon.
      const bool is_over = !this->server_availability.IsPaused(server, now);
      (is_over ? is_held_back : is_paused) = true;
    } else {
      is_held_back = true;
    }
  }
  if (is_held_back) {
    return query.required_software ? NoChoiceReason::kAwaitsSoftware
                                   : NoChoiceReason::kHeldBack;
  }
  return is_paused ? NoChoiceReason::kPaused : NoChoiceReason::kRateLimited;
}

std::optional<ServerChoice> Placer::ChooseEjected(const PlacementQuery& query,
                                                  TimePoint now) const {
  const RegisteredServer* best = nullptr;
  for (const auto& [id, server] : this->directory.servers()) {
    if (!Accepts(server, query) || WasTried(query, id) ||
        this->server_availability.HasLeft(server, now) ||
        !this->server_availability.MaySend(server, query.tier, now) ||
        !this->HasRateFor(server, query.tier, now) ||
        !this->HasSlotIfBrittle(server, query.tier, now)) {
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
  Candidate candidate{.server = best,
                      .load = this->EstimateLoad(best->id, now)};
  this->Evaluate(query, candidate, now);
  return ServerChoice{
      .server = *best,
      .reason = ChoiceReason::kOnlyEjected,
      .is_reserved = this->IsReserved(query, best->id),
      .predicted_first_event = candidate.predicted,
      .added_load =
          AddedLoad(query, static_cast<int>(candidate.inputs.prefill_tokens)),
      .latency_inputs = candidate.inputs,
      .load = candidate.load,
      .cached_tokens = candidate.cached_tokens,
      .candidate_count = 1};
}

ServerLoad Placer::AddedLoad(const PlacementQuery& query,
                             int prefill_tokens) const {
  const int long_tokens = this->WeighsEngines(*query.service)
                              ? kLongPrefillTokens
                              : kLongPromptTokens;
  return {
      .running = 1,
      .prefill_tokens = prefill_tokens,
      .kv_tokens = query.prompt_tokens + query.expected_output_tokens,
      .long_prefill_tokens = prefill_tokens >= long_tokens ? prefill_tokens : 0,
      .gap_sensitive_streams = IsGapSensitive(*query.route) ? 1 : 0};
}

void Placer::RecordSend(const PlacementQuery& query, const ServerChoice& choice,
                        TimePoint now) {
  this->load_ledger.Add(choice.server.id, choice.added_load);
  this->limits.RecordSend(
      LifetimeHash(choice.server.id, choice.server.incarnation), now);
  this->server_availability.RecordSend(choice.server, now);
  this->brittle.RecordSend(choice.server, now);
  RecentlySent& sent = this->recently_sent[choice.server.id];
  if (now - sent.interval_start > this->report_interval) {
    sent = {.interval_start = now};
  }
  sent.load += choice.added_load;
  this->prompt_caches.RecordPrompt(
      LifetimeHash(choice.server.id, choice.server.incarnation), query.parts,
      now);
}

void Placer::RecordResponseHead(ServerChoice& choice, Duration elapsed,
                                TimePoint now) {
  choice.has_response = true;
  this->server_reach.RecordContact(choice.server.id, choice.server.service,
                                   now - elapsed, now);
}

void Placer::RecordFirstEvent(const PlacementQuery& query, ServerChoice& choice,
                              Duration elapsed, TimePoint now) {
  if (!choice.has_response) {
    this->RecordResponseHead(choice, elapsed, now);
  }
  const ServerLoad prefilled{
      .prefill_tokens = choice.added_load.prefill_tokens,
      .long_prefill_tokens = choice.added_load.long_prefill_tokens};
  this->load_ledger.Subtract(choice.server.id, prefilled);
  choice.added_load.prefill_tokens = 0;
  choice.added_load.long_prefill_tokens = 0;
  LatencyModel& model =
      this->latency_models[{query.service->name, choice.is_reserved}];
  if (!this->WeighsEngines(*query.service)) {
    model.Observe(choice.server.id, choice.latency_inputs, elapsed, now);
    return;
  }
  this->speeds.Observe(
      choice.server.id,
      ToSeconds(elapsed) / ToSeconds(model.PredictUsual(choice.latency_inputs)),
      kFirstEventWeight, now);
  model.Fit(choice.latency_inputs, elapsed,
            this->speeds.Slowdown(choice.server.id, now));
}

void Placer::RecordGaps(const PlacementQuery& query, const ServerChoice& choice,
                        const StreamGaps& gaps, TimePoint now) {
  if (!this->WeighsEngines(*query.service)) {
    return;
  }
  // The load at the beginning and at the end stands for that of the time
  // between.
  const int running = (choice.load.running + 1 +
                       this->EstimateLoad(choice.server.id, now).running) /
                      2;
  const LatencyInputs inputs{
      .prefill_tokens_ahead =
          static_cast<double>(choice.load.long_prefill_tokens),
      .running = static_cast<double>(std::min(running, choice.server.slots))};
  StreamPace& pace =
      this->stream_paces[{query.service->name, choice.is_reserved}];
  // The first stream only gives the usual pace.
  if (!pace.empty()) {
    this->speeds.Observe(choice.server.id, pace.RatioOf(inputs, gaps),
                         kGapsWeight, now);
  }
  pace.Fit(inputs, gaps, this->speeds.UsualSlowdown(choice.server.id));
}

void Placer::RecordEnd(const ServerChoice& choice, Duration elapsed) {
  // The time after which a connection attempt fails says nothing about how long
  // requests occupy a slot.
  if (choice.has_response || !this->server_reach.HasFailed(choice.server.id)) {
    const Duration counted = std::max(elapsed, kMinDuration);
    Duration& mean =
        this->mean_durations
            .emplace(std::pair(choice.server.service, choice.is_reserved),
                     counted)
            .first->second;
    mean += FromSeconds(kDurationWeight * ToSeconds(counted - mean));
  }
  this->load_ledger.Subtract(choice.server.id, choice.added_load);
}

bool Placer::RecordResult(const ServerChoice& choice, SendResult result,
                          TimePoint now) {
  if (!choice.has_response) {
    const RegisteredServer& server = choice.server;
    if (result == SendResult::kUnreachable) {
      this->server_reach.RecordFailure(server.id, server.service, now);
    } else if (result == SendResult::kAnswered ||
               result == SendResult::kError || result == SendResult::kFull) {
      this->server_reach.RecordContact(server.id, server.service, now);
    }
  }
  switch (result) {
    case SendResult::kAnswered:
      this->brittle.RecordAnswer(choice.server);
      break;
    case SendResult::kFull:
      this->brittle.RecordRejection(choice.server, choice.load.running, now);
      break;
    case SendResult::kUnreachable:
      this->brittle.RecordLoss(choice.server, now);
      break;
    case SendResult::kError:
    case SendResult::kMalformed:
    case SendResult::kSilent:
      break;
  }
  return this->server_health.RecordResult(choice.server.id, result, now);
}

void Placer::ObserveSilence(const PlacementQuery& query,
                            const ServerChoice& choice, Duration silence,
                            TimePoint now) {
  LatencyModel& model =
      this->latency_models[{query.service->name, choice.is_reserved}];
  if (!this->WeighsEngines(*query.service)) {
    model.ObserveSilence(choice.server.id, choice.latency_inputs, silence, now);
    return;
  }
  this->speeds.ObserveSilence(
      choice.server.id,
      ToSeconds(silence) / ToSeconds(model.PredictUsual(choice.latency_inputs)),
      now);
}

Duration Placer::EstimateRetryDelay(const PlacementQuery& query,
                                    TimePoint now) const {
  constexpr Duration kMinDelay = std::chrono::milliseconds(200);
  constexpr Duration kMaxDelay = std::chrono::seconds(3);
  // Until servers that replace the leaving ones are registered.
  constexpr Duration kReplacementDelay = std::chrono::seconds(1);
  std::optional<Duration> shortest;
  Duration none_left_delay = kMinDelay;
  for (const auto& [id, server] : this->directory.servers()) {
    if (!Accepts(server, query)) {
      continue;
    }
    if (this->server_availability.IsLeaving(server)) {
      none_left_delay = kReplacementDelay;
      continue;
    }
    Duration delay{};
    if (!this->server_availability.MaySend(server, query.tier, now)) {
      delay = this->server_availability.TimeToReturn(server, now);
    } else if (this->HasRateFor(server, query.tier, now)) {
      // The load per slot, times the target as the time that a request occupies
      // a slot.
      const double load_per_slot =
          static_cast<double>(this->EstimateLoad(id, now).running) /
          std::max(1, server.slots);
      delay =
          std::min(FromSeconds(ToSeconds(query.route->target) * load_per_slot),
                   kMaxDelay);
    } else {
      delay =
          this->limits.TimeToRoom(LifetimeHash(id, server.incarnation), now);
    }
    shortest = std::min(shortest.value_or(delay), delay);
  }
  return std::max(shortest.value_or(none_left_delay), kMinDelay);
}

ServiceCapacity Placer::CapacityOf(const PlacementQuery& query,
                                   TimePoint now) const {
  ServiceCapacity capacity{.instances = this->instance_count};
  for (const auto& [id, server] : this->directory.servers()) {
    if (!this->IsStaying(server, query.service->name)) {
      continue;
    }
    SideCapacity& side =
        this->IsReserved(query, id) ? capacity.reserved : capacity.unreserved;
    ++side.engines;
    side.slots += server.slots;
    side.running += this->EstimateLoad(id, now).running;
  }
  for (const bool is_reserved : {false, true}) {
    const auto duration =
        this->mean_durations.find({query.service->name, is_reserved});
    if (duration != this->mean_durations.end()) {
      (is_reserved ? capacity.reserved : capacity.unreserved).mean_duration =
          duration->second;
    }
  }
  return capacity;
}

void Placer::Forget(const std::string& server) {
  this->server_health.Forget(server);
  this->server_reach.Forget(server);
  this->reported_loads.erase(server);
  this->recently_sent.erase(server);
  this->speeds.Forget(server);
  for (auto& [key, model] : this->latency_models) {
    model.Forget(server);
  }
}

void Placer::ObserveRateLimit(const RegisteredServer& server,
                              std::optional<double> per_second,
                              TimePoint sent_at, TimePoint now) {
  this->limits.Observe(LifetimeHash(server.id, server.incarnation), per_second,
                       sent_at, now);
}

void Placer::ExpireRateLimits(TimePoint now) {
  if (this->limits.empty()) {
    return;
  }
  std::set<std::uint64_t> registered;
  for (const auto& [id, server] : this->directory.servers()) {
    registered.insert(LifetimeHash(id, server.incarnation));
  }
  this->limits.Expire(registered, now);
}

void Placer::ApplyLoadReport(const std::string& server, int running,
                             int waiting, TimePoint now) {
  this->reported_loads[server] = {
      .running = running, .waiting = waiting, .received_at = now};
}

}  // namespace rosemarycove
