// The requests that wait for one pool of backend servers, and their order.
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
  // Expected tokens of the answer; 1 for a plain service.
  double cost = 1;
};

// Why a request is next.
enum class DequeueReason : std::uint8_t {
  kTier,             // No request of a higher tier waits.
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
  kEvicted,  // A request of a higher tier took its place.
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
  // The request that was evicted to make room, if any.
  std::optional<DroppedRequest> evicted;
};

// Orders the waiting requests of one pool.
//
// Higher tiers have strict priority, except for the guaranteed share of each
// class. Within a tier, requests are ordered by their latest start, delayed by
// the time that the customer is ahead of its fair rate (virtual clock, Zhang
// 1990). Requests on time precede late ones, but each class serves a late
// request after a bounded number of others. docs/design/tier-order.md specifies
// the exact order.
//
// Part of a BackendPool; not thread-safe.
class TieredQueue {
 public:
  // Replaces the classes. Waiting requests of a removed class keep its last
  // definition.
  void SetClasses(const std::vector<RequestClass>& classes, int max_waiting);
  // Sets the tokens per second that the pool generates, from which the fair
  // rates of the customers are derived.
  void SetRate(double tokens_per_second);
  [[nodiscard]] double rate() const { return this->tokens_per_second; }

  // Adds a request. If its class has no reserved place left and the shared
  // places are full, it evicts the last request of the lowest tier below its
  // own; if there is none, it is not added.
  EnqueueResult Enqueue(const QueueEntry& entry, TimePoint now);
  // Removes and returns the requests whose time to wait is over: late ones of
  // classes that refuse them, and those beyond the maximum wait of their class.
  // Marks the others that became late.
  std::vector<DroppedRequest> Expire(TimePoint now);
  // Returns the request to place next. With `by_share` false, guaranteed shares
  // are ignored.
  [[nodiscard]] std::optional<NextRequest> Next(bool by_share) const;
  // Removes a request that was placed and updates the credits of the shares.
  void Dequeue(const NextRequest& next);
  // Removes a request that is not to be placed here any more. Returns false if
  // it does not wait here.
  bool Remove(RequestId id);

  [[nodiscard]] std::size_t size() const { return this->requests.size(); }
  // Number of requests that wait in higher tiers (smaller numbers) than `tier`.
  [[nodiscard]] std::size_t WaitingAbove(int tier) const;
  // Expected tokens of the requests that wait in this tier and higher ones.
  [[nodiscard]] double WaitingCost(int tier) const;

 private:
  using OrderKey = std::pair<TimePoint, RequestId>;

  // The waiting requests of one class.
  struct ClassQueue {
    RequestClass definition;
    // Queue places that only this class uses.
    std::size_t reserved = 0;
    // Tokens of the guaranteed share that the class has not used yet.
    double credit = 0;
    // Expected tokens of its waiting requests.
    double cost = 0;
    int dequeued_since_late = 0;
    std::set<OrderKey> on_time;
    std::set<OrderKey> late;

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool IsLateNext() const;
    [[nodiscard]] OrderKey Next() const;
  };

  // A waiting request and its place in the order.
  struct QueuedRequest {
    QueueEntry entry;
    std::size_t queue_index = 0;
    OrderKey key;
    // When it becomes late or is removed.
    TimePoint expiry;
    bool is_late = false;
  };

  // A customer's virtual clock: it runs ahead of the time by as much as the
  // customer is ahead of its fair rate.
  struct Flow {
    TimePoint virtual_time;
    int waiting = 0;
  };

  // Number of requests in the shared places.
  [[nodiscard]] std::size_t SharedWaiting() const;
  // Returns the request to evict for one of this tier, if any.
  [[nodiscard]] std::optional<RequestId> FindVictim(int tier) const;
  [[nodiscard]] std::optional<NextRequest> NextByShare() const;
  [[nodiscard]] std::optional<NextRequest> NextByTier() const;
  [[nodiscard]] TimePoint ExpiryOf(const QueuedRequest& request) const;
  QueuedRequest Erase(RequestId id);
  // Credits each waiting class with its share of a placed request's cost.
  void AddCredit(double cost);
  // Advances the customer's virtual clock by a new request. Returns the latest
  // start of the request, delayed by the customer's lead.
  TimePoint AdvanceFlow(const QueueEntry& entry, TimePoint now);

  std::vector<ClassQueue> queues;  // Sorted by tier.
  std::unordered_map<std::string, std::size_t> queue_by_class;
  std::unordered_map<RequestId, QueuedRequest> requests;
  std::unordered_map<std::string, Flow> flows;
  std::set<OrderKey> expiries;
  std::size_t shared_capacity = 0;
  double tokens_per_second = 1000;
};

}  // namespace rosemarycove
