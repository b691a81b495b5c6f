// The request state machine of one instance, for callers of src/http. (The
// proxy in src/proxy has its own, Exchange.)
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/actions.h"
#include "core/events.h"
#include "core/remote_request_table.h"
#include "core/resources.h"
#include "core/retry_budget.h"
#include "core/scheduler.h"
#include "core/scheduler_assignment.h"
#include "core/types.h"

namespace rosemarycove {

// The identity of a node.
struct NodeOptions {
  // The instance's name among its peers.
  std::string instance;
  std::string data_centre;
};

// Totals since the start: requests by outcome, retries and wasted tokens (see
// FinishRequest).
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

// Manages each request from its arrival to its outcome.
//
// The instances of a data centre share its backend servers. Each group of
// servers is scheduled by one instance, which grants slots to the others. An
// instance with a granted slot sends its request to the backend server itself.
//
// It does no input or output and reads no clock: the driver passes events with
// their time and executes the returned actions. The driver provides the clock
// and the network, real or simulated, and serialises the calls; Node is not
// thread-safe.
class Node {
 public:
  explicit Node(NodeOptions options);

  // Handles one event and returns the resulting actions, in order.
  std::vector<Action> Handle(TimePoint now, const Event& event);

  // Returns whether the node accepts requests: it has resources and is not
  // draining.
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] bool IsDraining() const { return this->is_draining; }
  [[nodiscard]] std::size_t running_count() const {
    return this->running_requests;
  }
  // Number of this instance's requests that wait in a queue, here or at another
  // instance, or for a claim; requests of other instances do not count.
  [[nodiscard]] std::size_t waiting_count() const {
    return this->requests.size() - this->running_requests;
  }
  // Returns the backend servers of the groups that this node schedules; from
  // each group only the servers in this data centre, if there are any.
  [[nodiscard]] std::vector<Backend> ScheduledBackends() const;
  // Number of requests of other instances that wait here or hold a slot that
  // this node granted.
  [[nodiscard]] std::size_t remote_request_count() const {
    return this->remote_requests.size();
  }
  [[nodiscard]] const NodeCounters& counters() const {
    return this->counter_values;
  }
  [[nodiscard]] const Scheduler& scheduler() const {
    return this->local_scheduler;
  }
  // The current resources, or null before the first ResourcesChanged.
  [[nodiscard]] const std::shared_ptr<const ResourceSet>& resources() const {
    return this->active_resources;
  }

 private:
  enum class Phase : std::uint8_t {
    kClaimingKey,     // Waits for the result of its ClaimKey.
    kQueuedLocally,   // Waits in the queue of this node's scheduler.
    kQueuedRemotely,  // Waits in the queue of another instance.
    kRunning,         // An attempt is running on a backend server.
  };

  // A request that has no outcome yet.
  struct Request {
    RequestArrived arrived;
    PlacementRequest placement;
    LatencyTarget target;
    int tier = 0;
    // False if an attempt that may have been executed must not be repeated.
    bool repeatable = true;
    bool sent = false;               // True if a server may have executed it.
    bool counted_in_flight = false;  // In the counts of its class and customer.
    Phase phase = Phase::kQueuedLocally;
    TimePoint arrival;
    TimePoint placed;         // Start of the last attempt.
    TimePoint first_token;    // The epoch before the first token.
    TimePoint last_progress;  // Last AttemptProgress of the last attempt.
    int tokens = 0;           // Received in the last attempt.
    int wasted_tokens = 0;    // Received in earlier attempts.
    int attempts = 0;
    AttemptId attempt = 0;
    // Id of its last SlotRequest or SlotHeld at another instance.
    std::uint64_t slot_request_id = 0;
    BackendIndex backend = 0;
    std::vector<BackendIndex> tried;  // Servers of its failed attempts.
    // The instance that schedules it or granted its slot.
    std::string scheduler;
    // Token count and time of its last progress report to `scheduler`.
    int reported_tokens = 0;
    TimePoint last_report_time;
  };

