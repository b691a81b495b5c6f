// Chooses the backend server for a request of the proxy (src/proxy). (A Node
// uses Scheduler.)
#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/admission.h"
#include "core/backend_directory.h"
#include "core/brittle_servers.h"
#include "core/data_centre_choice.h"
#include "core/engine_speed.h"
#include "core/fleet_report.h"
#include "core/kept_room.h"
#include "core/latency_model.h"
#include "core/load_ledger.h"
#include "core/placement_queues.h"
#include "core/prompt_cache_map.h"
#include "core/routing_configuration.h"
#include "core/server_availability.h"
#include "core/server_health.h"
#include "core/server_rate_limits.h"
#include "core/server_reach.h"
#include "core/software_history.h"
#include "core/stream_pace.h"
#include "core/types.h"

namespace rosemarycove {

// The properties of a request that decide its placement.
struct PlacementQuery {
  const Route* route = nullptr;
  const RoutedService* service = nullptr;
  // The effective tier; see Urgency.
  int tier = 0;
  // In prompt order. All but the last are shared with other requests.
  std::vector<PromptPart> parts;
  int prompt_tokens = 0;
  // Expected length of the response, in tokens.
  int expected_output_tokens = 0;
  // See RoutingConfiguration::ToleratesPauses.
  bool tolerates_pauses = false;
  // The only software that may serve the request, since it goes on with a
  // stream; nullopt if any may. See SoftwareHash.
  std::optional<std::uint64_t> required_software;
  // Software that must not serve the request; see SoftwareHistory::NewSoftware.
  std::vector<std::uint64_t> excluded_software;
  // Ids of the servers where an attempt of this request failed.
  std::vector<std::string> tried_servers;
  // The shortest target of the service's streams; nullopt if it has no streams.
  std::optional<Duration> shortest_target;
  // Before this time, the request waits for its affinity server to gain
  // capacity, if another server would have to prefill many of the shared tokens
  // again.
  TimePoint affinity_wait_until;
  // The request must not take these engines.
  WithheldEngines withheld;
  // What it has to leave free for others; nothing for services without
  // admission control.
  KeptRoom kept_room;
  // Another instance can place the request if servers are out of reach from
  // here.
  bool may_relay = false;
  // Size of the request's body; 0 if unknown.
  std::size_t body_bytes = 0;
};

// Why a server was chosen.
enum class ChoiceReason : std::uint8_t {
  kCheapest,  // It had the lowest cost.
  // It had the lowest cost and is the first affinity server: its prompt cache
  // should hold the request's shared parts.
  kPromptAffinity,
  kTrial,  // The request tests whether the server recovered.
  // All untried servers are ejected or full; this one's ejection ends first.
  kOnlyEjected,
};

// Returns the word that logs use.
std::string_view ToString(ChoiceReason reason);

// The limit that keeps a server from accepting a request.
enum class CapacityLimit : std::uint8_t {
  kNone,   // The server has capacity.
  kSlots,  // All slots that the request's tier may use are in use.
  // The request would exceed the part of the KV cache that its tier may use.
  kMemory,
  kGapSensitiveStreams,  // The prefill would pause too many streams.
  // The request, or typical requests on the same server, would miss the target.
  kTooSlow,
  kWithheld,  // A more urgent request waits for the server.
  kRate,      // The rate limit that the server names is used up.
  // Other instances probably take the free slots that this one knows of.
  kContended,
  kPaused,  // The server asked for a pause; see ServerAvailability.
  // The server could reject the request, and is brittle; see BrittleServers.
  kBrittle,
  kKept,  // The rest is kept for more urgent requests; see KeptRoom.
};

// Returns the word that logs use.
std::string_view ToString(CapacityLimit limit);

// The number of servers at each limit, indexed by CapacityLimit.
using CapacityLimitCounts = std::array<int, 11>;

// A chosen server and the inputs of the decision.
struct ServerChoice {
  RegisteredServer server;
  ChoiceReason reason = ChoiceReason::kCheapest;
  // True if the server is reserved for routes that tolerate pauses.
  bool is_reserved = false;
  Duration predicted_first_event{};
  // What the request adds to the server's load.
  ServerLoad added_load;
  LatencyInputs latency_inputs;
  // The server's estimated load before this request.
  ServerLoad load;
  int cached_tokens = 0;
  int candidate_count = 0;
  // The limit of the request's first affinity server; nullopt if that is not
  // among the candidates.
  std::optional<CapacityLimit> affinity_limit;
  // A response has begun.
  bool has_response = false;
  // Why the server is in another data centre; nullopt if it is at home, or if
  // engines are not weighed.
  std::optional<LeaveReason> leave_reason;
};

// Why no server was chosen.
enum class NoChoiceReason : std::uint8_t {
  kNoServer,     // The service has no registered server that is not draining.
  kUnreachable,  // All servers of the service were tried for this request.
  // No server is a candidate, and the last one has too many queued requests.
  kFull,
  kHeldBack,        // All candidates are at a limit.
  kSoftwareGone,    // No server has the software that the request requires.
  kAwaitsSoftware,  // All servers that have it are at a limit.
  // The request should wait for its affinity server, which is at a limit,
  // rather than go to another server that has capacity.
  kAwaitsAffinity,
  kRateLimited,  // The rate limits of all candidates are used up.
  // All candidates asked for pauses, or some did and the others are at their
  // rate limits.
  kPaused,
  // Servers that the request needs are out of reach, perhaps not for other
  // instances; only if the request may be relayed. See ServerReach.
  kOutOfReach,
};

// Returns the word that logs use.
std::string_view ToString(NoChoiceReason reason);

// The share of a service's engines that is reserved for routes that tolerate
// pauses changed at this instance.
struct PartitionChange {
  std::string service;
  double reserved_share = 0;
  double previous_share = 0;
  // The instance decided it; otherwise it follows the leader.
  bool is_leader = false;
};

struct PlacerOptions {
  // Data centre of this instance.
  std::string data_centre;
  // Name of this instance.
  std::string instance;
  LeavePolicy leave_policy = LeavePolicy::kWhenItPays;
};

// Places requests on backend servers: sends each to the server with the lowest
// cost, which combines the request's own delay, the delay that it causes to
// others, and the prompt tokens that must be prefilled again. Each gateway
// instance owns one placer and uses it on its event loop.
//
// The engines of a service (the backend servers that run a model) are
// partitioned between routes that tolerate pauses and all others. All instances
// must use the same partitions, or a prompt has a different affinity server at
// each. So the leader, the instance that FleetLinks ranks first, decides them
// from the recent work at all instances.
class Placer {
 public:
  // The directory must outlive the placer.
  Placer(PlacerOptions options, const BackendDirectory& directory);

