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

#include "net/peer_connection.h"

namespace rosemarycove {
namespace {

constexpr int kBacklog = 128;
constexpr Duration kPollStep = std::chrono::milliseconds(200);
constexpr Duration kFirstPause = std::chrono::milliseconds(100);
constexpr Duration kLongestPause = std::chrono::seconds(5);
// Connections must prove themselves within this time.
constexpr Duration kProofTime = std::chrono::seconds(3);
constexpr int kMissedHeartbeats = 3;
// Accepted connections that may be unproven at a time.
constexpr std::size_t kMaxUnproven = 64;

TimePoint Now() { return std::chrono::steady_clock::now(); }

sockaddr_in ToAddress(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

// Splits "10.0.0.1:7000"; port 0 when it is malformed.
std::pair<std::string, int> SplitAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  int port = 0;
  if (colon != std::string::npos) {
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  }
  return {text.substr(0, colon), port};
}

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
      listen(this->listen_fd, kBacklog) != 0) {
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
    this->stopping = true;
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
  this->listed = std::move(peers);
  this->listed_changed = true;
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

void PeerLinks::SetRevision(std::uint64_t value) {
  const std::lock_guard lock(this->mutex);
  this->revision = value;
  this->has_news = true;
  this->Wake();
}

void PeerLinks::SetLeaving() {
  const std::lock_guard lock(this->mutex);
  this->leaving = true;
  this->has_news = true;
  this->Wake();
}

std::vector<PeerState> PeerLinks::Peers() const {
  const std::lock_guard lock(this->mutex);
  std::vector<PeerState> peers;
  for (const auto& [name, state] : this->up) {
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
      if (this->stopping) {
        return;
      }
    }
    this->Poll();
    const TimePoint now = Now();
    this->TakeOutbox();
    this->DialDue(now);
    this->BeatAll(now);
    this->RemoveClosed();
  }
}

void PeerLinks::Poll() {
  std::vector<pollfd> entries;
  entries.push_back({.fd = this->listen_fd, .events = POLLIN, .revents = 0});
  entries.push_back({.fd = this->wake_read, .events = POLLIN, .revents = 0});
  for (const auto& connection : this->connections) {
    decltype(pollfd::events) events = POLLIN;
    if (connection->wants_write()) {
      events |= POLLOUT;
    }
    entries.push_back({.fd = connection->fd(), .events = events, .revents = 0});
  }
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(kPollStep);
  poll(entries.data(), entries.size(), static_cast<int>(wait.count()));
  if (entries[1].revents != 0) {
    std::array<char, 256> bytes{};
    while (read(this->wake_read, bytes.data(), bytes.size()) > 0) {
    }
  }
  for (std::size_t i = 2; i < entries.size(); ++i) {
    PeerConnection& connection = *this->connections[i - 2];
    if ((entries[i].revents & POLLOUT) != 0 && !connection.Flush()) {
      this->Close(connection, "the connection broke");
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
  const auto unproven =
      std::count_if(this->connections.begin(), this->connections.end(),
                    [](const auto& item) { return !item->is_up; });
  if (static_cast<std::size_t>(unproven) >= kMaxUnproven) {
    close(fd);
    return;
  }
  PrepareSocket(fd);
  auto connection = std::make_unique<PeerConnection>(fd, "", "accepted", Now());
  connection->nonce = this->authenticator.MakeNonce();
  this->SendFrame(*connection, PeerChallenge{.nonce = connection->nonce});
  this->connections.push_back(std::move(connection));
}

void PeerLinks::DialDue(TimePoint now) {
  {
    const std::lock_guard lock(this->mutex);
    if (std::exchange(this->listed_changed, false)) {
      std::map<std::string, Dial> next;
      for (const ListedPeer& peer : this->listed) {
        if (this->options.name < peer.name) {
          Dial& dial = next[peer.name];
          const auto known = this->dials.find(peer.name);
          if (known != this->dials.end() &&
              known->second.address == peer.address) {
            dial = known->second;
          }
          dial.address = peer.address;
        }
      }
      this->dials = std::move(next);
    }
  }
  for (auto& [name, dial] : this->dials) {
    const bool has_one = std::any_of(
        this->connections.begin(), this->connections.end(),
        [&name = name](const auto& item) { return item->dialled == name; });
    if (has_one || now < dial.next) {
      continue;
    }
    dial.pause = std::clamp(2 * dial.pause, kFirstPause, kLongestPause);
    // Half of the pause is drawn, so that peers don't come back in step.
    std::uniform_real_distribution<double> part(0.5, 1.0);
    dial.next = now + FromSeconds(ToSeconds(dial.pause) * part(this->jitter));
    const auto [host, port] = SplitAddress(dial.address);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    PrepareSocket(fd);
    sockaddr_in address = ToAddress(host, port);
    // Whether it succeeds is seen when the challenge comes or the socket fails.
    std::ignore =
        connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    this->connections.push_back(
        std::make_unique<PeerConnection>(fd, name, dial.address, now));
  }
}

void PeerLinks::TakeOutbox() {
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
          this->Close(*connection, "the peer reads too slowly");
        }
        connection->last_sent = Now();
        const std::lock_guard lock(this->mutex);
        this->traffic.bytes_sent += bytes.size();
        ++this->traffic.frames_sent;
      }
    }
  }
  for (const auto& connection : this->connections) {
    if (!connection->is_closed && !connection->Flush()) {
      this->Close(*connection, "the connection broke");
    }
  }
}

