// Brings the node and the other instances together.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "app/event_log.h"
#include "app/node_host.h"
#include "net/peer_links.h"
#include "store/instance_list.h"

namespace rosemarycove {

// How far a revision has come among the instances.
struct RevisionSpread {
  // Whether every listed instance that is not leaving uses it.
  bool in_force = false;
  // Whether the list of instances could be read.
  bool list_known = false;
  std::vector<std::string> unconfirmed;
};

// Keeps links to the listed instances and passes messages both ways.
class PeerService : public PeerListener {
 public:
  PeerService(PeerLinksOptions options, InstanceList& list, NodeHost& host,
              EventLog& log);
  ~PeerService() override;

  // Binds and begins. Returns the port, or -1.
  int Start();
  // Tells the others that this instance is leaving.
  void AnnounceLeaving() { this->links.SetLeaving(); }
  void SetRevision(std::uint64_t revision);
  // How far a revision has come, by what the others last said.
  [[nodiscard]] RevisionSpread SpreadOf(std::uint64_t revision) const;
  [[nodiscard]] std::vector<PeerState> Peers() const {
    return this->links.Peers();
  }
  [[nodiscard]] PeerTraffic Traffic() const { return this->links.Traffic(); }

  void OnPeerUp(const PeerState& peer) override;
  void OnPeerLeaving(const PeerState& peer) override;
  void OnPeerDown(const PeerState& peer, const std::string& reason) override;
  void OnPeerMessage(const std::string& peer,
                     const PeerMessage& message) override;
  void OnPeerRefused(const std::string& address,
                     const std::string& reason) override;

 private:
  void FollowList();
  [[nodiscard]] bool IsNear(const PeerState& peer) const;

  std::string name;
  std::string data_centre;
  InstanceList& list;
  NodeHost& host;
  EventLog& log;
  mutable std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  bool list_known = false;
  std::uint64_t own_revision = 0;
  std::vector<ListedInstance> listed;
  PeerLinks links;
  std::thread follower;
};

}  // namespace rosemarycove