  // Counts the work of an arriving request and updates the service's
  // partition.
  void RecordRequest(const PlacementQuery& query, TimePoint now);
  // Returns the partitions and recent work of this instance, for fleet reports.
  [[nodiscard]] std::vector<ServicePartition> Partitions(TimePoint now) const;
  // Stores the recent work that another instance reported.
  void SetPeerWork(const std::string& peer,
                   const std::vector<ServicePartition>& partitions,
                   TimePoint now);
  // Drops the load and work of an instance that ended or stopped reporting.
  void RemovePeer(const std::string& peer);
  // Adopts the partitions that the leader reported, and ends the leadership of
  // this instance if it had it.
  void FollowPartitions(const std::vector<ServicePartition>& partitions);
  // Returns the changes of partitions since the last call.
  std::vector<PartitionChange> TakePartitionChanges() {
    return std::exchange(this->partition_changes, {});
  }
  // Makes this instance the leader.
  void LeadPartitioning() { this->is_partition_leader = true; }
  // Chooses a server. Returns nullopt if none can be chosen now and sets
  // `why_not` to the reason; otherwise `why_not` has no meaning. The load is
  // recorded by RecordSend, not here.
  [[nodiscard]] std::optional<ServerChoice> Choose(const PlacementQuery& query,
                                                   TimePoint now,
                                                   NoChoiceReason& why_not);
  // Records that the request is sent to the chosen server.
  void RecordSend(const PlacementQuery& query, const ServerChoice& choice,
                  TimePoint now);
  // Records the head of the response, `elapsed` after the send.
  void RecordResponseHead(ServerChoice& choice, Duration elapsed,
                          TimePoint now);
  // Records the first event, `elapsed` after the send: the prefill is done.
  void RecordFirstEvent(const PlacementQuery& query, ServerChoice& choice,
                        Duration elapsed, TimePoint now);
  // Records the end of the attempt, with or without a first event before.
  // `elapsed` is the time since its start. The result of an attempt that failed
  // is recorded first.
  void RecordEnd(const ServerChoice& choice, Duration elapsed);
  // Records the result for the server's health; returns whether this ejected
  // the server.
  bool RecordResult(const ServerChoice& choice, SendResult result,
                    TimePoint now);
  // Records for the latency model that the server sent nothing for this long.
  void ObserveSilence(const PlacementQuery& query, const ServerChoice& choice,
                      Duration silence, TimePoint now);

