// Authenticated TCP links to the other instances.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "core/peer_messages.h"
#include "core/types.h"
#include "net/peer_authenticator.h"
#include "wire/peer_codec.h"

namespace rosemarycove {

class PeerConnection;

// Another instance, as the platform's list of instances describes it.
struct ListedPeer {
  std::string name;
  // IP address and port where the instance accepts its peers' connections.
  std::string address;
};

// The state that another instance has reported on its link.
struct PeerState {
  std::string name;
  std::string data_centre;
  // The revision of the configuration that the instance uses.
  std::uint64_t configuration_revision = 0;
  // The instance is shutting down: it completes its requests and exits.
  bool is_draining = false;
};

// Receives the events of the links; called on the links' thread only.
class PeerListener {
 public:
  virtual ~PeerListener() = default;
  virtual void OnPeerUp(const PeerState& peer) = 0;
  virtual void OnPeerDraining(const PeerState& peer) = 0;
  virtual void OnPeerDown(const PeerState& peer, const std::string& reason) = 0;
  virtual void OnPeerMessage(const std::string& peer,
                             const PeerMessage& message) = 0;
  // A connection was closed before the other side was authenticated, for
  // example after an invalid proof. Not called for a listed instance that never
  // sent its challenge, which may not be running.
  virtual void OnAuthenticationFailed(const std::string& address,
                                      const std::string& reason) = 0;
};

// The configuration of the links.
struct PeerLinksOptions {
  std::string name;
  std::string data_centre;
  // The IPv4 address on which to listen.
  std::string host;
  // The port on which to listen; 0 lets the system choose one.
  int port = 0;
  // Shared by all instances. Each side proves that it knows the secret, which
  // is never sent.
  std::string secret;
  // Intervals between heartbeats, within the data centre and to other ones. A
  // link on which nothing arrives for three intervals is closed.
  Duration local_heartbeat_interval = std::chrono::seconds(1);
  Duration remote_heartbeat_interval = std::chrono::seconds(5);
};

// Counters of all links since the start.
struct PeerTraffic {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_sent = 0;
};

// Maintains one link to each listed instance. Of two instances, the one whose
// name sorts first connects. One internal thread serves all links.
//
// PeerLinks carries the messages of the Nodes' slot protocol. The gateway's
// data path exchanges its state over FleetLinks.
class PeerLinks {
 public:
  PeerLinks(PeerLinksOptions options, PeerListener& listener);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // Binds the listener and starts the thread. Returns the port, or -1 if the
  // address can't be bound.
  int Start();
  void Stop();

  // The following functions may be called from any thread.

  // Sets the instances to maintain links to.
  void SetListedPeers(std::vector<ListedPeer> peers);
  // Queues a message for a peer; it is dropped if the link is down.
  void Send(const std::string& peer, const PeerMessage& message);
  // The next two functions set the state that heartbeats report, and cause a
  // heartbeat on all links.
  void SetConfigurationRevision(std::uint64_t revision);
  void SetDraining();
  // Returns the peers whose links are up.
  [[nodiscard]] std::vector<PeerState> Peers() const;
  [[nodiscard]] PeerTraffic Traffic() const;

 private:
  // The state of connecting to one listed instance.
  struct ConnectState {
    std::string address;
    TimePoint next_attempt_at;
    // The delay after the last attempt, before jitter; it doubles with each
    // attempt and is zero once the link was up.
    Duration delay{};
  };

  void Run();
  // Makes the links' thread return from poll.
  void Wake();
  void Poll();
  void Accept();
  // Starts the connection attempts that are due.
  void ConnectDue(TimePoint now);
  void SendOutbox();
  void Read(PeerConnection& connection);
  void HandleFrames(PeerConnection& connection);
  void HandleFrame(PeerConnection& connection, const PeerFrame& frame);
  void HandleChallenge(PeerConnection& connection,
                       const PeerChallenge& challenge);
  void HandleHello(PeerConnection& connection, const PeerHello& hello);
  void HandleWelcome(PeerConnection& connection, const PeerWelcome& welcome);
  void HandleHeartbeat(PeerConnection& connection,
                       const PeerHeartbeat& heartbeat);
  void EstablishLink(PeerConnection& connection);
  // Sends the heartbeats that are due and closes connections that timed out.
  void SendHeartbeats(TimePoint now);
  void Close(PeerConnection& connection, const std::string& reason);
  void RemoveClosed();
  [[nodiscard]] Duration HeartbeatInterval(
      const PeerConnection& connection) const;
  void SendFrame(PeerConnection& connection, const PeerFrame& frame);

  PeerLinksOptions options;
  PeerListener& listener;
  PeerAuthenticator authenticator;
  int listen_fd = -1;
  // A pipe whose bytes interrupt poll.
  int wake_read = -1;
  int wake_write = -1;
  std::vector<std::unique_ptr<PeerConnection>> connections;
  // By the name of the instance.
  std::map<std::string, ConnectState> connect_states;
  std::random_device random;

  // Guards the members below.
  mutable std::mutex mutex;
  bool is_stopping = false;
  bool is_draining = false;
  std::uint64_t configuration_revision = 0;
  bool has_new_listed_peers = false;
  // The reported state has changed: heartbeats are sent before their interval
  // has passed.
  bool is_heartbeat_requested = false;
  std::vector<ListedPeer> listed_peers;
  // The names of the receiving peers and the encoded frames for them.
  std::vector<std::pair<std::string, std::string>> outbox;
  // By the name of the instance.
  std::map<std::string, PeerState> up_peers;
  PeerTraffic traffic;
  std::thread thread;
};

}  // namespace rosemarycove
