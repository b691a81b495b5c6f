// Chooses the backend server for a request.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/backend_directory.h"
#include "core/fleet_report.h"
#include "core/latency_model.h"
#include "core/load_ledger.h"
#include "core/prompt_cache_map.h"
#include "core/routing_configuration.h"
#include "core/server_health.h"
#include "core/types.h"

namespace rosemarycove {

// The properties of a request that decide its placement.
struct PlacementQuery {
  const Route* route = nullptr;
  const RoutedService* service = nullptr;
  int tier = 0;
  // In prompt order. All but the last are shared with other requests.
  std::vector<PromptPart> parts;
  int prompt_tokens = 0;
  // Expected length of the answer.
  int answer_tokens = 0;
  // The request's stream tolerates pauses that would make other streams of the
  // service late.
  bool tolerates_pauses = false;
  // Ids of servers that failed this request or could not be reached.
  std::vector<std::string> tried_servers;
  // The shortest latency target of the service's streams; absent when the
  // service has no streams.
  std::optional<Duration> shortest_target;
  // Until this time the request waits for its affinity server to gain capacity,
  // if another server would have to prefill the shared parts again.
  TimePoint affinity_wait_until;
};

// Why a server was chosen.
enum class ChoiceReason : std::uint8_t {
  kCheapest,
  kPromptAffinity,  // Its prompt cache should hold the request's shared parts.
  kTrial,           // A trial request, to see whether the server recovered.
  kOnlyEjected,     // All untried servers are ejected; this one returns first.
};

// Returns the word that logs use.
std::string_view ToString(ChoiceReason reason);

// The limit that keeps a server from accepting a request.
enum class CapacityLimit : std::uint8_t {
  kNone,                 // The server has capacity.
  kSlots,                // All slots open to the request's tier are in use.
  kMemory,               // The KV cache open to the request's tier is in use.
  kGapSensitiveStreams,  // The prefill would pause too many streams.
  kTooSlow,              // It or typical requests beside it would be late.
};

// Returns the word that logs use.
std::string_view ToString(CapacityLimit limit);

// The number of servers at each limit, indexed by CapacityLimit.
using CapacityLimitCounts = std::array<int, 5>;

// A chosen server and the inputs of the decision.
struct ServerChoice {
  RegisteredServer server;
  ChoiceReason reason = ChoiceReason::kCheapest;
  // The server is reserved for routes that tolerate pauses.
  bool is_reserved = false;
  Duration predicted_first_event{};
  // What the request adds to the server's load.
  ServerLoad added_load;
  LatencyInputs latency_inputs;
  // The server's estimated load before this request.
  ServerLoad load;
  int cached_tokens = 0;
  int candidate_count = 0;
  // The limit of the request's first affinity server; absent when the request
  // has none among the candidates.
  std::optional<CapacityLimit> affinity_limit;
};

// Why no server was chosen.
enum class NoChoiceReason : std::uint8_t {
  kNoServer,     // The service has no registered server that is not draining.
  kUnreachable,  // Its servers were tried or are ejected.
  kFull,         // Its servers have too many queued requests.
  kHeldBack,     // Every server is at a limit, or the request waits for its
                 // affinity server.
};

// Returns the word that logs use.
std::string_view ToString(NoChoiceReason reason);

struct PlacerOptions {
  std::string data_centre;
  // Name of this instance.
  std::string instance;
};

// Places requests on backend servers: sends each to the server with the lowest
// cost, which combines the request's own delay, the delay that it causes to
// others, and the prompt tokens that must be prefilled again. Every gateway
// instance owns one placer and uses it on its event loop.
class Placer {
 public:
  // The directory must outlive the placer.
  Placer(PlacerOptions options, const BackendDirectory& directory);

  // Counts the work of an arriving request and updates the service's
  // partition.
  void RecordRequest(const PlacementQuery& query, TimePoint now);
  // The partitions and recent work of this instance, for fleet reports. All
  // instances must partition a service alike, or a prompt has a different
  // affinity server at each; so one leader decides from the work of all.
  [[nodiscard]] std::vector<ServicePartition> Partitions(TimePoint now) const;
  // Stores the recent work that another instance reported.
  void SetPeerWork(const std::string& peer,
                   const std::vector<ServicePartition>& partitions,
                   TimePoint now);
  // Drops the load and work of an instance that ended or stopped reporting.
  void RemovePeer(const std::string& peer);
  // Adopts the partitions of the leading instance.
  void FollowPartitions(const std::vector<ServicePartition>& partitions);
  // Makes this instance decide the partitions.
  void LeadPartitioning() { this->is_partition_leader = true; }
  // Chooses a server. Records no load; RecordSend does.
  [[nodiscard]] std::optional<ServerChoice> Choose(const PlacementQuery& query,
                                                   TimePoint now,
                                                   NoChoiceReason& why_not);
  // Records that the request is sent to the chosen server.
  void RecordSend(const PlacementQuery& query, const ServerChoice& choice,
                  TimePoint now);
  // Records the first event, `elapsed` after the send: the prefill is done.
  void RecordFirstEvent(const PlacementQuery& query, ServerChoice& choice,
                        Duration elapsed, TimePoint now);
  // Records the end of the attempt, with or without a first event before.
  void RecordEnd(const ServerChoice& choice);
  // Records the result for the server's health; returns true when this ejected
  // the server.
  bool RecordResult(const ServerChoice& choice, SendResult result,
                    TimePoint now);
  // Records that the server sent nothing for this long.
  void ObserveSilence(const PlacementQuery& query, const ServerChoice& choice,
                      Duration silence, TimePoint now);