  // Records the pauses of a stream that had several events.
  void RecordGaps(const PlacementQuery& query, const ServerChoice& choice,
                  const StreamGaps& gaps, TimePoint now);
  // Records the slowdown that the engine states; see EngineSpeed.
  void ObserveSlowdown(const RegisteredServer& server, double slowdown,
                       TimePoint now) {
    this->speeds.ObserveStated(server.service, server.id, slowdown, now);
  }
  // Returns whether the engines of the service are placed by their speeds, and
  // leaving the data centre is weighed for its requests: the engines state how
  // long their work takes, or can be ordered. Other services are placed as if
  // all engines were alike.
  [[nodiscard]] bool WeighsEngines(const RoutedService& service) const {
    return service.IsModel() &&
           (service.scaling || this->speeds.HasStated(service.name));
  }

  // Estimates how long it takes until capacity for the request is likely to be
  // available.
  [[nodiscard]] Duration EstimateRetryDelay(const PlacementQuery& query,
                                            TimePoint now) const;
  // Adds up the load of the servers that may get requests of the query's
  // service.
  [[nodiscard]] ServiceCapacity CapacityOf(const PlacementQuery& query,
                                           TimePoint now) const;
  // Drops the recorded state of a server that restarted or is gone.
  void Forget(const std::string& server);
  // Sets the data centres that seem to be unreachable; their servers are
  // avoided while there are others.
  void SetSuspectedDataCentres(std::set<std::string> data_centres) {
    this->suspected_centres = std::move(data_centres);
  }
  [[nodiscard]] const std::set<std::string>& suspected_data_centres() const {
    return this->suspected_centres;
  }
  // Records the rate limit that the server's response names; nullopt if it
  // names none. `sent_at` is the time at which the request was sent.
  void ObserveRateLimit(const RegisteredServer& server,
                        std::optional<double> per_second, TimePoint sent_at,
                        TimePoint now);
  // Records the rejections that the server tolerates, as its response says;
  // nullopt if the response doesn't say that it is brittle.
  void ObserveBrittleness(const RegisteredServer& server,
                          std::optional<int> tolerated, TimePoint sent_at,
                          TimePoint now) {
    this->brittle.Observe(server, tolerated, sent_at, now);
  }
  // Drops the rate limits of servers that are gone.
  void ExpireRateLimits(TimePoint now);
  // Applies a load report of the server: its running and waiting requests, from
  // all instances.
  void ApplyLoadReport(const std::string& server, int running, int waiting,
                       TimePoint now);

  // Sets the number of instances that send to the same servers, this one
  // included, and the longest time between their fleet reports.
  void SetFleet(int instances, Duration report_interval) {
    this->instance_count = instances;
    this->report_interval = report_interval;
  }
  // Mutable, so that the gateway can store the loads that its peers report.
  [[nodiscard]] LoadLedger& ledger() { return this->load_ledger; }
  [[nodiscard]] const LoadLedger& ledger() const { return this->load_ledger; }
  // Mutable, so that the gateway can exchange what is cached with its peers.
  [[nodiscard]] PromptCacheMap& caches() { return this->prompt_caches; }
  // Mutable, so that the gateway can exchange the limits with its peers.
  [[nodiscard]] ServerRateLimits& rate_limits() { return this->limits; }
  [[nodiscard]] const ServerRateLimits& rate_limits() const {
    return this->limits;
  }
  // Mutable, so that the gateway can exchange what it knows with its peers.
  [[nodiscard]] BrittleServers& brittle_servers() { return this->brittle; }
  [[nodiscard]] const BrittleServers& brittle_servers() const {
    return this->brittle;
  }
  // Mutable, so that the gateway can exchange the samples with its peers.
  [[nodiscard]] EngineSpeed& engine_speed() { return this->speeds; }
  [[nodiscard]] const EngineSpeed& engine_speed() const { return this->speeds; }
  // Mutable, so that responses can be recorded.
  [[nodiscard]] ServerAvailability& availability() {
    return this->server_availability;
  }
  [[nodiscard]] const ServerAvailability& availability() const {
    return this->server_availability;
  }
  [[nodiscard]] const ServerHealth& health() const {
    return this->server_health;
  }
  // Mutable, so that responses can be recorded.
  [[nodiscard]] ServerReach& reach() { return this->server_reach; }
  [[nodiscard]] const ServerReach& reach() const { return this->server_reach; }
  // The limits of the candidates in the last call of Choose that had
  // candidates.
  [[nodiscard]] const CapacityLimitCounts& last_capacity_limits() const {
    return this->last_limit_counts;
  }

