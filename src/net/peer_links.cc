#include "net/peer_links.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <tuple>
#include <utility>

#include "net/clock.h"
#include "net/peer_connection.h"

namespace rosemarycove {
namespace {

constexpr int kListenBacklog = 128;
// The longest wait in poll, and so the resolution of the timeouts here.
constexpr Duration kPollTimeout = std::chrono::milliseconds(200);
constexpr Duration kMinReconnectDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxReconnectDelay = std::chrono::seconds(5);
// An unauthenticated connection that receives nothing for this long is closed.
constexpr Duration kAuthenticationTimeout = std::chrono::seconds(3);
// A link on which nothing arrives for this many heartbeat intervals is closed.
constexpr int kMaxMissedHeartbeats = 3;
// While this many connections are unauthenticated, new ones are closed when
// they are accepted.
constexpr std::size_t kMaxUnauthenticated = 64;

TimePoint Now() { return MonotonicNow(); }

sockaddr_in ToAddress(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

// Splits an address such as "10.0.0.1:7000"; the port is 0 if it is malformed.
std::pair<std::string, int> SplitAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  int port = 0;
  if (colon != std::string::npos) {
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  }
  return {text.substr(0, colon), port};
}

// Disables Nagle's algorithm and makes the socket non-blocking.
void PrepareSocket(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

}  // namespace

PeerLinks::PeerLinks(PeerLinksOptions options, PeerListener& listener)
    : options(std::move(options)),
      listener(listener),
      authenticator(this->options.secret) {}

PeerLinks::~PeerLinks() { this->Stop(); }

int PeerLinks::Start() {
  this->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(this->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = ToAddress(this->options.host, this->options.port);
  socklen_t size = sizeof(address);
  if (bind(this->listen_fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(this->listen_fd, kListenBacklog) != 0) {
    close(this->listen_fd);
    this->listen_fd = -1;
    return -1;
  }
  fcntl(this->listen_fd, F_SETFL, O_NONBLOCK);
  getsockname(this->listen_fd, reinterpret_cast<sockaddr*>(&address), &size);
  std::array<int, 2> pipe_fds{};
  std::ignore = pipe2(pipe_fds.data(), O_NONBLOCK | O_CLOEXEC);
  this->wake_read = pipe_fds[0];
  this->wake_write = pipe_fds[1];
  this->thread = std::thread([this] { this->Run(); });
  return ntohs(address.sin_port);
}

void PeerLinks::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->is_stopping = true;
  }
  this->Wake();
  this->thread.join();
  this->connections.clear();
  close(this->listen_fd);
  close(this->wake_read);
  close(this->wake_write);
}

void PeerLinks::Wake() {
  const char byte = 0;
  std::ignore = write(this->wake_write, &byte, 1);
}

void PeerLinks::SetListedPeers(std::vector<ListedPeer> peers) {
  const std::lock_guard lock(this->mutex);
  this->listed_peers = std::move(peers);
  this->has_new_listed_peers = true;
  this->Wake();
}

void PeerLinks::Send(const std::string& peer, const PeerMessage& message) {
  std::string bytes = EncodePeerFrame(message);
  const std::lock_guard lock(this->mutex);
  this->outbox.emplace_back(peer, std::move(bytes));
  if (this->outbox.size() == 1) {
    this->Wake();
  }
}

void PeerLinks::SetConfigurationRevision(std::uint64_t revision) {
  const std::lock_guard lock(this->mutex);
  this->configuration_revision = revision;
  this->is_heartbeat_requested = true;
  this->Wake();
}

void PeerLinks::SetDraining() {
  const std::lock_guard lock(this->mutex);
  this->is_draining = true;
  this->is_heartbeat_requested = true;
  this->Wake();
}

std::vector<PeerState> PeerLinks::Peers() const {
  const std::lock_guard lock(this->mutex);
  std::vector<PeerState> peers;
  for (const auto& [name, state] : this->up_peers) {
    peers.push_back(state);
  }
  return peers;
}

PeerTraffic PeerLinks::Traffic() const {
  const std::lock_guard lock(this->mutex);
  return this->traffic;
}

void PeerLinks::Run() {
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->is_stopping) {
        return;
      }
    }
    this->Poll();
    const TimePoint now = Now();
    this->SendOutbox();
    this->ConnectDue(now);
    this->SendHeartbeats(now);
    this->RemoveClosed();
  }
}

