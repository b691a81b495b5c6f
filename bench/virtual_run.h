// Runs deciders against virtual engines on a virtual clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/decider.h"
#include "bench/virtual_engine.h"
#include "bench/workload.h"

namespace rosemarycove::bench {

// A fault that strikes one engine.
struct EngineFault {
  int engine = 0;
  Duration at{};
  enum class Kind : std::uint8_t { kSlow, kCrash, kRestart } kind;
  double factor = 4;  // Of a slow engine's step times.
};

// What a run does beside serving its arrivals.
struct RunOptions {
  // Age of a load report when it arrives, and the time between two.
  Duration report_lag = std::chrono::seconds(1);
  Duration report_period = std::chrono::seconds(1);
  std::vector<EngineFault> faults;
  // Whether deciders are linked and ask each other for slots, and how long a
  // message takes.
  bool linked = false;
  Duration link_delay = std::chrono::microseconds(300);
  // Requests that arrive this long before the end still count.
  Duration drain = std::chrono::minutes(30);
  // Outcomes before this time are not counted.
  Duration warm_up = std::chrono::seconds(20);
};

// What became of one class.
struct ClassResult {
  std::uint64_t arrived = 0;
  std::uint64_t completed = 0;
  std::uint64_t on_target = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  Duration longest_wait{};

  [[nodiscard]] double Attainment() const;
};

// What came out of a run.
struct RunResult {
  std::map<std::string, ClassResult> classes;
  std::uint64_t tokens = 0;
  std::uint64_t wasted_tokens = 0;
  // Messages between deciders.
  std::uint64_t messages = 0;
  // Tokens that were in flight on engines as they crashed.
  std::uint64_t crashed_tokens = 0;
  Duration counted{};
  // Requests on target by the second of their arrival, all classes.
  std::map<std::int64_t, std::pair<std::uint64_t, std::uint64_t>> by_second;

  // Requests on target a second.
  [[nodiscard]] double Goodput() const;
  [[nodiscard]] double WastedShare() const;
  [[nodiscard]] double TotalAttainment() const;
};

// One run. Deciders share the engines; arrivals are spread over them.
class VirtualRun {
 public:
  VirtualRun(const Mix& mix, RunOptions options,
             std::vector<std::unique_ptr<Decider>> deciders,
             std::shared_ptr<const ResourceSet> resources, std::uint32_t seed);

  RunResult Run(const std::vector<Arrival>& arrivals);

 private:
  // A request and what really happened to it.
  struct Request {
    Arrival arrival;
    std::size_t decider = 0;
    StreamId stream = 0;
    AttemptId attempt = 0;
    int engine = -1;
    int tokens = 0;
    TimePoint sent;
    TimePoint first_token;
    TimePoint reported;
  };

  void Post(std::size_t decider, const Event& event);
  void Do(std::size_t decider, const SendAttempt& action);
  void Do(std::size_t decider, const CancelAttempt& action);
  void Do(std::size_t decider, const FinishRequest& action);
  void Do(std::size_t /*decider*/, const ClaimKey& /*action*/) {}
  void Do(std::size_t /*decider*/, const PlacementDecision& /*action*/) {}
  void Do(std::size_t /*decider*/, const SlotAccepted& /*action*/) {}
  void Do(std::size_t decider, const SendToPeer& action);
  void Deliver();
  void Arrive(const Arrival& arrival);
  void StepEngine(int engine);
  void Strike(const EngineFault& fault);
  void ReportLoads();
  void TakeProgress(const StreamProgress& progress);
  [[nodiscard]] bool OnTarget(const Request& request) const;
  [[nodiscard]] bool Counted(const Request& request) const;

  RunOptions options;
  std::vector<std::unique_ptr<Decider>> deciders;
  std::shared_ptr<const ResourceSet> resources;
  std::mt19937 random;
  std::vector<VirtualEngine> engines;
  std::map<std::string, LatencyTarget> targets;
  std::unordered_map<RequestId, Request> requests;
  std::unordered_map<StreamId, RequestId> request_of;
  std::vector<std::pair<TimePoint, std::vector<int>>> load_samples;
  TimePoint start;
  TimePoint now;
  // Messages between deciders, by arrival.
  struct Letter {
    std::size_t to = 0;
    PeerMessageReceived said;
  };
  std::multimap<TimePoint, Letter> letters;
  RequestId next_request = 1;
  StreamId next_stream = 1;
  RunResult result;
};

}  // namespace rosemarycove::bench