  void On(const RequestArrived& event);
  void On(const CallerDisconnected& event);
  void On(const AttemptProgress& event);
  void On(const AttemptEnded& event);
  void On(const LoadReported& event);
  void On(const ResourcesChanged& event);
  void On(const ClaimAnswered& event);
  void On(const DrainStarted& event);
  void On(const DrainTimedOut& event);
  void On(const PeerUp& event);
  void On(const PeerDraining& event);
  void On(const PeerDown& event);
  void On(const PeerMessageReceived& event);
  void On(const Tick& event);

  // Returns the request of a running attempt, or null if the attempt is over.
  Request* FindAttempt(RequestId id, AttemptId attempt);
  // Returns why a new request is refused, or nullopt if it is accepted.
  std::optional<EndCause> FindRefusalCause(const RequestArrived& event,
                                           const RequestClass* request_class,
                                           const Customer* customer) const;
  // Queues a request at the instance that schedules its group, possibly this
  // one.
  void Enqueue(Request& request);
  void EnqueueLocally(Request& request);
  void RequestSlot(Request& request);

  // Handlers for the messages of other instances.
  void OnMessage(const std::string& peer, const SlotRequest& message);
  void OnMessage(const std::string& peer, const SlotRequestWithdrawn& message);
  void OnMessage(const std::string& peer, const SlotGranted& message);
  void OnMessage(const std::string& peer, const SlotRefused& message);
  void OnMessage(const std::string& peer, const SlotProgress& message);
  void OnMessage(const std::string& peer, const SlotReleased& message);
  void OnMessage(const std::string& peer, const SlotHeld& message);
  void SendMessage(const std::string& peer, PeerMessage message);
  // Removes a request of another instance, whether it is queued or has a slot.
  void DropRemote(RequestId local_id);
  void RefuseRemote(RequestId local_id, EndCause cause);
  void GrantRemote(const Placement& placement);
  // Moves each request whose group has a different scheduler now.
  void RerouteAll();
  void Reroute(Request& request);
  [[nodiscard]] std::string SchedulerOf(const Request& request) const;
  [[nodiscard]] bool IsSelf(const std::string& instance) const {
    return instance == this->assignment.self();
  }
  // Cancels the attempt of a request that is about to end, or removes it from
  // its queue.
  void Withdraw(Request& request);
  // Releases the slot of a running request at its scheduler.
  void ReleaseSlot(Request& request, SlotEnd end);
  void BeginAttempt(Request& request, BackendIndex backend);
  // Returns the description of a placement for the log.
  [[nodiscard]] PlacementDecision Describe(const Placement& placement,
                                           const std::string& customer,
                                           const std::string& class_name) const;
  void HandleDropped(const DroppedRequest& dropped);
  void PlaceAll();
  void StartPlaced(const Placement& placement);
  // Retries a request after a failed attempt, or ends it.
  void HandleFailedAttempt(Request& request, const AttemptEnded& event);
  // Returns whether the request may be retried; if so, takes a retry from the
  // budget.
  bool MayRetry(const Request& request, const AttemptEnded& event);
  void Requeue(Request& request);
  // Ends a waiting request: as refused if it was certainly not executed, else
  // as failed.
  void EndUnplaced(RequestId id, EndCause cause);
  void Finish(RequestId id, Outcome outcome, EndCause cause,
              ExecutionStatus execution, Duration retry_after = {});
  void CountOutcome(Outcome outcome);
  [[nodiscard]] bool MetTarget(const Request& request) const;

  Scheduler local_scheduler;
  SchedulerAssignment assignment;
  RemoteRequestTable remote_requests;
  RetryBudget retry_budget;
  std::shared_ptr<const ResourceSet> active_resources;
  // By name; they point into `active_resources`.
  std::unordered_map<std::string, const Customer*> customers;
  std::unordered_map<RequestId, Request> requests;
  std::unordered_map<std::string, int> in_flight_by_customer;
  std::unordered_map<std::string, int> in_flight_by_class;
  NodeCounters counter_values;
  std::size_t running_requests = 0;
  bool is_draining = false;
  AttemptId next_attempt = 1;
  std::uint64_t next_slot_request_id = 1;
  // The time of the current event, and the actions that it caused so far.
  TimePoint now;
  std::vector<Action> actions;
};

}  // namespace rosemarycove
