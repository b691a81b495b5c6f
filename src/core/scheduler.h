// Decides when a request is sent and to which backend server, for the requests
// of a Node. (The proxy in src/proxy uses Placer.)
//
// A pool is the set of backend servers for one service and model. It is divided
// into groups, each of which one instance schedules; a group has its own queue.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/backend_pool.h"
#include "core/backend_state.h"
#include "core/length_predictor.h"
#include "core/resources.h"
#include "core/seeded_hash.h"
#include "core/tiered_queue.h"
#include "core/types.h"

namespace rosemarycove {

// The properties of a request that the scheduler uses.
struct PlacementRequest {
  RequestId id = 0;
  std::string class_name;
  std::string customer;
  std::string service;
  std::string model;  // Empty for a plain service.
  // Index of the group of servers that it waits for; less than GroupCount.
  std::uint32_t group = 0;
  TimePoint arrival;
  int prompt_tokens = 0;
  int max_tokens = 0;             // 0 if the response has no limit.
  std::uint64_t prefix_hash = 0;  // Hash of the prompt's start; 0 if none.
};

// Why a backend server was chosen.
enum class PlacementReason : std::uint8_t {
  kLeastLoaded,
  kPrefixAffinity,  // It recently got a prompt with the same prefix.
  kTrial,           // Its ejection ended; the request tests its recovery.
  kOtherDataCentre  // No server of this data centre was available.
};

// Why a backend server was not chosen.
enum class SkipCause : std::uint8_t {
  kSlowerThanTarget,  // One more request would exceed the token time limit.
  kTriedBefore,       // An earlier attempt of the request failed there.
  // A server that probably caches the prompt's prefix was preferred, although
  // this one has the lower expected token time.
  kPrefixPreferred,
};

// A backend server that was considered and not chosen.
struct SkippedCandidate {
  BackendIndex backend = 0;
  SkipCause cause = SkipCause::kPrefixPreferred;
};

// The assignment of a request to a backend server, with the reasons.
struct Placement {
  RequestId id = 0;
  BackendIndex backend = 0;
  PlacementReason reason = PlacementReason::kLeastLoaded;
  DequeueReason dequeue_reason = DequeueReason::kTier;
  int tier = 0;
  bool is_late = false;
  // Number of requests of more important tiers in the same queue.
  std::size_t waiting_above = 0;
  // Expected batch size on the server, this request included.
  int batch_size = 0;
  // Expected seconds between tokens.
  double token_time = 0;
  // Expected tokens of the response; 1 for a plain service.
  double expected_tokens = 0;
  std::vector<SkippedCandidate> skipped;
};

// Returns the word used in the log of placement decisions.
std::string_view ToString(PlacementReason reason);
std::string_view ToString(SkipCause cause);
std::string_view ToString(DequeueReason reason);

// Places requests on backend servers by tier, deadline and load. Owned by a
// Node.
//
// It does no input or output and reads no clock: its caller passes the time. It
// is not thread-safe.
class Scheduler {
 public:
  // `data_centre` is the data centre of this instance.
  explicit Scheduler(std::string data_centre);

  // Replaces the resources. Measured speeds, health and predictions are kept.
  void SetResources(const ResourceSet& resources, TimePoint now);
  // Returns whether a backend server is declared for the service and model.
  [[nodiscard]] bool HasPool(const std::string& service,
                             const std::string& model) const;

  // Returns the number of groups into which the pool's servers in this data
  // centre are divided; at least 1. Servers in other data centres belong to all
  // groups.
  [[nodiscard]] std::uint32_t GroupCount(const std::string& service,
                                         const std::string& model) const;
  // Returns the index of a backend server, or nullopt if it was never declared.
  [[nodiscard]] std::optional<BackendIndex> Find(
      const std::string& backend) const;
  // Returns the members of a group in this data centre, or all of its members
  // if there are none here.
  [[nodiscard]] std::vector<BackendIndex> NearestMembers(
      const std::string& service, const std::string& model,
      std::uint32_t group) const;
  // Counts a running request that the previous scheduler of its group placed.
  void AdoptRunning(BackendIndex backend, TimePoint now);

  // Adds a request to the queue of its group. The result names the request that
  // was evicted for it, if any.
  EnqueueResult Enqueue(const PlacementRequest& request, TimePoint now);
  // Removes a request from its queue. Returns false if it is not queued.
  bool Remove(RequestId id);
  // Removes and returns the requests that waited too long or can no longer meet
  // their target and belong to a class that refuses late requests.
  std::vector<DroppedRequest> Expire(TimePoint now);
  // Makes the next placement, or returns nullopt if no request can be placed
  // now.
  std::optional<Placement> PlaceNext(TimePoint now);
  // Starts the trials of servers whose ejection is over. Evaluates the speed of
  // the servers at a fixed period.
  void Tick(TimePoint now);

