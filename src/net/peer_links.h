// TCP links to the other instances.
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

// Another instance, as the platform's list names it.
struct ListedPeer {
  std::string name;
  // IP number and port of its peers' listener.
  std::string address;
};

// What is known of another instance over its link.
struct PeerState {
  std::string name;
  std::string data_centre;
  std::uint64_t revision = 0;
  bool leaving = false;
};

// Takes what happens on the links; called on the links' own thread.
class PeerListener {
 public:
  virtual ~PeerListener() = default;
  virtual void OnPeerUp(const PeerState& peer) = 0;
  virtual void OnPeerLeaving(const PeerState& peer) = 0;
  virtual void OnPeerDown(const PeerState& peer, const std::string& reason) = 0;
  virtual void OnPeerMessage(const std::string& peer,
                             const PeerMessage& message) = 0;
  // A connection was refused before it became a link.
  virtual void OnPeerRefused(const std::string& address,
                             const std::string& reason) = 0;
};

// How the links are set up.
struct PeerLinksOptions {
  std::string name;
  std::string data_centre;
  std::string host;
  int port = 0;
  // Both sides prove that they know it; it is never sent.
  std::string secret;
  // A link that is silent for three of these is given up. Within the data
  // centre, and to others.
  Duration local_heartbeat_interval = std::chrono::seconds(1);
  Duration remote_heartbeat_interval = std::chrono::seconds(5);
};

// Bytes and frames of all links.
struct PeerTraffic {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_sent = 0;
};

// Keeps one link to each listed instance; the one whose name comes first
// connects. One thread serves all links.
class PeerLinks {
 public:
  PeerLinks(PeerLinksOptions options, PeerListener& listener);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // Binds and begins. Returns the port, or -1.
  int Start();
  void Stop();

  // From any thread: the instances to keep links to, a message for one of
  // them, what heartbeats tell, and what is known.
  void SetListedPeers(std::vector<ListedPeer> peers);
  void Send(const std::string& peer, const PeerMessage& message);
  void SetRevision(std::uint64_t revision);
  void SetLeaving();
  [[nodiscard]] std::vector<PeerState> Peers() const;
  [[nodiscard]] PeerTraffic Traffic() const;

 private:
  // When to connect to a listed instance next.
  struct Dial {
    std::string address;
    TimePoint next;
    Duration pause{};
  };

  void Run();
  void Wake();
  void Poll();
  void Accept();
  void DialDue(TimePoint now);
  void TakeOutbox();
  void Read(PeerConnection& connection);
  void TakeFrames(PeerConnection& connection);
  void Take(PeerConnection& connection, const PeerFrame& frame);
  void TakeChallenge(PeerConnection& connection, const PeerChallenge& item);
  void TakeHello(PeerConnection& connection, const PeerHello& item);
  void TakeWelcome(PeerConnection& connection, const PeerWelcome& item);
  void TakeHeartbeat(PeerConnection& connection, const PeerHeartbeat& item);
  void LinkUp(PeerConnection& connection);
  void BeatAll(TimePoint now);
  void Close(PeerConnection& connection, const std::string& reason);
  void RemoveClosed();
  [[nodiscard]] Duration HeartbeatOf(const PeerConnection& connection) const;
  void SendFrame(PeerConnection& connection, const PeerFrame& frame);

  PeerLinksOptions options;
  PeerListener& listener;
  PeerAuthenticator authenticator;
  int listen_fd = -1;
  int wake_read = -1;
  int wake_write = -1;
  std::vector<std::unique_ptr<PeerConnection>> connections;
  std::map<std::string, Dial> dials;
  std::random_device jitter;

  mutable std::mutex mutex;
  bool stopping = false;
  bool leaving = false;
  std::uint64_t revision = 0;
  bool listed_changed = false;
  // Heartbeats carry news and don't wait for their time.
  bool has_news = false;
  std::vector<ListedPeer> listed;
  std::vector<std::pair<std::string, std::string>> outbox;
  std::map<std::string, PeerState> up;
  PeerTraffic traffic;
  std::thread thread;
};

}  // namespace rosemarycove
