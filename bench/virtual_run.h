// Simulates instances with a scheduling policy against virtual engines on a
// virtual clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/scheduling_policy.h"
#include "bench/virtual_engine.h"
#include "bench/workload.h"

namespace rosemarycove::bench {

// A fault of one engine.
struct EngineFault {
  int engine = 0;
  // Time from the start of the run.
  Duration at{};
  enum class Kind : std::uint8_t { kSlow, kCrash, kRestart } kind;
  // Factor on the duration of each step, for kSlow.
  double slowdown_factor = 4;
};

// Conditions of a run other than its arrivals.
struct RunOptions {
  // Age of a load report when it arrives.
  Duration report_lag = std::chrono::seconds(1);
  // Time between load reports.
  Duration report_period = std::chrono::seconds(1);
  // In order of time.
  std::vector<EngineFault> faults;
  // True if the instances are connected as peers and request slots from each
  // other.
  bool has_peer_links = false;
  // Latency of a message between peers.
  Duration peer_message_delay = std::chrono::microseconds(300);
  // Time after the last arrival at which the run stops even if requests are
  // unfinished; those are not in the results.
  Duration drain_timeout = std::chrono::minutes(30);
  // Requests that arrive in this time from the start are not in the results of
  // the classes.
  Duration warm_up = std::chrono::seconds(20);
};

// Outcomes of the requests of one class.
struct ClassResult {
  std::uint64_t arrived = 0;
  std::uint64_t completed = 0;
  std::uint64_t on_target = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  // Longest time from arrival to the sending of the last attempt, or to the
  // outcome of a request that was never sent.
  Duration longest_wait{};

  // Fraction of the requests that met their target; 1 without requests.
  [[nodiscard]] double Attainment() const;
};

// Results of a run.
struct RunResult {
  std::map<std::string, ClassResult> classes;
  // Tokens of all requests, warm-up included.
  std::uint64_t tokens = 0;
  std::uint64_t wasted_tokens = 0;
  // Messages between instances.
  std::uint64_t messages = 0;
  // Tokens of the unfinished answers that were lost when their engine crashed.
  std::uint64_t crashed_tokens = 0;
  // Time from the end of the warm-up to the last arrival.
  Duration counted_time{};
  // Number of requests and number of those that met their target, over all
  // classes, by the second of the run in which they arrived.
  std::map<std::int64_t, std::pair<std::uint64_t, std::uint64_t>> by_second;

  // Requests that met their target, per second.
  [[nodiscard]] double Goodput() const;
  // Fraction of all tokens that are wasted, see FinishRequest.
  [[nodiscard]] double WastedShare() const;
  [[nodiscard]] double TotalAttainment() const;
};

// One simulated run. All instances share the engines; each request arrives at
// an instance drawn at random.
class VirtualRun {
 public:
  VirtualRun(const Workload& workload, RunOptions options,
             std::vector<std::unique_ptr<SchedulingPolicy>> instances,
             std::shared_ptr<const ResourceSet> resources, std::uint32_t seed);

  RunResult Run(const std::vector<Arrival>& arrivals);

 private:
  // A request and the state of its last attempt, as the engine knows it.
  struct Request {
    Arrival arrival;
    std::size_t instance = 0;
    StreamId stream = 0;
    AttemptId attempt = 0;
    int engine = -1;
    int tokens = 0;
    // Time at which the last attempt was sent.
    TimePoint sent;
    TimePoint first_token;
    // Time of the last AttemptProgress event.
    TimePoint last_progress_at;
  };

  // Passes an event to an instance and executes the resulting actions.
  void HandleEvent(std::size_t instance, const Event& event);
  void Execute(std::size_t instance, const SendAttempt& action);
  void Execute(std::size_t instance, const CancelAttempt& action);
  void Execute(std::size_t instance, const FinishRequest& action);
  void Execute(std::size_t /*instance*/, const ClaimKey& /*action*/) {}
  void Execute(std::size_t /*instance*/, const PlacementDecision& /*action*/) {}
  void Execute(std::size_t /*instance*/, const SlotAccepted& /*action*/) {}
  void Execute(std::size_t instance, const SendToPeer& action);
  // Delivers the next message between instances.
  void DeliverPeerMessage();
  void AcceptArrival(const Arrival& arrival);
  // Finishes the step of an engine and reports its progress.
  void FinishEngineStep(int engine);
  void ApplyFault(const EngineFault& fault);
  // Samples the load of all engines and sends the latest sample that is old
  // enough to all instances.
  void ReportLoads();
  void HandleProgress(const StreamProgress& progress);
  [[nodiscard]] bool MeetsTarget(const Request& request) const;
  // True if the request didn't arrive during the warm-up.
  [[nodiscard]] bool IsCounted(const Request& request) const;

  RunOptions options;
  std::vector<std::unique_ptr<SchedulingPolicy>> instances;
  std::shared_ptr<const ResourceSet> resources;
  std::mt19937 random;
  std::vector<VirtualEngine> engines;
  std::map<std::string, LatencyTarget> targets;
  std::unordered_map<RequestId, Request> requests;
  std::unordered_map<StreamId, RequestId> request_ids;
  // Streams of each engine, running and waiting, by the time of the sample.
  std::vector<std::pair<TimePoint, std::vector<int>>> load_samples;
  TimePoint start;
  TimePoint now;
  // A message between instances.
  struct PeerDelivery {
    std::size_t receiver = 0;
    PeerMessageReceived event;
  };
  // Messages in transit, by their time of arrival.
  std::multimap<TimePoint, PeerDelivery> peer_deliveries;
  RequestId next_request = 1;
  StreamId next_stream = 1;
  RunResult result;
};

}  // namespace rosemarycove::bench
