// Connects the node with the other instances of the deployment.
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

// Which instances use a revision of the configuration.
struct RolloutStatus {
  // Every listed instance that is not draining uses the revision.
  bool in_force = false;
  // The list of instances could be read when it was last due.
  bool instances_known = false;
  // Names of the listed instances that have not confirmed the revision.
  std::vector<std::string> unconfirmed;
};

// Keeps links to the instances of the platform's list, passes messages between
// them and the node, and logs the links' state. A background thread reads the
// list once a second; the listener methods run on the links' thread.
class PeerService : public PeerListener {
 public:
  PeerService(PeerLinksOptions options, InstanceList& instance_list,
              NodeHost& host, EventLog& log);
  ~PeerService() override;

  // Binds the address and starts the threads. Returns the bound port, or -1 on
  // failure.
  int Start();
  // Notifies the other instances that this one is draining.
  void AnnounceDraining() { this->links.SetDraining(); }
  // Sets the revision that this instance uses and reports to the others.
  void SetRevision(std::uint64_t revision);
  // The state of a revision according to the others' latest reports.
  [[nodiscard]] RolloutStatus RolloutOf(std::uint64_t revision) const;
  [[nodiscard]] std::vector<PeerState> Peers() const {
    return this->links.Peers();
  }
  [[nodiscard]] PeerTraffic Traffic() const { return this->links.Traffic(); }

  void OnPeerUp(const PeerState& peer) override;
  void OnPeerDraining(const PeerState& peer) override;
  void OnPeerDown(const PeerState& peer, const std::string& reason) override;
  void OnPeerMessage(const std::string& peer,
                     const PeerMessage& message) override;
  void OnAuthenticationFailed(const std::string& address,
                              const std::string& reason) override;

 private:
  // Reads the list of instances periodically, until the service stops.
  void WatchInstances();
  [[nodiscard]] bool IsInSameDataCentre(const PeerState& peer) const;

  std::string name;
  std::string data_centre;
  InstanceList& instance_list;
  NodeHost& host;
  EventLog& log;
  mutable std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  bool instances_known = false;
  std::uint64_t own_revision = 0;
  // The instances of the last list that could be read.
  std::vector<ListedInstance> instances;
  PeerLinks links;
  std::thread watcher;
};

}  // namespace rosemarycove