void PeerLinks::Poll() {
  std::vector<pollfd> entries;
  entries.push_back({.fd = this->listen_fd, .events = POLLIN, .revents = 0});
  entries.push_back({.fd = this->wake_read, .events = POLLIN, .revents = 0});
  for (const auto& connection : this->connections) {
    decltype(pollfd::events) events = POLLIN;
    if (connection->has_output()) {
      events |= POLLOUT;
    }
    entries.push_back({.fd = connection->fd(), .events = events, .revents = 0});
  }
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(kPollTimeout);
  poll(entries.data(), entries.size(), static_cast<int>(wait.count()));
  if (entries[1].revents != 0) {
    std::array<char, 256> bytes{};
    while (read(this->wake_read, bytes.data(), bytes.size()) > 0) {
    }
  }
  for (std::size_t i = 2; i < entries.size(); ++i) {
    PeerConnection& connection = *this->connections[i - 2];
    if ((entries[i].revents & POLLOUT) != 0 && !connection.Flush()) {
      this->Close(connection, "the connection is broken");
    } else if ((entries[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
      this->Read(connection);
    }
  }
  if (entries[0].revents != 0) {
    this->Accept();
  }
}

void PeerLinks::Accept() {
  const int fd = accept4(this->listen_fd, nullptr, nullptr, SOCK_CLOEXEC);
  if (fd < 0) {
    return;
  }
  const auto unauthenticated =
      std::count_if(this->connections.begin(), this->connections.end(),
                    [](const auto& item) { return !item->is_up; });
  if (static_cast<std::size_t>(unauthenticated) >= kMaxUnauthenticated) {
    close(fd);
    return;
  }
  PrepareSocket(fd);
  auto connection = std::make_unique<PeerConnection>(fd, "", "accepted", Now());
  connection->sent_nonce = this->authenticator.MakeNonce();
  this->SendFrame(*connection, PeerChallenge{.nonce = connection->sent_nonce});
  this->connections.push_back(std::move(connection));
}

void PeerLinks::ConnectDue(TimePoint now) {
  {
    const std::lock_guard lock(this->mutex);
    if (std::exchange(this->has_new_listed_peers, false)) {
      std::map<std::string, ConnectState> updated;
      for (const ListedPeer& peer : this->listed_peers) {
        if (this->options.name < peer.name) {
          ConnectState& state = updated[peer.name];
          const auto existing = this->connect_states.find(peer.name);
          if (existing != this->connect_states.end() &&
              existing->second.address == peer.address) {
            state = existing->second;
          }
          state.address = peer.address;
        }
      }
      this->connect_states = std::move(updated);
    }
  }
  for (auto& [name, state] : this->connect_states) {
    const bool has_connection = std::any_of(
        this->connections.begin(), this->connections.end(),
        [&name = name](const auto& item) { return item->target_peer == name; });
    if (has_connection || now < state.next_attempt_at) {
      continue;
    }
    state.delay =
        std::clamp(2 * state.delay, kMinReconnectDelay, kMaxReconnectDelay);
    // Half of the delay is random, so that peers don't all reconnect at once.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    state.next_attempt_at =
        now + FromSeconds(ToSeconds(state.delay) * jitter(this->random));
    const auto [host, port] = SplitAddress(state.address);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    PrepareSocket(fd);
    sockaddr_in address = ToAddress(host, port);
    // The result is known later: the challenge arrives or the socket fails.
    std::ignore =
        connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    this->connections.push_back(
        std::make_unique<PeerConnection>(fd, name, state.address, now));
  }
}

void PeerLinks::SendOutbox() {
  std::vector<std::pair<std::string, std::string>> messages;
  {
    const std::lock_guard lock(this->mutex);
    messages.swap(this->outbox);
  }
  for (const auto& [peer, bytes] : messages) {
    for (const auto& connection : this->connections) {
      if (connection->is_up && !connection->is_closed &&
          connection->peer.name == peer) {
        if (!connection->Queue(bytes)) {
          this->Close(*connection,
                      "the peer reads too slowly: its send queue is full");
        }
        connection->last_sent_at = Now();
        const std::lock_guard lock(this->mutex);
        this->traffic.bytes_sent += bytes.size();
        ++this->traffic.frames_sent;
      }
    }
  }
  for (const auto& connection : this->connections) {
    if (!connection->is_closed && !connection->Flush()) {
      this->Close(*connection, "the connection is broken");
    }
  }
}

void PeerLinks::SendFrame(PeerConnection& connection, const PeerFrame& frame) {
  const std::string bytes = EncodePeerFrame(frame);
  connection.Queue(bytes);
  connection.last_sent_at = Now();
  const std::lock_guard lock(this->mutex);
  this->traffic.bytes_sent += bytes.size();
  ++this->traffic.frames_sent;
}

void PeerLinks::Read(PeerConnection& connection) {
  const std::size_t before = connection.input.size();
  const bool open = connection.Receive();
  {
    const std::lock_guard lock(this->mutex);
    this->traffic.bytes_received += connection.input.size() - before;
  }
  connection.last_received_at = Now();
  this->HandleFrames(connection);
  if (!open) {
    this->Close(connection, "the peer closed the connection");
  }
}

void PeerLinks::HandleFrames(PeerConnection& connection) {
  while (!connection.is_closed) {
    const auto frame = DecodePeerFrame(connection.input);
    if (!frame) {
      this->Close(connection, frame.error() == FrameError::kTooLong
                                  ? "a frame is too long"
                                  : "a frame is malformed");
      return;
    }
    if (!*frame) {
      return;
    }
    this->HandleFrame(connection, **frame);
  }
}

void PeerLinks::HandleFrame(PeerConnection& connection,
                            const PeerFrame& frame) {
  if (const auto* challenge = std::get_if<PeerChallenge>(&frame)) {
    this->HandleChallenge(connection, *challenge);
  } else if (const auto* hello = std::get_if<PeerHello>(&frame)) {
    this->HandleHello(connection, *hello);
  } else if (const auto* welcome = std::get_if<PeerWelcome>(&frame)) {
    this->HandleWelcome(connection, *welcome);
  } else if (!connection.is_up) {
    this->Close(connection, "a message arrived before the authentication");
  } else if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&frame)) {
    this->HandleHeartbeat(connection, *heartbeat);
  } else if (const auto* message = std::get_if<PeerMessage>(&frame)) {
    this->listener.OnPeerMessage(connection.peer.name, *message);
  }
}

