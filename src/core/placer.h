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

// What placement needs to know of a request.
struct PlacementQuery {
  const Route* route = nullptr;
  const RoutedService* service = nullptr;
  int tier = 0;
  // In order; the last one is the request's own.
  std::vector<PromptPart> parts;
  int prompt_tokens = 0;
  int answer_tokens = 0;
  // Its stream bears pauses that would make others of the service late.
  bool tolerates_pauses = false;
  // Ids of servers that this request was sent to or could not reach.
  std::vector<std::string> tried_servers;
  // The shortest target of the service's streams.
  std::optional<Duration> shortest_target;
  // Until when it rather waits for its home than has shared parts read again.
  TimePoint affinity_wait_until;
};

// Why the server was chosen.
enum class ChoiceReason : std::uint8_t {
  kCheapest,
  kPromptAffinity,  // The server that holds the request's shared parts.
  kTrial,           // To see whether the server has recovered.
  kOnlyEjected,     // Every server is ejected; the one due first.
};

// Returns the lower-case word that logs use.
std::string_view ToString(ChoiceReason reason);

// Why a server has no room for a request.
enum class CapacityLimit : std::uint8_t {
  kNone,                 // There is room.
  kSlots,                // Its slots are taken, or left to higher tiers.
  kMemory,               // The same of its memory.
  kGapSensitiveStreams,  // Streams there would pause for too long.
  kTooSlow,              // It, or those that come next, would be late.
};

std::string_view ToString(CapacityLimit limit);

// How many servers lacked room for what, in the order of CapacityLimit.
using CapacityLimitCounts = std::array<int, 5>;

// A chosen server with the inputs of the decision.
struct ServerChoice {
  RegisteredServer server;
  ChoiceReason reason = ChoiceReason::kCheapest;
  // The server is set aside for routes that bear pauses.
  bool is_reserved = false;
  Duration predicted_first_event{};
  // What the request adds to the server's load.
  ServerLoad added_load;
  LatencyInputs latency_inputs;
  // The server's load before, by the ledger.
  ServerLoad load;
  int cached_tokens = 0;
  int candidate_count = 0;
  // What the home of its shared parts lacked, if it has one.
  std::optional<CapacityLimit> affinity_limit;
};

// Why no server was chosen.
enum class NoChoiceReason : std::uint8_t {
  kNoServer,     // None is registered and staying.
  kUnreachable,  // All were tried.
  kFull,         // None has room.
  kHeldBack,     // It would make others late, or take room of higher tiers.
};

std::string_view ToString(NoChoiceReason reason);

// How a placer is set up.
struct PlacerOptions {
  std::string data_centre;
  // Name of this instance.
  std::string instance;
};

// Sends a request where the sum of its own delay, the delay that it causes to
// others, and the prompt tokens read again is least.
class Placer {
 public:
  // The directory must outlive the placer.
  Placer(PlacerOptions options, const BackendDirectory& directory);

  // A request arrived; learns how the work is divided.
  void RecordRequest(const PlacementQuery& query, TimePoint now);
  // How this instance divides the engines, and its own work, for the others.
  // All have to divide them alike, or a prompt has another home at each; so one
  // instance decides, by the work of all.
  [[nodiscard]] std::vector<ServicePartition> Partitions(TimePoint now) const;
  // Another instance's work.
  void SetPeerWork(const std::string& peer,
                   const std::vector<ServicePartition>& partitions,
                   TimePoint now);
  // Another instance ended or fell silent; its requests and work count no more.
  void RemovePeer(const std::string& peer);
  // Divides as another instance does.
  void FollowPartitions(const std::vector<ServicePartition>& partitions);
  // Decides for itself and for the others.
  void LeadPartitioning() { this->leads = true; }
  // Chooses; nothing is counted until Begin.
  [[nodiscard]] std::optional<ServerChoice> Choose(const PlacementQuery& query,
                                                   TimePoint now,
                                                   NoChoiceReason& why_not);
  // The request is sent to the server chosen.
  void RecordSend(const PlacementQuery& query, const ServerChoice& choice,
                  TimePoint now);
  // Its prompt was read: the first event came.
  void RecordFirstEvent(const PlacementQuery& query, ServerChoice& choice,
                        Duration elapsed, TimePoint now);
  // It ended. `read` tells whether RecordFirstEvent came before.
  void RecordEnd(const ServerChoice& choice);
  // Returns true when this ejected the server.
  bool RecordResult(const ServerChoice& choice, SendResult result,
                    TimePoint now);
  // Nothing came for this long.
  void ObserveSilence(const PlacementQuery& query, const ServerChoice& choice,
                      Duration silence, TimePoint now);

  // When a refused request would find room.
  [[nodiscard]] Duration EstimateRetryDelay(const PlacementQuery& query,
                                            TimePoint now) const;
  // A server restarted or left.
  void Forget(const std::string& server);
  // A data centre whose servers are avoided while there are others.
  void SetSuspectedDataCentres(std::set<std::string> data_centres) {
    this->suspected = std::move(data_centres);
  }
  [[nodiscard]] const std::set<std::string>& suspected_data_centres() const {
    return this->suspected;
  }
  // A server told its own running and waiting requests.
  void SetReportedLoad(const std::string& server, int running, int waiting,
                       TimePoint now);

