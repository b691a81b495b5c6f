// Simple policies that the core is compared with.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/decider.h"

namespace rosemarycove::bench {

// What the simple policies share: queues, slots and attempts.
class BaselineDecider : public Decider {
 public:
  std::vector<Action> Handle(TimePoint now, const Event& event) override;
  void Foretell(RequestId id, int tokens) override;

 protected:
  struct Waiting {
    RequestId id = 0;
    int tier = 0;
    TimePoint arrival;
    int tokens = 0;
    LatencyTarget target;
    TimePoint give_up;
  };
  struct Engine {
    std::string name;
    int reported = 0;
    int own = 0;
    int max_streams = 0;
    double base = 0;
    double per_stream = 0;
    std::set<RequestId> running;
    bool failed = false;
  };

  // The engine for a request, or -1 to let it wait.
  virtual int Choose(const Waiting& request) = 0;
  // Queues in which order matters are kept by this number.
  [[nodiscard]] virtual int QueueOf(int tier) const { return tier; }
  // The request of a queue to place next; erases those it gives up.
  virtual std::deque<Waiting>::iterator Pick(std::deque<Waiting>& queue) {
    return queue.begin();
  }
  void Refuse(RequestId id);

  std::vector<Engine> engines;
  std::map<int, std::deque<Waiting>> queues;
  std::unordered_map<std::string, RequestClass> classes;
  TimePoint now;

 private:
  struct Running {
    Waiting request;
    int engine = 0;
    AttemptId attempt = 0;
    int attempts = 0;
  };

  void TakeResources(const ResourceSet& resources);
  void PlaceAll();
  void Expire();
  void End(const AttemptEnded& event);

  std::unordered_map<RequestId, Running> running;
  std::unordered_map<RequestId, int> lengths;
  std::vector<Action> actions;
  AttemptId next_attempt = 1;
};

// First in, first out over all tiers, engines in turn.
class RoundRobinDecider : public BaselineDecider {
 protected:
  int Choose(const Waiting& request) override;
  [[nodiscard]] int QueueOf(int /*tier*/) const override { return 0; }

 private:
  std::size_t next = 0;
};

// Strict tiers, and the engine that last reported the least.
class LeastReportedDecider : public BaselineDecider {
 protected:
  int Choose(const Waiting& request) override;
};

// Strict tiers, and the better of two engines drawn at random.
class TwoChoicesDecider : public BaselineDecider {
 public:
  explicit TwoChoicesDecider(std::uint32_t seed) : random(seed) {}

 protected:
  int Choose(const Waiting& request) override;

 private:
  std::mt19937 random;
};

// Knows each answer's length and each engine's true load. Tiers go strictly
// first; within a tier the shortest answer that can still meet its target.
class OracleDecider : public BaselineDecider {
 protected:
  int Choose(const Waiting& request) override;
  std::deque<Waiting>::iterator Pick(std::deque<Waiting>& queue) override;

 private:
  [[nodiscard]] double StrictestTokenTime() const;
  [[nodiscard]] bool Feasible(const Waiting& request) const;
  [[nodiscard]] int LeastLoaded() const;
};

}  // namespace rosemarycove::bench
