// The state machine of one instance.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/actions.h"
#include "core/events.h"
#include "core/remote_slot_table.h"
#include "core/resources.h"
#include "core/retry_budget.h"
#include "core/scheduler.h"
#include "core/scheduler_assignment.h"
#include "core/types.h"

namespace rosemarycove {

// How a node is set up.
struct NodeOptions {
  // The instance's name among its peers.
  std::string instance;
  std::string data_centre;
};

// Counts of requests, by where they are and how they ended.
struct NodeCounters {
  std::uint64_t arrived = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t unknown = 0;
  std::uint64_t retries = 0;
  std::uint64_t wasted_tokens = 0;
};

// Takes a request from its arrival to its one outcome.
//
// The instances of a data centre share its backend servers: each group of them
// has one scheduler among the instances, which grants slots to the others. The
// asking instance talks to the backend server itself.
//
// Pure: events come in with their time, actions go out as values. Any driver
// with a clock and a network, real or simulated, can be put round it.
class Node {
 public:
  explicit Node(NodeOptions options);

  // Takes one event and returns what is to be done because of it, in order.
  std::vector<Action> Handle(TimePoint now, const Event& event);

  // Whether it may be given requests.
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] bool IsDraining() const { return this->is_draining; }
  [[nodiscard]] std::size_t running_count() const {
    return this->running_requests;
  }
  // Requests in the queues or at the store.
  [[nodiscard]] std::size_t waiting_count() const {
    return this->requests.size() - this->running_requests;
  }
  // The backend servers whose slots this node grants: those of the groups that
  // it schedules, in its own data centre where there are any.
  [[nodiscard]] std::vector<Backend> ScheduledBackends() const;
  // Requests of other instances that wait here or hold a slot from here.
  [[nodiscard]] std::size_t remote_slot_count() const {
    return this->remote_slots.size();
  }
  [[nodiscard]] const NodeCounters& counters() const { return this->counts; }
  [[nodiscard]] const Scheduler& scheduler() const {
    return this->local_scheduler;
  }
  // The resources in force, or null before the first.
  [[nodiscard]] const std::shared_ptr<const ResourceSet>& resources() const {
    return this->in_force;
  }

 private:
  enum class Phase : std::uint8_t {
    kClaiming,  // For the store's answer on its idempotency key.
    kWaiting,   // In the queue of this node's own scheduler.
    kAsked,     // In the queue of another instance.
    kRunning,
  };

  // A request that has no outcome yet.
  struct Request {
    RequestArrived arrived;
    PlacementRequest placement;
    LatencyTarget target;
    int tier = 0;
    bool repeatable = true;
    bool sent = false;
    bool counted = false;  // In the in-flight counts of its owners.
    Phase phase = Phase::kWaiting;
    TimePoint arrival;
    TimePoint placed;
    TimePoint first_token;
    TimePoint last_progress;
    int tokens = 0;
    int wasted_tokens = 0;
    int attempts = 0;
    AttemptId attempt = 0;
    // The number of its last ask or hold at another instance.
    std::uint64_t slot_request_id = 0;
    BackendIndex backend = 0;
    std::vector<BackendIndex> tried;
    // The instance that was asked or that granted the slot.
    std::string scheduler;
    // Tokens and time that the granting instance was told of.
    int told_tokens = 0;
    TimePoint told_at;
  };

  void On(const RequestArrived& event);
  void On(const CallerDisconnected& event);
  void On(const AttemptProgress& event);
  void On(const AttemptEnded& event);
  void On(const LoadReported& event);
  void On(const ResourcesChanged& event);
  void On(const ClaimAnswered& event);
  void On(const DrainStarted& event);
  void On(const PeerUp& event);
  void On(const PeerLeaving& event);
  void On(const PeerDown& event);
  void On(const PeerMessageReceived& event);
  void On(const Tick& event);

  // The request of a current attempt, or null when it is over.
  Request* FindAttempt(RequestId id, AttemptId attempt);
  std::optional<EndCause> ReasonToRefuse(const RequestArrived& event,
                                         const RequestClass* request_class,
                                         const Customer* customer) const;
  void Enqueue(Request& request);
  void EnqueueHere(Request& request);
  void Ask(Request& request);

  // Messages of other instances, by kind.
  void Take(const std::string& peer, const SlotRequest& message);
  void Take(const std::string& peer, const SlotRequestWithdrawn& message);
  void Take(const std::string& peer, const SlotGranted& message);
  void Take(const std::string& peer, const SlotRefused& message);
  void Take(const std::string& peer, const SlotProgress& message);
  void Take(const std::string& peer, const SlotReleased& message);
  void Take(const std::string& peer, const SlotHeld& message);
  void Say(const std::string& peer, PeerMessage message);
  // Takes a remote request off, whether it waits or runs.
  void DropRemote(RequestId local);
  void RefuseRemote(RequestId local, EndCause cause);
  void GrantRemote(const Placement& placement);
  // Moves requests whose group has another scheduler now.
  void RerouteAll();
  void Reroute(Request& request);
  [[nodiscard]] std::string SchedulerOf(const Request& request) const;
  [[nodiscard]] bool IsSelf(const std::string& instance) const {
    return instance == this->assignment.self();
  }
  // Tells the scheduler that placed a request that its slot is free.
  void ReleaseSlot(Request& request, SlotEnd end);
  void BeginAttempt(Request& request, BackendIndex backend);
  [[nodiscard]] PlacementDecision Describe(const Placement& placement,
                                           const std::string& customer,
                                           const std::string& class_name) const;
  void HandleDropped(const DroppedRequest& dropped);
  void PlaceAll();
  void Start(const Placement& placement);
  void EndBrokenAttempt(Request& request, const AttemptEnded& event);
  bool MayRetry(const Request& request, const AttemptEnded& event);
  void Requeue(Request& request);
  void RefuseUnsent(RequestId id, EndCause cause);
  void Finish(RequestId id, Outcome outcome, EndCause cause,
              ExecutionStatus execution, Duration retry_after = {});
  void Count(Outcome outcome);
  [[nodiscard]] bool OnTarget(const Request& request) const;

  Scheduler local_scheduler;
  SchedulerAssignment assignment;
  RemoteSlotTable remote_slots;
  RetryBudget retry_budget;
  std::shared_ptr<const ResourceSet> in_force;
  std::unordered_map<std::string, const Customer*> customers;
  std::unordered_map<RequestId, Request> requests;
  std::unordered_map<std::string, int> in_flight_by_customer;
  std::unordered_map<std::string, int> in_flight_by_class;
  NodeCounters counts;
  std::size_t running_requests = 0;
  bool is_draining = false;
  AttemptId next_attempt = 1;
  std::uint64_t next_slot_request_id = 1;
  TimePoint now;
  std::vector<Action> actions;
};

}  // namespace rosemarycove
