#include "app/peer_service.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rosemarycove {
namespace {

constexpr auto kListReadInterval = std::chrono::seconds(1);

}  // namespace

PeerService::PeerService(PeerLinksOptions options, InstanceList& instance_list,
                         NodeHost& host, EventLog& log)
    : name(options.name),
      data_centre(options.data_centre),
      instance_list(instance_list),
      host(host),
      log(log),
      links(std::move(options), *this) {}

PeerService::~PeerService() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  if (this->watcher.joinable()) {
    this->watcher.join();
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
    this->watcher = std::thread([this] { this->WatchInstances(); });
  }
  return port;
}

void PeerService::WatchInstances() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    lock.unlock();
    auto read = this->instance_list.Read();
    lock.lock();
    this->instances_known = read.has_value();
    if (read) {
      // If the list can't be read, the links stay as they are.
      this->instances = std::move(*read);
      std::vector<ListedPeer> peers;
      for (const ListedInstance& instance : this->instances) {
        if (instance.name != this->name && !instance.leaving) {
          peers.push_back(
              {.name = instance.name, .address = instance.peer_address});
        }
      }
      this->links.SetListedPeers(std::move(peers));
    }
    this->changed.wait_for(lock, kListReadInterval,
                           [this] { return this->stopping; });
  }
}

void PeerService::SetRevision(std::uint64_t revision) {
  {
    const std::lock_guard lock(this->mutex);
    this->own_revision = revision;
  }
  this->links.SetConfigurationRevision(revision);
}

RolloutStatus PeerService::RolloutOf(std::uint64_t revision) const {
  const std::vector<PeerState> peers = this->links.Peers();
  const std::lock_guard lock(this->mutex);
  RolloutStatus rollout{.instances_known = this->instances_known,
                        .unconfirmed = {}};
  for (const ListedInstance& instance : this->instances) {
    const auto peer = std::find_if(
        peers.begin(), peers.end(),
        [&](const PeerState& state) { return state.name == instance.name; });
    const bool is_self = instance.name == this->name;
    const std::uint64_t confirmed =
        is_self ? this->own_revision
                : (peer == peers.end() ? 0 : peer->configuration_revision);
    if (!instance.leaving && confirmed < revision) {
      rollout.unconfirmed.push_back(instance.name);
    }
  }
  rollout.in_force = rollout.instances_known && rollout.unconfirmed.empty() &&
                     this->own_revision >= revision;
  return rollout;
}

bool PeerService::IsInSameDataCentre(const PeerState& peer) const {
  return peer.data_centre == this->data_centre;
}

void PeerService::OnPeerUp(const PeerState& peer) {
  this->log.Write(LogEvent::kPeerUp,
                  {{"peer", peer.name}, {"data_centre", peer.data_centre}});
  if (this->IsInSameDataCentre(peer)) {
    this->host.Post(PeerUp{.peer = peer.name});
  }
}

void PeerService::OnPeerDraining(const PeerState& peer) {
  if (this->IsInSameDataCentre(peer)) {
    this->host.Post(PeerDraining{.peer = peer.name});
  }
}

void PeerService::OnPeerDown(const PeerState& peer, const std::string& reason) {
  this->log.Write(LogEvent::kPeerDown,
                  {{"peer", peer.name}, {"reason", reason}});
  if (this->IsInSameDataCentre(peer)) {
    this->host.Post(PeerDown{.peer = peer.name});
  }
}

void PeerService::OnPeerMessage(const std::string& peer,
                                const PeerMessage& message) {
  this->host.Post(PeerMessageReceived{.peer = peer, .message = message});
}

void PeerService::OnAuthenticationFailed(const std::string& address,
                                         const std::string& reason) {
  this->log.Write(LogEvent::kPeerRefused,
                  {{"address", address}, {"reason", reason}});
}

}  // namespace rosemarycove
