#include "app/peer_service.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rosemarycove {
namespace {

constexpr auto kListPeriod = std::chrono::seconds(1);

}  // namespace

PeerService::PeerService(PeerLinksOptions options, InstanceList& list,
                         NodeHost& host, EventLog& log)
    : name(options.name),
      data_centre(options.data_centre),
      list(list),
      host(host),
      log(log),
      links(std::move(options), *this) {}

PeerService::~PeerService() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  if (this->follower.joinable()) {
    this->follower.join();
  }
  this->host.set_peer_sender(nullptr);
  this->links.Stop();
}

int PeerService::Start() {
  this->host.set_peer_sender(
      [this](const std::string& peer, const PeerMessage& message) {
        this->links.Send(peer, message);
      });
  const int port = this->links.Start();
  if (port > 0) {
    this->follower = std::thread([this] { this->FollowList(); });
  }
  return port;
}

void PeerService::FollowList() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    lock.unlock();
    auto read = this->list.Read();
    lock.lock();
    this->list_known = read.has_value();
    if (read) {
      // A list that can't be read leaves the links as they are.
      this->listed = std::move(*read);
      std::vector<ListedPeer> peers;
      for (const ListedInstance& instance : this->listed) {
        if (instance.name != this->name && !instance.leaving) {
          peers.push_back(
              {.name = instance.name, .address = instance.peer_address});
        }
      }
      this->links.SetListedPeers(std::move(peers));
    }
    this->changed.wait_for(lock, kListPeriod,
                           [this] { return this->stopping; });
  }
}

void PeerService::SetRevision(std::uint64_t revision) {
  {
    const std::lock_guard lock(this->mutex);
    this->own_revision = revision;
  }
  this->links.SetRevision(revision);
}

RevisionSpread PeerService::SpreadOf(std::uint64_t revision) const {
  const std::vector<PeerState> peers = this->links.Peers();
  const std::lock_guard lock(this->mutex);
  RevisionSpread spread{.list_known = this->list_known, .unconfirmed = {}};
  for (const ListedInstance& instance : this->listed) {
    const auto peer = std::find_if(
        peers.begin(), peers.end(),
        [&](const PeerState& state) { return state.name == instance.name; });
    const bool is_self = instance.name == this->name;
    const std::uint64_t known =
        is_self ? this->own_revision
                : (peer == peers.end() ? 0 : peer->revision);
    if (!instance.leaving && known < revision) {
      spread.unconfirmed.push_back(instance.name);
    }
  }
  spread.in_force = spread.list_known && spread.unconfirmed.empty() &&
                    this->own_revision >= revision;
  return spread;
}

bool PeerService::IsNear(const PeerState& peer) const {
  return peer.data_centre == this->data_centre;
}

void PeerService::OnPeerUp(const PeerState& peer) {
  this->log.Write(LogEvent::kPeerUp,
                  {{"peer", peer.name}, {"data_centre", peer.data_centre}});
  if (this->IsNear(peer)) {
    this->host.Post(PeerUp{.peer = peer.name});
  }
}

void PeerService::OnPeerLeaving(const PeerState& peer) {
  if (this->IsNear(peer)) {
    this->host.Post(PeerLeaving{.peer = peer.name});
  }
}

void PeerService::OnPeerDown(const PeerState& peer, const std::string& reason) {
  this->log.Write(LogEvent::kPeerDown,
                  {{"peer", peer.name}, {"reason", reason}});
  if (this->IsNear(peer)) {
    this->host.Post(PeerDown{.peer = peer.name});
  }
}

void PeerService::OnPeerMessage(const std::string& peer,
                                const PeerMessage& message) {
  this->host.Post(PeerSaid{.peer = peer, .message = message});
}

void PeerService::OnPeerRefused(const std::string& address,
                                const std::string& reason) {
  this->log.Write(LogEvent::kPeerRefused,
                  {{"address", address}, {"reason", reason}});
}

}  // namespace rosemarycove
