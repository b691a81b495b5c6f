// Drives one node through a random sequence of events and checks its actions.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/node.h"

namespace rosemarycove {

// A model of the waiting and running requests that is independent of the core.
// It compares each action of the node with the invariants and records the
// violations.
class NodeHistory {
 public:
  NodeHistory(ResourceSet resources, std::uint32_t seed);

  // Posts a random event and checks the resulting actions.
  void Step();
  // Completes all requests and records those that don't end.
  void Settle();
  // Overloads the pool from tier 1 for `steps` steps and checks that a lower
  // class still gets its guaranteed share.
  void Overload(int steps);

  // Descriptions of the violated invariants; empty if there were none.
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return this->found_violations;
  }

 private:
  struct Request {
    std::string class_name;
    std::string pool;
    int tier = 0;
    bool repeatable = true;
    bool is_waiting = false;
    bool is_claiming = false;
    int executions = 0;  // Attempts that a backend server may have executed.
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
  void CheckQueueFullRefusal(const Request& request, EndCause cause);
  void CheckShare(const Request& request, double cost);
  void Arrive();
  void ArriveAs(const std::string& class_name);
  void Progress();
  void EndOne();
  void End(RequestId id, AttemptResult result);
  void DisconnectCaller();
  void ReportLoad();
  void ReplayEndedAttempt();
  void ChangeResources();
  void CrashBackend();
  void Advance(Duration time);
  void AddViolation(const std::string& what);
  int RandomBelow(int below);
  // Returns the id of a running request, or 0 if there is none.
  RequestId RandomRunning();

  std::mt19937 random;
  ResourceSet resources;
  Node node;
  TimePoint now;
  RequestId next_id = 1;
  std::map<RequestId, Request> open_requests;
  std::set<RequestId> ended;
  std::map<std::string, std::uint64_t> outcomes;
  std::vector<std::pair<RequestId, AttemptId>> ended_attempts;
  std::map<std::string, TimePoint> draining_backends;
  std::map<std::string, TimePoint> ejected_until;
  std::map<std::string, double> pool_cost;
  std::map<std::string, std::map<std::string, double>> guaranteed_cost;
  std::map<std::string, double> class_cost;
  std::map<std::string, double> largest_cost;
  std::vector<std::string> found_violations;
};

}  // namespace rosemarycove
