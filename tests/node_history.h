// Drives one node through a random history and checks every step of it.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/node.h"

namespace rosemarycove {

// Keeps its own books on waiting and running requests, apart from the core's,
// and notes each breach of what must hold.
class NodeHistory {
 public:
  NodeHistory(ResourceSet resources, std::uint32_t seed);

  // Does a random thing, and checks what the node does about it.
  void Step();
  // Lets every request end; notes those that don't.
  void Settle();
  // Keeps tier 1 overloaded for so many steps; for the shares of the others.
  void Overload(int steps);

  // What was broken; empty when all held.
  [[nodiscard]] const std::vector<std::string>& breaches() const {
    return this->broken;
  }

 private:
  struct Request {
    std::string class_name;
    std::string pool;
    int tier = 0;
    bool repeatable = true;
    bool waiting = false;
    bool claiming = false;
    int seen_by_engine = 0;
    AttemptId attempt = 0;
    std::string backend;
    int tokens = 0;
  };

  void Post(const Event& event);
  void Check(const SendAttempt& action);
  void Check(const CancelAttempt& action);
  void Check(const ClaimKey& action);
  void Check(const FinishRequest& action);
  void Check(const PlacementDecision& action);
  void Check(const SlotAccepted& /*action*/) {}
  void Check(const SendToPeer& /*action*/) {}
  void CheckCounters();
  void CheckOverloadRefusal(const Request& request, EndCause cause);
  void CheckShare(const Request& request, double cost);
  void Arrive();
  void ArriveAs(const std::string& class_name);
  void Progress();
  void EndOne();
  void End(RequestId id, AttemptResult result);
  void Leave();
  void ReportLoad();
  void ReplayStaleEnd();
  void ChangeResources();
  void Crash();
  void Advance(Duration time);
  void Break(const std::string& what);
  int Draw(int below);
  // A request that is running, or 0.
  RequestId DrawRunning();

  std::mt19937 random;
  ResourceSet resources;
  Node node;
  TimePoint now;
  RequestId next_id = 1;
  std::map<RequestId, Request> open;
  std::set<RequestId> ended;
  std::map<std::string, std::uint64_t> outcomes;
  std::vector<std::pair<RequestId, AttemptId>> old_attempts;
  std::map<std::string, TimePoint> leaving_since;
  std::map<std::string, TimePoint> ejected_until;
  std::map<std::string, double> pool_cost;
  std::map<std::string, std::map<std::string, double>> share_cost;
  std::map<std::string, double> class_cost;
  std::map<std::string, double> largest_cost;
  std::vector<std::string> broken;
};

}  // namespace rosemarycove
