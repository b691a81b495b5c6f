// Chooses the instance that a request is relayed to. Used by the proxy
// (src/proxy).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// Another instance that takes relayed requests.
struct RelayPeer {
  std::string instance;
  // IP address and port where it accepts relayed requests.
  std::string address;
  std::string data_centre;
  // The version of its configuration; see FleetReport.
  std::uint64_t configuration_version = 0;
};

// A peer and what it reports about the servers that it reaches.
struct RelayCandidate {
  RelayPeer peer;
  // IdHash of the services that are out of its reach.
  std::vector<std::uint64_t> unreachable_services;
};

// The request to be relayed.
struct RelayQuery {
  std::string service;
  // The data centre of this instance.
  std::string data_centre;
  // Peers with an older configuration don't know the request's key or route.
  std::uint64_t min_configuration_version = 0;
  // Instances where the request was tried.
  std::vector<std::string> tried;
};

// Spreads the relayed requests of this instance over its peers. Each gateway
// instance owns one and uses it on its event loop.
class RelaySelector {
 public:
  explicit RelaySelector(std::mt19937_64 random) : random(random) {}

  // Sets the peers that are live and not draining.
  void SetPeers(std::vector<RelayCandidate> peers);
  [[nodiscard]] std::size_t peer_count() const {
    return this->candidates.size();
  }
  // Chooses the peer with the fewer requests of this instance under way out of
  // two; prefers the own data centre unless its peers have notably more.
  // Returns nullopt if no peer can take the request.
  [[nodiscard]] std::optional<RelayPeer> Choose(const RelayQuery& query,
                                                TimePoint now);
  // Returns whether Choose would return a peer.
  [[nodiscard]] bool HasPeer(const RelayQuery& query, TimePoint now) const;
  // Records that a request is sent to the instance, and that it ended.
  void RecordSend(const std::string& instance, TimePoint now);
  void RecordEnd(const std::string& instance);
  // Records whether the instance answered or could not be reached.
  void RecordResult(const std::string& instance, bool answered, TimePoint now);

 private:
  struct State {
    // Requests under way.
    int under_way = 0;
    int consecutive_failures = 0;
    int ejection_count = 0;
    TimePoint ejected_until;
    // When a request was sent that tests whether the instance, whose ejection
    // has ended, answers again; nullopt if there is none under way.
    std::optional<TimePoint> test_sent_at;
  };

  [[nodiscard]] bool IsEligible(const RelayCandidate& candidate,
                                const RelayQuery& query, TimePoint now) const;
  [[nodiscard]] bool IsEjected(const State& state, TimePoint now) const;
  [[nodiscard]] int UnderWay(const RelayPeer& peer) const;
  // Returns the one with the fewer requests under way out of two random ones;
  // null if there is none.
  [[nodiscard]] const RelayPeer* ChooseOfTwo(
      const std::vector<const RelayPeer*>& peers);

  std::mt19937_64 random;
  std::vector<RelayCandidate> candidates;
  // By instance.
  std::map<std::string, State> states;
};

}  // namespace rosemarycove