void PeerLinks::HandleChallenge(PeerConnection& connection,
                                const PeerChallenge& challenge) {
  if (connection.target_peer.empty() || !connection.sent_nonce.empty() ||
      challenge.version != kPeerProtocolVersion) {
    this->Close(connection,
                "the challenge is unexpected or has another protocol version");
    return;
  }
  connection.sent_nonce = this->authenticator.MakeNonce();
  std::uint64_t own_revision = 0;
  {
    const std::lock_guard lock(this->mutex);
    own_revision = this->configuration_revision;
  }
  this->SendFrame(connection,
                  PeerHello{.name = this->options.name,
                            .data_centre = this->options.data_centre,
                            .revision = own_revision,
                            .nonce = connection.sent_nonce,
                            .proof = this->authenticator.MakeProof(
                                "hello", challenge.nonce, this->options.name)});
}

void PeerLinks::HandleHello(PeerConnection& connection,
                            const PeerHello& hello) {
  const std::string expected_proof =
      this->authenticator.MakeProof("hello", connection.sent_nonce, hello.name);
  if (!connection.target_peer.empty() || connection.is_up ||
      hello.version != kPeerProtocolVersion ||
      !PeerAuthenticator::EqualInConstantTime(expected_proof, hello.proof) ||
      hello.name == this->options.name) {
    this->Close(connection,
                "the hello is unexpected, has no valid proof of the shared "
                "secret, or has another protocol version");
    return;
  }
  connection.peer = {.name = hello.name,
                     .data_centre = hello.data_centre,
                     .configuration_revision = hello.revision};
  std::uint64_t own_revision = 0;
  {
    const std::lock_guard lock(this->mutex);
    own_revision = this->configuration_revision;
  }
  this->SendFrame(connection,
                  PeerWelcome{.name = this->options.name,
                              .data_centre = this->options.data_centre,
                              .revision = own_revision,
                              .proof = this->authenticator.MakeProof(
                                  "welcome", hello.nonce, this->options.name)});
  this->EstablishLink(connection);
}

