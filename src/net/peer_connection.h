// One TCP connection to another instance, on its way to become a link.
#pragma once

#include <string>

#include "core/types.h"
#include "net/peer_links.h"

namespace rosemarycove {

// Bytes of one connection, and how far its proof has come.
class PeerConnection {
 public:
  // Bytes that may wait to be sent; a slower peer is cut off.
  static constexpr std::size_t kMaxQueued = 4U << 20U;

  // Takes a connected or connecting socket. `dialled` names the instance that
  // was connected to; empty for an accepted connection.
  PeerConnection(int socket, std::string dialled, std::string address,
                 TimePoint now);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  [[nodiscard]] int fd() const { return this->socket; }
  [[nodiscard]] bool wants_write() const { return !this->output.empty(); }

  // Queues bytes; false when too many wait.
  bool Queue(const std::string& bytes);
  // Sends what the socket takes; false when the connection broke.
  bool Flush();
  // Reads what is there into `input`; false at the end of the connection.
  bool Fill();

  std::string dialled;
  std::string address;
  std::string input;
  // The nonce that the other side has to answer.
  std::string nonce;
  PeerState peer;
  bool is_up = false;
  bool is_closed = false;
  TimePoint last_heard;
  TimePoint last_sent;

 private:
  int socket;
  std::string output;
};

}  // namespace rosemarycove