  // Records that `tokens` tokens of a stream took `elapsed`.
  void ObserveTokens(BackendIndex backend, int tokens, Duration elapsed);
  // Each of these frees the slot of a placed request that ended.
  // ReleaseAfterSuccess also records `tokens` for the length prediction, or
  // ends a trial of the server if there were none. ReleaseAfterFailure also
  // ejects the server. Release does not change the server's health.
  void ReleaseAfterSuccess(BackendIndex backend, const std::string& class_name,
                           const std::string& customer, int tokens,
                           TimePoint now);
  void ReleaseAfterFailure(BackendIndex backend, TimePoint now);
  void Release(BackendIndex backend, TimePoint now);
  // Applies a load report of the server: `running` requests from all instances
  // at the time `taken_at`.
  void ApplyLoadReport(const std::string& backend, TimePoint taken_at,
                       int running, TimePoint now);

  // Estimates how long the caller of a refused request should wait: the time
  // that the pool needs to serve the waiting requests of this tier and more
  // important ones.
  [[nodiscard]] Duration RetryAfter(const std::string& service,
                                    const std::string& model,
                                    std::uint32_t group, int tier) const;
  // Avoids a server for a waiting request after a failed attempt there; it is
  // chosen again only if no other server is available.
  void MarkTried(RequestId id, BackendIndex backend);

  [[nodiscard]] const BackendState& backend(BackendIndex index) const {
    return this->backends[static_cast<std::size_t>(index)].state;
  }
  [[nodiscard]] std::size_t backend_count() const {
    return this->backends.size();
  }
  [[nodiscard]] std::size_t waiting_count() const {
    return this->waiting_requests.size();
  }

 private:
  struct BackendEntry {
    BackendState state;
    // Names of the groups to which the server belongs.
    std::set<std::string> pools;
    // True if the server is in another data centre.
    bool is_remote = false;
    // True if the server is no longer declared.
    bool is_removed = false;
  };

  struct WaitingRequest {
    PlacementRequest request;
    // Name of the group whose queue holds the request.
    std::string pool;
    // Expected tokens of the response; 1 for a plain service.
    double cost = 0;
    // The servers where attempts of the request failed.
    std::set<BackendIndex> tried;
  };

  BackendEntry& entry(BackendIndex index) {
    return this->backends[static_cast<std::size_t>(index)];
  }
  // Returns the name of the pool for the service and model.
  static std::string PoolName(const std::string& service,
                              const std::string& model);
  // Returns the key of a group in `pools`.
  static std::string GroupName(const std::string& service,
                               const std::string& model, std::uint32_t group);
  [[nodiscard]] bool InPool(const Backend& backend, const std::string& service,
                            const std::string& model) const;
  void RebuildPools(const ResourceSet& resources);
  void BuildGroups(const std::string& service, const std::string& model);
  // Sets the token rate of the queue from the members of the group.
  void UpdateRate(BackendPool& pool);
  // Reorders a server in all of its groups after a change of its state.
  void UpdateOrder(BackendIndex index);
  // Returns the queue entry of a request and records its token time limit.
  QueueEntry MakeEntry(const PlacementRequest& request, BackendPool& pool,
                       TimePoint now);
  bool MeetsTokenTimeLimit(const BackendPool& pool, BackendIndex index,
                           const WaitingRequest& waiting, int tier,
                           TimePoint now) const;
  std::optional<Placement> ChooseBackend(BackendPool& pool,
                                         const NextRequest& next,
                                         TimePoint now);
  std::optional<Placement> PlaceFromPool(BackendPool& pool, TimePoint now);
  // Dequeues a placed request and counts it as running on its server.
  void Commit(BackendPool& pool, const NextRequest& next, Placement& placement,
              TimePoint now);
  void RememberPrefix(std::uint64_t prefix_hash, BackendIndex backend);
  // Ejects a straggler, or ends a trial if the speed is normal.
  void EvaluateSpeed(BackendIndex index, TimePoint now);
  void ReleaseSlot(BackendIndex backend, TimePoint now);

  std::string data_centre;
  std::unordered_map<std::string, RequestClass> classes;
  std::unordered_map<std::string, double> customer_weights;
  // Lowers token time limits by the margin that the attainment weight sets.
  double token_time_limit_factor = 1;
  std::vector<BackendEntry> backends;
  std::unordered_map<std::string, BackendIndex> backend_by_name;
  // One for each group, by GroupName.
  std::map<std::string, BackendPool> pools;
  // By PoolName.
  std::unordered_map<std::string, std::uint32_t> group_counts;
  // Names of the groups in which a placement may have become possible.
  std::set<std::string> changed_pools;
  std::unordered_map<RequestId, WaitingRequest> waiting_requests;
  LengthPredictor predictor;
  // The last server that got a prompt with the prefix, by its hash.
  std::unordered_map<std::uint64_t, BackendIndex, SeededHash> backend_by_prefix;
  // Prefix hashes in order of insertion, for eviction.
  std::deque<std::uint64_t> prefix_insertion_order;
  TimePoint next_speed_check;
  // The servers whose ejection has not ended.
  std::set<BackendIndex> ejected;
};

}  // namespace rosemarycove