void PeerLinks::SendFrame(PeerConnection& connection, const PeerFrame& frame) {
  const std::string bytes = EncodePeerFrame(frame);
  connection.Queue(bytes);
  connection.last_sent = Now();
  const std::lock_guard lock(this->mutex);
  this->traffic.bytes_sent += bytes.size();
  ++this->traffic.frames_sent;
}

void PeerLinks::Read(PeerConnection& connection) {
  const std::size_t before = connection.input.size();
  const bool open = connection.Fill();
  {
    const std::lock_guard lock(this->mutex);
    this->traffic.bytes_received += connection.input.size() - before;
  }
  connection.last_heard = Now();
  this->TakeFrames(connection);
  if (!open) {
    this->Close(connection, "the peer closed the connection");
  }
}

void PeerLinks::TakeFrames(PeerConnection& connection) {
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
    this->Take(connection, **frame);
  }
}

void PeerLinks::Take(PeerConnection& connection, const PeerFrame& frame) {
  if (const auto* challenge = std::get_if<PeerChallenge>(&frame)) {
    this->TakeChallenge(connection, *challenge);
  } else if (const auto* hello = std::get_if<PeerHello>(&frame)) {
    this->TakeHello(connection, *hello);
  } else if (const auto* welcome = std::get_if<PeerWelcome>(&frame)) {
    this->TakeWelcome(connection, *welcome);
  } else if (!connection.is_up) {
    this->Close(connection, "it spoke before its proof");
  } else if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&frame)) {
    this->TakeHeartbeat(connection, *heartbeat);
  } else if (const auto* message = std::get_if<PeerMessage>(&frame)) {
    this->listener.OnPeerMessage(connection.peer.name, *message);
  }
}

void PeerLinks::TakeChallenge(PeerConnection& connection,
                              const PeerChallenge& item) {
  if (connection.dialled.empty() || !connection.nonce.empty() ||
      item.version != kPeerProtocolVersion) {
    this->Close(connection, "an unexpected challenge or another version");
    return;
  }
  connection.nonce = this->authenticator.MakeNonce();
  std::uint64_t own_revision = 0;
  {
    const std::lock_guard lock(this->mutex);
    own_revision = this->revision;
  }
  this->SendFrame(connection,
                  PeerHello{.name = this->options.name,
                            .data_centre = this->options.data_centre,
                            .revision = own_revision,
                            .nonce = connection.nonce,
                            .proof = this->authenticator.MakeProof(
                                "hello", item.nonce, this->options.name)});
}