 private:
  // A server that may be chosen.
  struct Candidate {
    const RegisteredServer* server = nullptr;
    ServerLoad load;
    int cached_tokens = 0;
    // Rank among the affinity servers of the request's shared parts, from 0;
    // nullopt for other servers. Where engines are weighed, the servers of each
    // data centre are ranked apart.
    std::optional<int> affinity_rank;
    // It is in another data centre, and engines are weighed.
    bool is_away = false;
    bool is_trial = false;
    // See ServerAvailability; others are preferred.
    bool is_leaving = false;
    CapacityLimit limit = CapacityLimit::kNone;

    [[nodiscard]] bool IsFirstAffinity() const {
      return this->affinity_rank == 0 && !this->is_away;
    }
    LatencyInputs inputs;
    Duration predicted{};
    // The unit is the value of one request, which is also the cost of lateness
    // of a request that is predicted to take exactly the aimed time.
    double cost = 0;
  };
  // Work in prompt tokens, where an output token counts as several; older work
  // decays exponentially.
  struct RecentWork {
    double pause_tolerant_work = 0;
    double other_work = 0;
    TimePoint updated_at;

    void DecayTo(TimePoint now);
  };
  // The partition of a service's engines between routes that tolerate pauses
  // and all others: the prefill of a long prompt pauses the other streams of
  // the engine.
  struct EnginePartition {
    RecentWork work;
    // Share of the engines that is reserved for pause-tolerant routes.
    double reserved_share = 0;
    // Requests of this instance since its start.
    int requests_seen = 0;
    // Ids of the engines reserved for pause-tolerant routes.
    std::set<std::string> reserved_servers;
    // Ids of the engines that count as fast; empty if engines are not weighed.
    std::set<std::string> fast_servers;
    // The mean speed of the other engines and of the fast ones.
    std::array<double, 2> typical_speeds = {1, 1};
    // Data centres that have engines of the service.
    int centre_count = 1;
  };
  // Recent arrivals at this instance, by effective tier; older ones decay.
  struct Arrivals {
    std::map<int, double> count_by_tier;
    TimePoint updated_at;

    void Add(int tier, TimePoint now);
  };
  struct PeerWork {
    std::vector<ServicePartition> partitions;
    TimePoint received_at;
  };
  // What this instance sent to a server within the current report interval.
  struct RecentlySent {
    ServerLoad load;
    TimePoint interval_start;
  };
  struct ReportedLoad {
    int running = 0;
    int waiting = 0;
    TimePoint received_at;
  };