  // Estimates after what time a refused request should find capacity.
  [[nodiscard]] Duration EstimateRetryDelay(const PlacementQuery& query,
                                            TimePoint now) const;
  // Drops what was learned of a server that restarted or left.
  void Forget(const std::string& server);
  // Sets the data centres that seem cut off; their servers are avoided while
  // there are others.
  void SetSuspectedDataCentres(std::set<std::string> data_centres) {
    this->suspected_centres = std::move(data_centres);
  }
  [[nodiscard]] const std::set<std::string>& suspected_data_centres() const {
    return this->suspected_centres;
  }
  // Stores the running and waiting requests that a server reported of itself.
  void ApplyLoadReport(const std::string& server, int running, int waiting,
                       TimePoint now);

  // Sets the number of instances that send to the same servers, this one
  // included, and the longest time between their fleet reports.
  void SetFleet(int instances, Duration report_interval) {
    this->instance_count = instances;
    this->report_interval = report_interval;
  }
  [[nodiscard]] LoadLedger& ledger() { return this->load_ledger; }
  [[nodiscard]] const ServerHealth& health() const {
    return this->server_health;
  }
  // The limits of the candidates in the last call of Choose that had any.
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
    // absent for other servers.
    std::optional<int> affinity_rank;
    bool is_trial = false;
    CapacityLimit limit = CapacityLimit::kNone;

    [[nodiscard]] bool IsFirstAffinity() const {
      return this->affinity_rank == 0;
    }
    LatencyInputs inputs;
    Duration predicted{};
    // Relative to the value of one request.
    double cost = 0;
  };
  // Work in prompt tokens; older work decays exponentially.
  struct RecentWork {
    double pause_tolerant_work = 0;
    double other_work = 0;
    TimePoint updated_at;

    void DecayTo(TimePoint now);
  };
  // How a service's engines are divided between routes that tolerate pauses and
  // all others: the prefill of a long prompt pauses the other streams of the
  // engine.
  struct EnginePartition {
    RecentWork work;
    // Share of the engines that is reserved for pause-tolerant routes.
    double reserved_share = 0;
    int requests_seen = 0;
    std::set<std::string> reserved_servers;
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

  // Servers that are neither tried, ejected nor full, not yet evaluated. If
  // there are none, `why_not` is the reason of the last one excluded.
  [[nodiscard]] std::vector<Candidate> Candidates(
      const PlacementQuery& query, TimePoint now,
      NoChoiceReason& why_not) const;
  // Servers that should cache the request's shared parts, best first. The later
  // ones take requests for which the earlier ones have no capacity.
  [[nodiscard]] std::vector<const RegisteredServer*> AffinityServers(
      const PlacementQuery& query) const;
  // Fills in the candidate's prediction, cost and limit.
  void Evaluate(const PlacementQuery& query, Candidate& candidate,
                TimePoint now) const;
  // Between 0 and 1; each instance ranks the servers in a different order.
  [[nodiscard]] double InstanceBias(const std::string& server) const;
  [[nodiscard]] bool IsReserved(const PlacementQuery& query,
                                const std::string& server) const;
  void UpdatePartition(const std::string& service, TimePoint now);
  // Share of pause-tolerant routes in the service's work at all instances.
  [[nodiscard]] double PauseTolerantShare(const std::string& service,
                                          TimePoint now) const;
  // Returns whether the request should wait for its first affinity server,
  // which has no capacity now, rather than go to `best`.
  [[nodiscard]] static bool ShouldWaitForAffinity(
      const PlacementQuery& query, const std::vector<Candidate>& candidates,
      const Candidate& best, TimePoint now);
  [[nodiscard]] CapacityLimit FindCapacityLimit(const PlacementQuery& query,
                                                const Candidate& candidate,
                                                TimePoint now) const;
  // Estimates what the other instances sent but have not reported yet: each as
  // much as this instance sent.
  [[nodiscard]] ServerLoad UnreportedLoad(const std::string& server,
                                          TimePoint now) const;
  // The ledger's load, raised to the server's own recent report.
  [[nodiscard]] ServerLoad EstimateLoad(const std::string& server,
                                        TimePoint now) const;
  [[nodiscard]] const LatencyModel& LatencyModelOf(const std::string& service,
                                                   bool is_reserved) const;
  // Chooses the untried server whose ejection ends first.
  [[nodiscard]] std::optional<ServerChoice> ChooseEjected(
      const PlacementQuery& query, TimePoint now) const;
  [[nodiscard]] static ServerLoad AddedLoad(const PlacementQuery& query,
                                            int prefill_tokens);

  PlacerOptions options;
  const BackendDirectory& directory;
  // Seeds this instance's ranking of the servers in InstanceBias.
  std::uint64_t instance_seed;
  LoadLedger load_ledger;
  PromptCacheMap prompt_caches;
  ServerHealth server_health;
  // By service and whether the server is reserved: a running request slows
  // others far more where prompts are long.
  std::map<std::pair<std::string, bool>, LatencyModel> latency_models;
  std::map<std::string, ReportedLoad> reported_loads;
  // By service.
  std::map<std::string, EnginePartition> engine_partitions;
  std::map<std::string, PeerWork> peer_work;
  bool is_partition_leader = true;
  std::map<std::string, RecentlySent> recently_sent;
  int instance_count = 1;
  Duration report_interval = std::chrono::milliseconds(100);
  std::set<std::string> suspected_centres;
  CapacityLimitCounts last_limit_counts{};
};

}  // namespace rosemarycove
