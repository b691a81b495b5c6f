// Decides when a request is sent and to which backend server.
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
  // The group of servers that it waits for; less than GroupCount.
  std::uint32_t group = 0;
  TimePoint arrival;
  int prompt_tokens = 0;
  int max_tokens = 0;             // 0 if the answer has no limit.
  std::uint64_t prefix_hash = 0;  // Hash of the prompt's start; 0 if none.
};

// Why a backend server was chosen.
enum class PlacementReason : std::uint8_t {
  kLeastLoaded,
  kPrefixAffinity,  // It recently got a prompt with the same prefix.
  kTrial,           // It is tested after an ejection.
  kOtherDataCentre  // No server of this data centre was available.
};

// Why a backend server was not chosen.
enum class SkipCause : std::uint8_t {
  kSlowerThanTarget,  // One more request would exceed the token time limit.
  kTriedBefore,       // An earlier attempt of the request failed there.
  kMoreLoaded,        // A server with the prompt's prefix was preferred.
};

// A backend server that was considered and not chosen.
struct SkippedCandidate {
  BackendIndex backend = 0;
  SkipCause cause = SkipCause::kMoreLoaded;
};

// The assignment of a request to a backend server, with the reasons.
struct Placement {
  RequestId id = 0;
  BackendIndex backend = 0;
  PlacementReason reason = PlacementReason::kLeastLoaded;
  DequeueReason dequeue_reason = DequeueReason::kTier;
  int tier = 0;
  bool is_late = false;
  // Number of requests of higher tiers that waited for the same pool.
  std::size_t waiting_above = 0;
  // Expected batch size, this request included.
  int batch_size = 0;
  // Expected seconds between tokens.
  double token_time = 0;
  // Expected tokens of the response; 1 for a plain service.
  double expected_tokens = 0;
  std::vector<SkippedCandidate> skipped;
};

// Return the words used in the log of placement decisions.
std::string_view ToString(PlacementReason reason);
std::string_view ToString(SkipCause cause);
std::string_view ToString(DequeueReason reason);

// Places requests on backend servers by tier, deadline and load.
//
// It does no input or output and reads no clock: every call passes the time. It
// is not thread-safe.
class Scheduler {
 public:
  // `data_centre` is the data centre of this instance.
  explicit Scheduler(std::string data_centre);

  // Replaces the resources. Measured speeds, health and predictions are kept.
  void SetResources(const ResourceSet& resources, TimePoint now);
  // True if at least one backend server is declared for the service and model.
  [[nodiscard]] bool HasPool(const std::string& service,
                             const std::string& model) const;

  // Returns the number of groups into which the servers of this data centre are
  // divided for the service and model; at least 1. Each group is scheduled by
  // one instance.
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
  // Counts a running request that another instance's scheduler placed.
  void AdoptRunning(BackendIndex backend, TimePoint now);

  // Adds a request to the queue of its group. The result names the request that
  // was evicted for it, if any.
  EnqueueResult Enqueue(const PlacementRequest& request, TimePoint now);
  // Removes a waiting request. Returns false if it does not wait.
  bool Remove(RequestId id);
  // Removes and returns the requests whose time to wait is over.
  std::vector<DroppedRequest> Expire(TimePoint now);
  // Makes the next placement, or returns nullopt if no request can be placed
  // now.
  std::optional<Placement> PlaceNext(TimePoint now);
  // Ends ejections that are due and evaluates the speed of the servers.
  void Tick(TimePoint now);

  // Records that `tokens` tokens of a stream took `elapsed`.
  void ObserveTokens(BackendIndex backend, int tokens, Duration elapsed);
  // These free the slot of a placed request that ended. A success is recorded
  // for the length prediction; a failure ejects the server. Release says
  // nothing about the server's health.
  void ReleaseAfterSuccess(BackendIndex backend, const std::string& class_name,
                           const std::string& customer, int tokens,
                           TimePoint now);
  void ReleaseAfterFailure(BackendIndex backend, TimePoint now);
  void Release(BackendIndex backend, TimePoint now);
  // Applies a load report that the server measured at `taken_at`.
  void ApplyLoadReport(const std::string& backend, TimePoint taken_at,
                       int running, TimePoint now);

  // Estimates how long a caller of a refused request should wait: the time in
  // which the waiting requests of its tier and higher ones can be served.
  [[nodiscard]] Duration RetryAfter(const std::string& service,
                                    const std::string& model,
                                    std::uint32_t group, int tier) const;
  // Excludes a server for a waiting request after a failed attempt there.
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
    std::set<std::string> pools;
    bool is_remote = false;
    bool is_removed = false;
  };

  // A waiting request and the name of its pool.
  struct WaitingRequest {
    PlacementRequest request;
    std::string pool;
    double cost = 0;
    std::set<BackendIndex> tried;
  };

  BackendEntry& entry(BackendIndex index) {
    return this->backends[static_cast<std::size_t>(index)];
  }
  // Name of the pool of all servers for the service and model.
  static std::string PoolName(const std::string& service,
                              const std::string& model);
  static std::string GroupName(const std::string& service,
                               const std::string& model, std::uint32_t group);
  [[nodiscard]] bool InPool(const Backend& backend, const std::string& service,
                            const std::string& model) const;
  void RebuildPools(const ResourceSet& resources);
  void BuildGroups(const std::string& service, const std::string& model);
  // Sets the token rate of the pool's queue from its members.
  void UpdateRate(BackendPool& pool);
  // Reorders a server in all of its pools after a change of its state.
  void UpdateOrder(BackendIndex index);
  QueueEntry MakeEntry(const PlacementRequest& request, BackendPool& pool,
                       TimePoint now);
  bool MeetsTokenTimeLimit(const BackendPool& pool, BackendIndex index,
                           const WaitingRequest& waiting, int tier,
                           TimePoint now) const;
  std::optional<Placement> ChooseBackend(BackendPool& pool,
                                         const NextRequest& next,
                                         TimePoint now);
  std::optional<Placement> PlaceFromPool(BackendPool& pool, TimePoint now);
  // Dequeues a placed request and occupies its slot.
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
  std::map<std::string, BackendPool> pools;
  std::unordered_map<std::string, std::uint32_t> group_counts;
  // Pools in which a placement may have become possible.
  std::set<std::string> changed_pools;
  std::unordered_map<RequestId, WaitingRequest> waiting_requests;
  LengthPredictor predictor;
  std::unordered_map<std::uint64_t, BackendIndex> backend_by_prefix;
  std::deque<std::uint64_t> prefix_insertion_order;
  TimePoint next_speed_check;
  std::set<BackendIndex> ejected;
};

}  // namespace rosemarycove