void PeerLinks::TakeHello(PeerConnection& connection, const PeerHello& item) {
  const std::string wanted =
      this->authenticator.MakeProof("hello", connection.nonce, item.name);
  if (!connection.dialled.empty() || connection.is_up ||
      item.version != kPeerProtocolVersion ||
      !PeerAuthenticator::EqualInConstantTime(wanted, item.proof) ||
      item.name == this->options.name) {
    this->Close(connection,
                "no proof of the shared secret, or another version");
    return;
  }
  connection.peer = {.name = item.name,
                     .data_centre = item.data_centre,
                     .revision = item.revision};
  std::uint64_t own_revision = 0;
  {
    const std::lock_guard lock(this->mutex);
    own_revision = this->revision;
  }
  this->SendFrame(connection,
                  PeerWelcome{.name = this->options.name,
                              .data_centre = this->options.data_centre,
                              .revision = own_revision,
                              .proof = this->authenticator.MakeProof(
                                  "welcome", item.nonce, this->options.name)});
  this->LinkUp(connection);
}

void PeerLinks::TakeWelcome(PeerConnection& connection,
                            const PeerWelcome& item) {
  const std::string wanted =
      this->authenticator.MakeProof("welcome", connection.nonce, item.name);
  if (connection.dialled.empty() || connection.is_up ||
      item.name != connection.dialled ||
      !PeerAuthenticator::EqualInConstantTime(wanted, item.proof)) {
    this->Close(connection, "no proof of the shared secret, or another name");
    return;
  }
  connection.peer = {.name = item.name,
                     .data_centre = item.data_centre,
                     .revision = item.revision};
  this->LinkUp(connection);
}

void PeerLinks::LinkUp(PeerConnection& connection) {
  for (const auto& other : this->connections) {
    if (other.get() != &connection && other->is_up && !other->is_closed &&
        other->peer.name == connection.peer.name) {
      this->Close(*other, "the peer came back on another connection");
    }
  }
  connection.is_up = true;
  // Tell what may have changed since the hello.
  connection.last_sent = TimePoint{};
  const auto dial = this->dials.find(connection.dialled);
  if (dial != this->dials.end()) {
    dial->second.pause = {};
  }
  {
    const std::lock_guard lock(this->mutex);
    this->up[connection.peer.name] = connection.peer;
  }
  this->listener.OnPeerUp(connection.peer);
}

void PeerLinks::TakeHeartbeat(PeerConnection& connection,
                              const PeerHeartbeat& item) {
  connection.peer.revision = item.revision;
  const bool is_news = item.leaving && !connection.peer.leaving;
  connection.peer.leaving = item.leaving;
  {
    const std::lock_guard lock(this->mutex);
    this->up[connection.peer.name] = connection.peer;
  }
  if (is_news) {
    this->listener.OnPeerLeaving(connection.peer);
  }
}

Duration PeerLinks::HeartbeatOf(const PeerConnection& connection) const {
  return connection.peer.data_centre == this->options.data_centre
             ? this->options.local_heartbeat_interval
             : this->options.remote_heartbeat_interval;
}

void PeerLinks::BeatAll(TimePoint now) {
  PeerHeartbeat heartbeat;
  bool news = false;
  {
    const std::lock_guard lock(this->mutex);
    news = std::exchange(this->has_news, false);
    heartbeat = {.revision = this->revision, .leaving = this->leaving};
  }
  for (const auto& connection : this->connections) {
    if (connection->is_closed) {
      continue;
    }
    const Duration period = this->HeartbeatOf(*connection);
    const Duration silence = now - connection->last_heard;
    if (!connection->is_up) {
      if (silence > kProofTime) {
        this->Close(*connection, "no proof in time");
      }
    } else if (silence > kMissedHeartbeats * period) {
      this->Close(*connection, "its heartbeats stayed away");
    } else if (news || now - connection->last_sent >= period) {
      this->SendFrame(*connection, heartbeat);
    }
  }
}

void PeerLinks::Close(PeerConnection& connection, const std::string& reason) {
  if (std::exchange(connection.is_closed, true)) {
    return;
  }
  if (!connection.is_up) {
    // A listed instance that is not there is no news.
    if (connection.dialled.empty() || !connection.nonce.empty()) {
      this->listener.OnPeerRefused(connection.address, reason);
    }
    return;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->up.erase(connection.peer.name);
  }
  this->listener.OnPeerDown(connection.peer, reason);
}

void PeerLinks::RemoveClosed() {
  std::erase_if(this->connections,
                [](const auto& item) { return item->is_closed; });
}

}  // namespace rosemarycove
