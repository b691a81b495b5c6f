// Drives several linked nodes through a random history with cuts, kills and
// pauses, and checks what must hold for them together.
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

// Which faults a history may have.
struct FleetFaults {
  bool cuts = false;
  bool kills = false;
  bool pauses = false;
};

// Nodes in one data centre with hand-made links, and engines that only count.
class FleetHistory {
 public:
  FleetHistory(ResourceSet resources, int nodes, FleetFaults faults,
               std::uint32_t seed);

  void Step();
  // Heals everything and lets every request end; checks that no slot is held.
  void Settle();
  [[nodiscard]] const std::vector<std::string>& breaches() const {
    return this->broken;
  }

 private:
  struct Member {
    std::string name;
    std::unique_ptr<Node> node;
    bool alive = true;
    bool paused = false;
    // Events that came while it was paused.
    std::deque<Event> missed;
  };
  struct Request {
    std::size_t member = 0;
    std::string class_name;
    bool repeatable = true;
    int sendings = 0;
    AttemptId attempt = 0;
    std::string backend;
    int tokens = 0;
  };
  // A request is named by its node's start and its number there.
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
  void Leave();
  void Cut();
  void Heal(std::size_t a, std::size_t b);
  void HealOne();
  void Kill();
  void Restart(std::size_t member);
  void Pause();
  void Resume(std::size_t member);
  void Disconnect(std::size_t a, std::size_t b);
  void Advance(Duration time);
  void CheckEngines();
  void Break(const std::string& what) { this->broken.push_back(what); }
  std::size_t Draw(std::size_t below);
  [[nodiscard]] std::size_t IndexOf(const std::string& name) const;

  std::mt19937 random;
  ResourceSet resources;
  FleetFaults faults;
  TimePoint now;
  std::vector<Member> members;
  std::map<Link, std::deque<PeerMessage>> links;  // Up where present.
  std::map<Key, Request> open;
  std::set<Key> ended;
  RequestId next_id = 1;
  std::vector<std::string> broken;
};

}  // namespace rosemarycove
