// Decides which request goes to which backend server, and when.
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

// What the scheduler needs to know of a request.
struct PlacementRequest {
  RequestId id = 0;
  std::string class_name;
  std::string customer;
  std::string service;
  std::string model;  // Empty for a plain service.
  // Which group of the pool's servers it waits for, below GroupCount.
  std::uint32_t group = 0;
  TimePoint arrival;
  int prompt_tokens = 0;
  int max_tokens = 0;  // 0 is no bound.
  std::uint64_t prefix_hash =
      0;  // Fingerprint of the prompt's start; 0 is none.
};

// Why a backend server was chosen.
enum class PlacementReason : std::uint8_t {
  kLeastLoaded,
  kPrefixAffinity,
  kTrial,
  kOtherDataCentre
};

// Why a backend server was not chosen.
enum class SkipCause : std::uint8_t {
  kSlowerThanTarget,
  kTriedBefore,
  kMoreLoaded,
};

// A backend server that was looked at and not chosen.
struct SkippedCandidate {
  BackendIndex backend = 0;
  SkipCause cause = SkipCause::kMoreLoaded;
};

// A request's assignment to a backend server, with the reasons.
struct Placement {
  RequestId id = 0;
  BackendIndex backend = 0;
  PlacementReason reason = PlacementReason::kLeastLoaded;
  DequeueReason dequeue_reason = DequeueReason::kTier;
  int tier = 0;
  bool is_late = false;
  // Requests of higher tiers that waited in the same pool.
  std::size_t waiting_above = 0;
  // Expected batch and seconds between tokens.
  int batch_size = 0;
  double token_time = 0;
  // Expected tokens of the answer.
  double cost = 0;
  std::vector<SkippedCandidate> skipped;
};

// Returns the words that decision logs use.
std::string_view ToString(PlacementReason reason);
std::string_view ToString(SkipCause cause);
std::string_view ToString(DequeueReason reason);

// Places requests on backend servers by tier, deadline and load.
//
// Pure: it is driven by calls that carry the time, and does no input or output.
class Scheduler {
 public:
  // `data_centre` is where this instance runs.
  explicit Scheduler(std::string data_centre);

  // Takes a new set of resources; what was learned is kept.
  void SetResources(const ResourceSet& resources, TimePoint now);
  // Whether some backend server is declared for the service and model.
  [[nodiscard]] bool HasPool(const std::string& service,
                             const std::string& model) const;

  // Into how many groups the servers of this data centre are divided for the
  // service and model; each group has one scheduler. At least 1.
  [[nodiscard]] std::uint32_t GroupCount(const std::string& service,
                                         const std::string& model) const;
  // The index of a backend server, or nothing when it is not declared.
  [[nodiscard]] std::optional<BackendIndex> Find(
      const std::string& backend) const;
  // Members of a group in this data centre; all, when there are none here.
  [[nodiscard]] std::vector<BackendIndex> NearestMembers(
      const std::string& service, const std::string& model,
      std::uint32_t group) const;
  // Counts a request that another scheduler placed.
  void AdoptRunning(BackendIndex backend, TimePoint now);

  // Lets a request wait. The result names a request that lost its place.
  EnqueueResult Enqueue(const PlacementRequest& request, TimePoint now);
  // Takes off a waiting request whose caller left.
  bool Remove(RequestId id);
  // Takes off the requests that gave up waiting by now.
  std::vector<DroppedRequest> Expire(TimePoint now);
  // Makes the next placement, if any request can be placed now.
  std::optional<Placement> PlaceNext(TimePoint now);
  // Does what is due by time: ends ejections, tells stragglers.
  void Tick(TimePoint now);

  // Reports of what became of placed requests.
  void ObserveTokens(BackendIndex backend, int tokens, Duration elapsed);
  void ReleaseAfterSuccess(BackendIndex backend, const std::string& class_name,
                           const std::string& customer, int tokens,
                           TimePoint now);
  void ReleaseAfterFailure(BackendIndex backend, TimePoint now);
  // The request ended without saying anything of the server's health.
  void Release(BackendIndex backend, TimePoint now);
  void ReportLoad(const std::string& backend, TimePoint taken_at, int running,
                  TimePoint now);

  // How long until a request refused now could be served.
  [[nodiscard]] Duration RetryAfter(const std::string& service,
                                    const std::string& model,
                                    std::uint32_t group, int tier) const;
  // Not to be used again for this request, after a failure there.
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
    bool remote = false;
    bool removed = false;
  };

  // A waiting request and its pool.
  struct Waiting {
    PlacementRequest request;
    std::string pool;
    double cost = 0;
    std::set<BackendIndex> tried;
  };

  BackendEntry& entry(BackendIndex index) {
    return this->backends[static_cast<std::size_t>(index)];
  }
  static std::string PoolName(const std::string& service,
                              const std::string& model);
  static std::string GroupName(const std::string& service,
                               const std::string& model, std::uint32_t group);
  [[nodiscard]] bool InPool(const Backend& backend, const std::string& service,
                            const std::string& model) const;
  void RebuildPools(const ResourceSet& resources);
  void BuildGroups(const std::string& service, const std::string& model);
  void UpdateRate(BackendPool& pool);
  void UpdateOrder(BackendIndex index);
  QueueEntry MakeEntry(const PlacementRequest& request, BackendPool& pool,
                       TimePoint now);
  bool Fits(const BackendPool& pool, BackendIndex index, const Waiting& waiting,
            int tier, TimePoint now) const;
  std::optional<Placement> Choose(BackendPool& pool, const NextRequest& next,
                                  TimePoint now);
  std::optional<Placement> PlaceIn(BackendPool& pool, TimePoint now);
  void Commit(BackendPool& pool, const NextRequest& next, Placement& placement,
              TimePoint now);
  void RememberPrefix(std::uint64_t prefix_hash, BackendIndex backend);
  void EvaluateSpeed(BackendIndex index, TimePoint now);
  void EndStream(BackendIndex backend, TimePoint now);

  std::string data_centre;
  std::unordered_map<std::string, RequestClass> classes;
  std::unordered_map<std::string, double> customer_weights;
  double target_factor = 1;
  std::vector<BackendEntry> backends;
  std::unordered_map<std::string, BackendIndex> backend_by_name;
  std::map<std::string, BackendPool> pools;
  std::unordered_map<std::string, std::uint32_t> group_counts;
  std::set<std::string> changed_pools;
  std::unordered_map<RequestId, Waiting> waiting_requests;
  LengthPredictor predictor;
  std::unordered_map<std::uint64_t, BackendIndex> backend_by_prefix;
  std::deque<std::uint64_t> prefix_insertion_order;
  TimePoint next_speed_check;
  std::set<BackendIndex> ejected;
};

}  // namespace rosemarycove
