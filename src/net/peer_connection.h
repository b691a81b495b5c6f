// A TCP connection to another instance, before and after authentication.
#pragma once

#include <string>

#include "core/types.h"
#include "net/peer_links.h"

namespace rosemarycove {

// The buffers and the authentication state of one connection. PeerLinks owns
// it and uses it on the links' thread only.
class PeerConnection {
 public:
  // Limit of the send queue. PeerLinks closes the connection of a peer that
  // reads too slowly and exceeds it.
  static constexpr std::size_t kMaxQueuedBytes = 4U << 20U;

  // Takes ownership of a connected or connecting socket.
  PeerConnection(int socket, std::string target_peer, std::string address,
                 TimePoint now);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  [[nodiscard]] int fd() const { return this->socket; }
  [[nodiscard]] bool has_output() const { return !this->output.empty(); }

  // Appends to the send queue; returns false if it would exceed its limit.
  bool Queue(const std::string& bytes);
  // Sends queued data until the socket would block; returns false if the
  // connection is broken.
  bool Flush();
  // Reads available data into `input`; returns false if the connection has
  // ended.
  bool Receive();

  // The name of the instance that this side connects to; empty for an accepted
  // connection.
  std::string target_peer;
  // The peer's address for logs; "accepted" for an accepted connection.
  std::string address;
  // Received bytes that are not decoded yet.
  std::string input;
  // The nonce that this side sent and that the other side's proof must cover;
  // empty before it is sent.
  std::string sent_nonce;
  // The peer's state; empty until `is_up`.
  PeerState peer;
  // The other side has proved that it knows the secret.
  bool is_up = false;
  bool is_closed = false;
  TimePoint last_received_at;
  TimePoint last_sent_at;

 private:
  int socket;
  std::string output;
};

}  // namespace rosemarycove