  // Chooses among the servers of the service, whether or not they are out of
  // reach.
  [[nodiscard]] std::optional<ServerChoice> ChooseDirectly(
      const PlacementQuery& query, TimePoint now, NoChoiceReason& why_not);
  // Returns whether the request, which may be relayed, should test whether its
  // service, which is out of reach, answers again.
  [[nodiscard]] bool ShouldTestReach(const PlacementQuery& query,
                                     TimePoint now) const;
  // Returns whether servers that are out of reach here are why the request
  // failed at several servers.
  [[nodiscard]] bool FailedOutOfReach(const PlacementQuery& query,
                                      TimePoint now) const;
  // Returns whether servers that are out of reach here are why no server was
  // chosen.
  [[nodiscard]] bool LacksServersInReach(const PlacementQuery& query,
                                         NoChoiceReason why_not,
                                         TimePoint now) const;
  // Returns whether the server, which is out of reach, runs requests of other
  // instances.
  [[nodiscard]] bool IsReachedByOthers(const std::string& server,
                                       TimePoint now) const;
  // Returns whether requests of the service should go to the server.
  [[nodiscard]] bool IsStaying(const RegisteredServer& server,
                               const std::string& service) const;
  // Returns the servers that are not tried, ejected or full, without evaluating
  // them; leaving ones only if there is no other that takes requests. If there
  // are none, `why_not` is the reason why the last one was excluded.
  [[nodiscard]] std::vector<Candidate> Candidates(
      const PlacementQuery& query, TimePoint now,
      NoChoiceReason& why_not) const;
  // Returns the servers that should cache the request's shared parts, and their
  // ranks by preference. The later ones get requests for which the earlier ones
  // have no capacity.
  [[nodiscard]] std::map<const RegisteredServer*, int> AffinityRanks(
      const PlacementQuery& query) const;
  // The same where engines are weighed: each data centre has its own.
  [[nodiscard]] std::map<const RegisteredServer*, int> WeighedAffinityRanks(
      const PlacementQuery& query) const;
  // Adjusts the costs and limits of evaluated candidates so that the request
  // leaves its data centre only if that pays. Returns the reason for which it
  // does if the best candidate is away.
  [[nodiscard]] LeaveReason WeighDataCentres(const PlacementQuery& query,
                                             std::vector<Candidate>& candidates,
                                             TimePoint now);
  // Limits what the candidate, which is away, takes from here: its own data
  // centre's more urgent work keeps room. Returns the slots that it can spare.
  [[nodiscard]] double LimitAway(const PlacementQuery& query,
                                 Candidate& candidate) const;
  // Returns the cost of reading the tokens again for this request.
  [[nodiscard]] static double CostOfTokens(const PlacementQuery& query,
                                           double tokens);
  // Fills in the candidate's prediction, cost and limit.
  void Evaluate(const PlacementQuery& query, Candidate& candidate,
                TimePoint now) const;
  // Returns a value from 0 to 1 that ranks the servers in a different order at
  // each instance.
  [[nodiscard]] double InstanceBias(const std::string& server) const;
  [[nodiscard]] bool IsReserved(const PlacementQuery& query,
                                const std::string& server) const;
  // Returns whether a more urgent request waits for the server.
  [[nodiscard]] bool IsWithheld(const PlacementQuery& query,
                                const std::string& server) const;
  void UpdatePartition(const RoutedService& service, TimePoint now);
  // Chooses the engines that are reserved, by their speeds.
  void ReserveBySpeed(const std::string& service, EnginePartition& partition);
  // Returns the mean speed of the engine's class: fast, or all others. What all
  // instances have to agree on depends on the class rather than on each
  // engine's speed, since their estimates differ slightly.
  [[nodiscard]] double TypicalSpeed(const PlacementQuery& query,
                                    const std::string& server) const;
  // Predicts the time to the first event, without requests that are queued.
  [[nodiscard]] Duration PredictFirstEvent(const PlacementQuery& query,
                                           const std::string& server,
                                           const LatencyInputs& inputs,
                                           TimePoint now) const;
  // Returns the cost of the pauses that the request would suffer and cause at
  // the engine, and of the engine's part of the load.
  [[nodiscard]] double EngineCost(const PlacementQuery& query,
                                  const Candidate& candidate,
                                  TimePoint now) const;
  void SetReservedShare(const std::string& service, double share);
  // Returns the share of pause-tolerant routes in the service's recent work at
  // all instances.
  [[nodiscard]] double PauseTolerantShare(const std::string& service,
                                          TimePoint now) const;
  // Returns whether the request should wait for its first affinity server,
  // which has no capacity now, rather than go to `best`.
  [[nodiscard]] static bool ShouldWaitForAffinity(
      const PlacementQuery& query, const std::vector<Candidate>& candidates,
      const Candidate& best, TimePoint now);
  // Returns whether the server takes a request of the tier now: it is in no
  // pause, and its rate limit has room.
  [[nodiscard]] bool TakesNow(const RegisteredServer& server, int tier,
                              TimePoint now) const;
  // Returns whether the server's rate limit has room for a request of the tier.
  [[nodiscard]] bool HasRateFor(const RegisteredServer& server, int tier,
                                TimePoint now) const;
  // Returns whether the server is not brittle, or has a slot for a request of
  // the tier.
  [[nodiscard]] bool HasSlotIfBrittle(const RegisteredServer& server, int tier,
                                      TimePoint now) const;
  // Records that none of the candidates has capacity for the request; returns
  // why.
  [[nodiscard]] NoChoiceReason RecordRefusal(
      const PlacementQuery& query, const std::vector<Candidate>& candidates,
      TimePoint now);
  // Returns the longest predicted time to the first event at which the
  // candidate takes the request.
  [[nodiscard]] static Duration MaxPredicted(const PlacementQuery& query,
                                             const Candidate& candidate);
  [[nodiscard]] CapacityLimit FindCapacityLimit(const PlacementQuery& query,
                                                const Candidate& candidate,
                                                TimePoint now) const;
  // Returns whether the server has a slot for the request, as far as the other
  // instances' requests are known or expected.
  [[nodiscard]] CapacityLimit FindSlotLimit(const PlacementQuery& query,
                                            const Candidate& candidate,
                                            const ServerLoad& load,
                                            TimePoint now) const;
  // Returns whether the engine, with the request, has no room left beside what
  // is kept.
  [[nodiscard]] bool LacksKeptRoom(const PlacementQuery& query,
                                   const Candidate& candidate,
                                   const ServerLoad& load, TimePoint now) const;
  // Returns whether this instance may use one of the server's free slots.
  // `running` is the server's known load. All instances learn of a free slot
  // long before they learn that another one took it, so each uses it only with
  // the probability at which the expected number of users is the number of
  // slots.
  [[nodiscard]] bool WinsSlot(const PlacementQuery& query,
                              const Candidate& candidate, int running,
                              TimePoint now) const;
  // Estimates the requests at other instances that could use the slots before
  // this instance hears of it.
  [[nodiscard]] double ExpectedRivals(const PlacementQuery& query,
                                      const Candidate& candidate, int running,
                                      TimePoint now) const;
  // Estimates the number of instances in this data centre, this one included,
  // or outside of one, as if all had as many.
  [[nodiscard]] int InstancesWithin(const PlacementQuery& query,
                                    bool is_away) const;
  // Returns the mean time until the others hear of a request.
  [[nodiscard]] Duration UnreportedTime() const;
  // The number of the service's servers on the same side as this one; where
  // engines are weighed, of those in its data centre.
  [[nodiscard]] int SideCount(const PlacementQuery& query,
                              const RegisteredServer& server) const;
  // The number of slots of the server that requests of this tier may use.
  [[nodiscard]] static double UsableSlots(const RegisteredServer& server,
                                          int tier);
  // Estimates the load that the other instances sent but have not reported yet:
  // from each as much as this instance sent.
  [[nodiscard]] ServerLoad UnreportedLoad(const std::string& server,
                                          TimePoint now) const;
  // Returns the load in the ledger, raised to the server's own recent report.
  [[nodiscard]] ServerLoad EstimateLoad(const std::string& server,
                                        TimePoint now) const;
  [[nodiscard]] const LatencyModel& LatencyModelOf(const std::string& service,
                                                   bool is_reserved) const;
  // Chooses the untried server whose ejection ends first.
  [[nodiscard]] std::optional<ServerChoice> ChooseEjected(
      const PlacementQuery& query, TimePoint now) const;
  [[nodiscard]] ServerLoad AddedLoad(const PlacementQuery& query,
                                     int prefill_tokens) const;