  // How many instances send to the same servers, and how old their shares of
  // the ledger may be.
  void SetFleet(int instances, Duration report_interval) {
    this->instances = instances;
    this->interval = report_interval;
  }
  [[nodiscard]] LoadLedger& ledger() { return this->loads; }
  [[nodiscard]] const ServerHealth& health() const {
    return this->server_health;
  }
  // What the servers lacked when Choose last found none with room.
  [[nodiscard]] const CapacityLimitCounts& last_capacity_limits() const {
    return this->capacity_limits;
  }

 private:
  // A server that may be chosen, with its cost in milliseconds.
  struct Candidate {
    const RegisteredServer* server = nullptr;
    ServerLoad load;
    int cached_tokens = 0;
    // Place among the homes of the request's shared parts, from 0.
    std::optional<int> home_rank;
    bool trial = false;
    CapacityLimit limit = CapacityLimit::kNone;

    [[nodiscard]] bool IsFirstHome() const { return this->home_rank == 0; }
    LatencyInputs inputs;
    Duration predicted{};
    double cost = 0;
  };
  // Work in tokens, counted less the longer ago it came.
  struct RecentWork {
    double pause_tolerant_work = 0;
    double other_work = 0;
    TimePoint at;

    void FadeTo(TimePoint now);
  };
  // How a service's engines are divided between routes that bear pauses and all
  // others: reading a long prompt pauses the streams beside it.
  struct Sides {
    RecentWork work;
    // Share of the engines that is set aside for routes that bear pauses.
    double share = 0;
    int seen = 0;
    std::set<std::string> set_aside;
  };
  struct PeerWork {
    std::vector<ServicePartition> partitions;
    TimePoint at;
  };
  // What this instance sent to a server since the others last told theirs.
  struct RecentlySent {
    ServerLoad load;
    TimePoint since;
  };
  struct ReportedLoad {
    int running = 0;
    int waiting = 0;
    TimePoint at;
  };

  [[nodiscard]] std::vector<Candidate> Candidates(
      const PlacementQuery& query, TimePoint now,
      NoChoiceReason& why_not) const;
  // Where the shared parts belong, the first one before those that take what it
  // has no room for.
  [[nodiscard]] std::vector<const RegisteredServer*> HomesOf(
      const PlacementQuery& query) const;
  void Weigh(const PlacementQuery& query, Candidate& candidate,
             TimePoint now) const;
  // Between 0 and 1; differs from instance to instance.
  [[nodiscard]] double Dislike(const std::string& server) const;
  [[nodiscard]] bool IsSetAside(const PlacementQuery& query,
                                const std::string& server) const;
  void ChooseSides(const std::string& service, TimePoint now);
  // The share of a service's work that its long routes have at all instances.
  [[nodiscard]] double LongShare(const std::string& service,
                                 TimePoint now) const;
  // Whether it should wait for a home that has no room now.
  [[nodiscard]] static bool WaitsForHome(
      const PlacementQuery& query, const std::vector<Candidate>& candidates,
      const Candidate& best, TimePoint now);
  [[nodiscard]] CapacityLimit FindCapacityLimit(const PlacementQuery& query,
                                                const Candidate& candidate,
                                                TimePoint now) const;
  // What the others may have sent meanwhile: as much as this instance, each.
  [[nodiscard]] ServerLoad UntoldLoad(const std::string& server,
                                      TimePoint now) const;
  [[nodiscard]] ServerLoad LoadOf(const std::string& server,
                                  TimePoint now) const;
  [[nodiscard]] const LatencyModel& LatencyModelOf(const std::string& service,
                                                   bool set_aside) const;
  [[nodiscard]] std::optional<ServerChoice> ChooseEjected(
      const PlacementQuery& query, TimePoint now) const;
  [[nodiscard]] static ServerLoad FootprintOf(const PlacementQuery& query,
                                              int unread_tokens);

  PlacerOptions options;
  const BackendDirectory& directory;
  // Orders the servers by how much this instance likes them.
  std::uint64_t instance_seed;
  LoadLedger loads;
  PromptCacheMap caches;
  ServerHealth server_health;
  // By service and whether the server is set aside: a running request slows
  // others far more where prompts are long.
  std::map<std::pair<std::string, bool>, LatencyModel> speeds;
  std::map<std::string, ReportedLoad> reported;
  std::map<std::string, Sides> sides;
  std::map<std::string, PeerWork> peer_work;
  bool leads = true;
  std::map<std::string, RecentlySent> recent;
  int instances = 1;
  Duration interval = std::chrono::milliseconds(100);
  std::set<std::string> suspected;
  CapacityLimitCounts capacity_limits{};
};

}  // namespace rosemarycove