void PeerLinks::HandleWelcome(PeerConnection& connection,
                              const PeerWelcome& welcome) {
  const std::string expected_proof = this->authenticator.MakeProof(
      "welcome", connection.sent_nonce, welcome.name);
  if (connection.target_peer.empty() || connection.is_up ||
      welcome.name != connection.target_peer ||
      !PeerAuthenticator::EqualInConstantTime(expected_proof, welcome.proof)) {
    this->Close(connection,
                "the welcome is unexpected, has no valid proof of the shared "
                "secret, or comes from another instance");
    return;
  }
  connection.peer = {.name = welcome.name,
                     .data_centre = welcome.data_centre,
                     .configuration_revision = welcome.revision};
  this->EstablishLink(connection);
}

void PeerLinks::EstablishLink(PeerConnection& connection) {
  for (const auto& other : this->connections) {
    if (other.get() != &connection && other->is_up && !other->is_closed &&
        other->peer.name == connection.peer.name) {
      this->Close(*other, "the peer opened another connection");
    }
  }
  connection.is_up = true;
  // Makes a heartbeat due, which reports what changed since the hello.
  connection.last_sent_at = TimePoint{};
  const auto state = this->connect_states.find(connection.target_peer);
  if (state != this->connect_states.end()) {
    state->second.delay = {};
  }
  {
    const std::lock_guard lock(this->mutex);
    this->up_peers[connection.peer.name] = connection.peer;
  }
  this->listener.OnPeerUp(connection.peer);
}

void PeerLinks::HandleHeartbeat(PeerConnection& connection,
                                const PeerHeartbeat& heartbeat) {
  connection.peer.configuration_revision = heartbeat.revision;
  const bool has_started_draining =
      heartbeat.leaving && !connection.peer.is_draining;
  connection.peer.is_draining = heartbeat.leaving;
  {
    const std::lock_guard lock(this->mutex);
    this->up_peers[connection.peer.name] = connection.peer;
  }
  if (has_started_draining) {
    this->listener.OnPeerDraining(connection.peer);
  }
}

Duration PeerLinks::HeartbeatInterval(const PeerConnection& connection) const {
  return connection.peer.data_centre == this->options.data_centre
             ? this->options.local_heartbeat_interval
             : this->options.remote_heartbeat_interval;
}

void PeerLinks::SendHeartbeats(TimePoint now) {
  PeerHeartbeat heartbeat;
  bool is_requested = false;
  {
    const std::lock_guard lock(this->mutex);
    is_requested = std::exchange(this->is_heartbeat_requested, false);
    heartbeat = {.revision = this->configuration_revision,
                 .leaving = this->is_draining};
  }
  for (const auto& connection : this->connections) {
    if (connection->is_closed) {
      continue;
    }
    const Duration period = this->HeartbeatInterval(*connection);
    const Duration silence = now - connection->last_received_at;
    if (!connection->is_up) {
      if (silence > kAuthenticationTimeout) {
        this->Close(*connection, "authentication timed out");
      }
    } else if (silence > kMaxMissedHeartbeats * period) {
      this->Close(*connection, "the heartbeats stopped");
    } else if (is_requested || now - connection->last_sent_at >= period) {
      this->SendFrame(*connection, heartbeat);
    }
  }
}

void PeerLinks::Close(PeerConnection& connection, const std::string& reason) {
  if (std::exchange(connection.is_closed, true)) {
    return;
  }
  if (!connection.is_up) {
    // An instance that never sent its challenge is not reported: the list may
    // contain instances that have not started or have ended.
    if (connection.target_peer.empty() || !connection.sent_nonce.empty()) {
      this->listener.OnAuthenticationFailed(connection.address, reason);
    }
    return;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->up_peers.erase(connection.peer.name);
  }
  this->listener.OnPeerDown(connection.peer, reason);
}

void PeerLinks::RemoveClosed() {
  std::erase_if(this->connections,
                [](const auto& item) { return item->is_closed; });
}

}  // namespace rosemarycove
