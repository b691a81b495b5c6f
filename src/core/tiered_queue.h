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

// A waiting request, as far as its order is concerned.
struct QueueEntry {
  RequestId id = 0;
  std::string class_name;
  std::string customer;
  double customer_weight = 1;
  TimePoint arrival;
  // Started later than this, it is not expected to meet its target.
  TimePoint latest_start;
  // Expected tokens.
  double cost = 1;
};

// Why a request is next.
enum class DequeueReason : std::uint8_t {
  kTier,             // Nothing of a higher tier waits.
  kGuaranteedShare,  // Its class is owed part of its share.
};

// The request that is to be placed next.
struct NextRequest {
  RequestId id = 0;
  DequeueReason dequeue_reason = DequeueReason::kTier;
  int tier = 0;
  bool is_late = false;
};

// Why a request left the queue without being placed.
enum class DropCause : std::uint8_t {
  kEvicted,  // A request of a higher tier took its place.
  kLate,     // It can no longer meet its target, and its class refuses then.
  kMaxWait,  // It waited longer than its class allows.
};

// A request that left the queue without being placed.
struct DroppedRequest {
  RequestId id = 0;
  DropCause cause;
};

// What became of a request that was to be added.
struct EnqueueResult {
  bool added = false;
  std::optional<DroppedRequest> evicted;
};

// Orders the waiting requests of one pool.
//
// Tiers go strictly first, but for the guaranteed share of each class. Within
// a tier the earliest latest start goes first, put back by as much as the
// request's customer is ahead of its fair rate (the virtual clock of Zhang,
// 1990). A request that is late yields to those on time; each class still
// serves a late one after a bounded number of others. The exact order is
// stated in docs/design/tier-order.md.
class TieredQueue {
 public:
  // Takes the classes as they are now; entries of a class that is gone keep
  // the definition with which they were added.
  void SetClasses(const std::vector<RequestClass>& classes, int max_waiting);
  // Tokens a second that the pool produces, for the customers' fair rates.
  void SetRate(double tokens_per_second);
  [[nodiscard]] double rate() const { return this->tokens_per_second; }

  // Adds a request. When the shared places are taken, the last request of the
  // lowest tier below its own is evicted; without one it is not added.
  EnqueueResult Enqueue(const QueueEntry& entry, TimePoint now);
  // Takes off the requests that gave up by now: late ones of classes that
  // refuse when late, and those over their class's longest wait.
  std::vector<DroppedRequest> Expire(TimePoint now);
  // The request to place next; with `by_share` false, by tiers alone.
  [[nodiscard]] std::optional<NextRequest> Next(bool by_share) const;
  // Takes off a request that was placed and settles the shares.
  void Dequeue(const NextRequest& next);
  // Takes off a request whose caller left. False when it does not wait here.
  bool Remove(RequestId id);

  [[nodiscard]] std::size_t size() const { return this->requests.size(); }
  // Requests waiting above the tier given (smaller numbers).
  [[nodiscard]] std::size_t WaitingAbove(int tier) const;
  // Tokens waiting in this tier and above.
  [[nodiscard]] double WaitingCost(int tier) const;

 private:
  using OrderKey = std::pair<TimePoint, RequestId>;

  // The waiting requests of one class.
  struct ClassQueue {
    RequestClass definition;
    std::size_t reserved = 0;
    double credit = 0;
    double cost = 0;
    int dequeued_since_late = 0;
    std::set<OrderKey> on_time;
    std::set<OrderKey> late;

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool IsLateNext() const;
    [[nodiscard]] OrderKey Next() const;
  };

  // One waiting request and where it stands.
  struct QueuedRequest {
    QueueEntry entry;
    std::size_t queue_index = 0;
    OrderKey key;
    TimePoint expiry;
    bool is_late = false;
  };

  // How far a customer is ahead of its fair rate.
  struct Flow {
    TimePoint virtual_time;
    int waiting = 0;
  };

  [[nodiscard]] std::size_t SharedWaiting() const;
  [[nodiscard]] std::optional<RequestId> FindVictim(int tier) const;
  [[nodiscard]] std::optional<NextRequest> NextByShare() const;
  [[nodiscard]] std::optional<NextRequest> NextByTier() const;
  [[nodiscard]] TimePoint ExpiryOf(const QueuedRequest& request) const;
  QueuedRequest Erase(RequestId id);
  void AddCredit(double cost);
  TimePoint AdvanceFlow(const QueueEntry& entry, TimePoint now);

  std::vector<ClassQueue> queues;  // By tier.
  std::unordered_map<std::string, std::size_t> queue_by_class;
  std::unordered_map<RequestId, QueuedRequest> requests;
  std::unordered_map<std::string, Flow> flows;
  std::set<OrderKey> expiries;
  std::size_t shared_capacity = 0;
  double tokens_per_second = 1000;
};

}  // namespace rosemarycove