  PlacerOptions options;
  const BackendDirectory& directory;
  // Seeds this instance's ranking of the servers in InstanceBias.
  std::uint64_t instance_seed;
  LoadLedger load_ledger;
  PromptCacheMap prompt_caches;
  ServerHealth server_health;
  ServerReach server_reach;
  ServerRateLimits limits;
  BrittleServers brittle;
  ServerAvailability server_availability;
  EngineSpeed speeds;
  DataCentreChoice centre_choice;
  // By service and whether the server is reserved.
  std::map<std::pair<std::string, bool>, StreamPace> stream_paces;
  // By service and whether the server is reserved, since a running request
  // slows others far more where prompts are long.
  std::map<std::pair<std::string, bool>, LatencyModel> latency_models;
  // By server id.
  std::map<std::string, ReportedLoad> reported_loads;
  // By service.
  std::map<std::string, EnginePartition> engine_partitions;
  // By service and whether the requests tolerate pauses.
  std::map<std::pair<std::string, bool>, Arrivals> recent_arrivals;
  // The mean time of an attempt, by service and whether the server is reserved.
  std::map<std::pair<std::string, bool>, Duration> mean_durations;
  // By instance name.
  std::map<std::string, PeerWork> peer_work;
  bool is_partition_leader = true;
  std::vector<PartitionChange> partition_changes;
  // By server id.
  std::map<std::string, RecentlySent> recently_sent;
  int instance_count = 1;
  Duration report_interval = std::chrono::milliseconds(100);
  std::set<std::string> suspected_centres;
  CapacityLimitCounts last_limit_counts{};
};

}  // namespace rosemarycove
