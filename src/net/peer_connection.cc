#include "net/peer_connection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace rosemarycove {

PeerConnection::PeerConnection(int socket, std::string target_peer,
                               std::string address, TimePoint now)
    : target_peer(std::move(target_peer)),
      address(std::move(address)),
      last_received_at(now),
      last_sent_at(now),
      socket(socket) {}

PeerConnection::~PeerConnection() { close(this->socket); }

bool PeerConnection::Queue(const std::string& bytes) {
  if (this->output.size() + bytes.size() > kMaxQueuedBytes) {
    return false;
  }
  this->output += bytes;
  return true;
}

bool PeerConnection::Flush() {
  while (!this->output.empty()) {
    const ssize_t count =
        send(this->socket, this->output.data(), this->output.size(),
             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0) {
      return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
    }
    this->output.erase(0, static_cast<std::size_t>(count));
  }
  return true;
}

bool PeerConnection::Receive() {
  std::array<char, 65536> buffer{};
  const ssize_t count =
      recv(this->socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count < 0) {
    return errno == EAGAIN || errno == EINTR;
  }
  this->input.append(buffer.data(), static_cast<std::size_t>(count));
  return count > 0;
}

}  // namespace rosemarycove
