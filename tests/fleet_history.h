// Drives several linked nodes through a random sequence of events with link
// losses, crashes and pauses, and checks their common invariants.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/node.h"

namespace rosemarycove {

// The kinds of faults that a history may contain.
struct FleetFaults {
  bool link_losses = false;
  bool crashes = false;
  bool pauses = false;
};

// Simulates nodes of one data centre, the links between them, and engines that
// are represented by the number of their requests.
class FleetHistory {
 public:
  FleetHistory(ResourceSet resources, int nodes, FleetFaults faults,
               std::uint32_t seed);

  // Posts a random event, delivers a message or causes a fault.
  void Step();
  // Ends all faults, completes all requests and checks that no slot is held.
  void Settle();
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return this->found_violations;
  }

 private:
  struct Member {
    std::string name;
    std::unique_ptr<Node> node;
    bool is_alive = true;
    bool is_paused = false;
    // Events that arrived while it was paused.
    std::deque<Event> deferred_events;
  };
  struct Request {
    std::size_t member = 0;
    std::string class_name;
    bool repeatable = true;
    int send_count = 0;
    AttemptId attempt = 0;
    std::string backend;
    int tokens = 0;
  };
  // The name of a request's node, and the request's id.
  using Key = std::pair<std::string, RequestId>;
  using Link = std::pair<std::size_t, std::size_t>;

  void Post(std::size_t member, const Event& event);
  void Check(std::size_t member, const SendAttempt& action);
  void Check(std::size_t member, const CancelAttempt& action);
  void Check(std::size_t member, const FinishRequest& action);
  void Check(std::size_t member, const PlacementDecision& action);
  void Check(std::size_t member, const SendToPeer& action);
  void Check(std::size_t /*member*/, const ClaimKey& /*action*/) {}
  void Check(std::size_t /*member*/, const SlotAccepted& /*action*/) {}
  void Arrive();
  void Deliver();
  void DeliverAll();
  void EndOne(bool only_success);
  void DisconnectCaller();
  void LoseLink();
  void RestoreLink(std::size_t a, std::size_t b);
  void RestoreRandomLink();
  void CrashMember();
  void Restart(std::size_t member);
  void Pause();
  void Resume(std::size_t member);
  void Disconnect(std::size_t a, std::size_t b);
  void Advance(Duration time);
  void CheckCapacity();
  void AddViolation(const std::string& what) {
    this->found_violations.push_back(what);
  }
  std::size_t RandomBelow(std::size_t below);
  [[nodiscard]] std::size_t IndexOf(const std::string& name) const;

  std::mt19937 random;
  ResourceSet resources;
  FleetFaults faults;
  TimePoint now;
  std::vector<Member> members;
  std::map<Link, std::deque<PeerMessage>> links;  // Only links that are up.
  std::map<Key, Request> open_requests;
  std::set<Key> ended;
  RequestId next_id = 1;
  std::vector<std::string> found_violations;
};

}  // namespace rosemarycove
