// The requests that wait for one group of a pool's backend servers, and their
// order. Used by Scheduler; the proxy (src/proxy) uses PlacementQueue.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/resources.h"
#include "core/types.h"

namespace rosemarycove {

// The properties of a waiting request that determine its order.
struct QueueEntry {
  RequestId id = 0;
  std::string class_name;
  std::string customer;
  double customer_weight = 1;
  TimePoint arrival;
  // Latest start at which it is expected to meet its target.
  TimePoint latest_start;
  // Expected tokens of the response; 1 for a plain service.
  double cost = 1;
};

// Why a request is next.
enum class DequeueReason : std::uint8_t {
  kTier,             // No request of a more important tier waits.
  kGuaranteedShare,  // Its class has unused credit of its guaranteed share.
};

// The request to place next.
struct NextRequest {
  RequestId id = 0;
  DequeueReason dequeue_reason = DequeueReason::kTier;
  int tier = 0;
  bool is_late = false;
};

// Why a request left the queue without being placed.
enum class DropCause : std::uint8_t {
  kEvicted,  // A request of a more important tier got its queue position.
  kLate,     // It can no longer meet its target; its class refuses late ones.
  kMaxWait,  // It waited longer than its class allows.
};

// A request that left the queue without being placed.
struct DroppedRequest {
  RequestId id = 0;
  DropCause cause;
};

// The result of adding a request.
struct EnqueueResult {
  bool added = false;  // False if the queue is full.
  // The request that was evicted for it; nullopt if none was.
  std::optional<DroppedRequest> evicted;
};

// Orders the waiting requests of one group.
//
// More important tiers (smaller numbers) have strict priority, except for the
// guaranteed share of each class. Within a tier, requests are ordered by latest
// start plus the customer's virtual-clock lead (Zhang 1990): the time by which
// the customer is ahead of its fair rate. Requests on time precede late ones,
// but each class serves a late request after kOthersPerLateRequest others.
// docs/design/tier-order.md specifies the exact order.
//
// Part of a BackendPool; not thread-safe.
class TieredQueue {
 public:
  // Replaces the classes. `max_waiting` is the number of shared queue
  // positions. Waiting requests of a removed class keep its last definition.
  void SetClasses(const std::vector<RequestClass>& classes, int max_waiting);
  // Sets the tokens per second that the servers generate, from which the fair
  // rates of the customers are derived.
  void SetRate(double tokens_per_second);
  [[nodiscard]] double rate() const { return this->tokens_per_second; }

  // Adds a request. If the reserved queue positions of its class and the shared
  // ones are full, it evicts the last request of the least important tier that
  // is less important than its own; if there is none, it is not added.
  EnqueueResult Enqueue(const QueueEntry& entry, TimePoint now);
  // Removes and returns the late requests of classes that refuse them, and
  // those that waited longer than their class allows. Marks the others that
  // became late.
  std::vector<DroppedRequest> Expire(TimePoint now);
  // Returns the request to place next, or nullopt if none is waiting. With
  // `by_share` false, guaranteed shares are ignored.
  [[nodiscard]] std::optional<NextRequest> Next(bool by_share) const;
  // Removes a request that was placed and updates the credits of the shares.
  void Dequeue(const NextRequest& next);
  // Removes a request without placing it. Returns false if it is not queued.
  bool Remove(RequestId id);

  [[nodiscard]] std::size_t size() const { return this->requests.size(); }
  // Returns the number of requests in more important tiers than `tier`.
  [[nodiscard]] std::size_t WaitingAbove(int tier) const;
  // Returns the expected tokens of the requests in this tier and more important
  // ones.
  [[nodiscard]] double WaitingCost(int tier) const;

 private:
  using OrderKey = std::pair<TimePoint, RequestId>;

  // The waiting requests of one class.
  struct ClassQueue {
    RequestClass definition;
    // Number of queue positions that only this class may use.
    std::size_t reserved = 0;
    // Tokens of the guaranteed share that the class has not used.
    double credit = 0;
    // Expected tokens of its waiting requests.
    double cost = 0;
    // Requests dequeued since the last late one.
    int dequeued_since_late = 0;
    // The requests that are not late, by latest start plus the customer's lead.
    std::set<OrderKey> on_time;
    // The late requests, by arrival.
    std::set<OrderKey> late;

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool IsLateNext() const;
    [[nodiscard]] OrderKey Next() const;
  };

  // A waiting request and its position in the order.
  struct QueuedRequest {
    QueueEntry entry;
    std::size_t queue_index = 0;
    OrderKey key;
    // When it becomes late or is removed.
    TimePoint expiry;
    bool is_late = false;
  };

  // A customer's virtual clock. It is ahead of the current time by as much as
  // the customer is ahead of its fair rate.
  struct Flow {
    TimePoint virtual_time;
    // Number of the customer's waiting requests.
    int waiting = 0;
  };

  // Returns the number of requests in shared queue positions.
  [[nodiscard]] std::size_t SharedWaiting() const;
  // Returns the request to evict for one of this tier, or nullopt.
  [[nodiscard]] std::optional<RequestId> FindVictim(int tier) const;
  [[nodiscard]] std::optional<NextRequest> NextByShare() const;
  [[nodiscard]] std::optional<NextRequest> NextByTier() const;
  [[nodiscard]] TimePoint ExpiryOf(const QueuedRequest& request) const;
  QueuedRequest Erase(RequestId id);
  // Adds to the credit of each class with waiting requests its guaranteed share
  // of a placed request's cost, up to twice the cost of its own next request.
  void AddCredit(double cost);
  // Advances the customer's virtual clock for a new request. Returns the latest
  // start of the request plus the customer's lead before it.
  TimePoint AdvanceFlow(const QueueEntry& entry, TimePoint now);

  std::vector<ClassQueue> queues;  // Sorted by tier.
  std::unordered_map<std::string, std::size_t> queue_by_class;
  std::unordered_map<RequestId, QueuedRequest> requests;
  // The customers with waiting requests, by name.
  std::unordered_map<std::string, Flow> flows;
  // The expiry of each request.
  std::set<OrderKey> expiries;
  // Number of shared queue positions.
  std::size_t shared_capacity = 0;
  double tokens_per_second = 1000;
};

}  // namespace rosemarycove
