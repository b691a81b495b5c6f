// Simple scheduling policies to compare the core with.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/scheduling_policy.h"

namespace rosemarycove::bench {

// Base of the simple policies: queues requests, tracks the attempts that run on
// each engine and retries failed ones. A subclass chooses the engine.
class BaselinePolicy : public SchedulingPolicy {
 public:
  std::vector<Action> Handle(TimePoint now, const Event& event) override;
  void SetAnswerLength(RequestId id, int answer_tokens) override;

 protected:
  struct WaitingRequest {
    RequestId id = 0;
    int tier = 0;
    TimePoint arrival;
    int answer_tokens = 0;
    LatencyTarget target;
    // The request is refused if it still waits at this time.
    TimePoint latest_start;
  };
  struct Engine {
    std::string name;
    // Streams on the engine, running and waiting, by its last load report.
    int reported_running = 0;
    // Running requests that this instance sent.
    int own_running = 0;
    int max_streams = 0;
    // Seconds.
    double token_time_base = 0;
    double token_time_per_stream = 0;
    std::set<RequestId> running;
    // True if the attempt that ended last on this engine failed.
    bool last_attempt_failed = false;
  };

  // Returns the index of the engine for a request, or -1 if it has to wait.
  virtual int ChooseEngine(const WaitingRequest& request) = 0;
  // Returns the number of the queue of a tier. Queues are served in ascending
  // order of their numbers.
  [[nodiscard]] virtual int QueueNumber(int tier) const { return tier; }
  // Returns the request of a queue to place next, or end() if there is none.
  // May refuse requests, which it removes from the queue.
  virtual std::deque<WaitingRequest>::iterator SelectRequest(
      std::deque<WaitingRequest>& queue) {
    return queue.begin();
  }
  void Refuse(RequestId id);

  std::vector<Engine> engines;
  std::map<int, std::deque<WaitingRequest>> queues;
  std::unordered_map<std::string, RequestClass> classes;
  TimePoint now;

 private:
  struct RunningRequest {
    WaitingRequest request;
    int engine = 0;
    AttemptId attempt = 0;
    int attempts = 0;
  };

  void ApplyResources(const ResourceSet& resources);
  void PlaceRequests();
  void RefuseExpired();
  void OnAttemptEnded(const AttemptEnded& event);

  std::unordered_map<RequestId, RunningRequest> running;
  std::unordered_map<RequestId, int> answer_lengths;
  std::vector<Action> actions;
  AttemptId next_attempt = 1;
};

// Serves requests in order of arrival, whatever their tier, and uses the
// engines in turn.
class RoundRobinPolicy : public BaselinePolicy {
 protected:
  int ChooseEngine(const WaitingRequest& request) override;
  [[nodiscard]] int QueueNumber(int /*tier*/) const override { return 0; }

 private:
  std::size_t next_engine = 0;
};

// Serves tiers in strict order and uses the engine with the lowest load in its
// last report.
class LeastReportedLoadPolicy : public BaselinePolicy {
 protected:
  int ChooseEngine(const WaitingRequest& request) override;
};

// Serves tiers in strict order and uses the less loaded of two engines drawn at
// random (power of two choices).
class TwoChoicesPolicy : public BaselinePolicy {
 public:
  explicit TwoChoicesPolicy(std::uint32_t seed) : random(seed) {}

 protected:
  int ChooseEngine(const WaitingRequest& request) override;

 private:
  std::mt19937 random;
};

// Knows the length of each answer and, as the only instance of a run, the true
// load of each engine. Serves tiers in strict order; within a tier, it places
// the request with the shortest answer and refuses those that can't meet their
// target.
class OraclePolicy : public BaselinePolicy {
 protected:
  int ChooseEngine(const WaitingRequest& request) override;
  std::deque<WaitingRequest>::iterator SelectRequest(
      std::deque<WaitingRequest>& queue) override;

 private:
  // Returns the lowest target for the time between tokens of all classes, in
  // seconds; infinity if no class has one.
  [[nodiscard]] double StrictestTokenTime() const;
  [[nodiscard]] bool CanMeetTarget(const WaitingRequest& request) const;
  // Returns the index of an engine, or -1 if the last attempt failed on all.
  [[nodiscard]] int LeastLoadedEngine() const;
};

}  // namespace rosemarycove::bench
