#include "app/configuration_exchange.h"

#include <algorithm>
#include <random>
#include <utility>

#include "core/store_revision.h"

namespace rosemarycove {
namespace {

// Two, since one of them may have lost the store.
constexpr int kWaitingPerDataCentre = 2;
// Instances that take no updates read a larger configuration from the store.
constexpr std::size_t kMaxRelayedBytes = std::size_t{32} << 10U;
// Time from a new configuration to the report that brings it to instances that
// take no updates: longer than RelayThrottle's first delay, within which the
// instances learn who has it.
constexpr Duration kRelayDelay = std::chrono::milliseconds(300);

}  // namespace

ConfigurationExchange::ConfigurationExchange(FleetLinks& links, EventLog& log)
    : links(links),
      log(log),
      history(this->codec),
      requests(std::random_device()()),
      budget(static_cast<double>(links.self().link_bytes_per_second)) {}

bool ConfigurationExchange::WaitsAtStore(
    const InstanceIdentity& instance) const {
  return this->links.ReaderRankInDataCentre(instance) < kWaitingPerDataCentre;
}

void ConfigurationExchange::SetInForce(const SharedDocument& document,
                                       std::uint64_t new_version,
                                       bool is_from_store, TimePoint now) {
  const bool is_first = std::exchange(this->version, new_version) == 0;
  this->history.Add(document);
  this->needs_whole = false;
  if (is_first) {
    // The others have just started, too, or are ahead.
    this->links.ScheduleReport();
    return;
  }
  const InstanceIdentity& self = this->links.self();
  const bool waits = this->WaitsAtStore(self);
  for (const FleetPeer* peer : this->links.ServingPeers()) {
    const std::string& address = peer->identity.address;
    if (!peer->takes_configuration_updates) {
      if (is_from_store) {
        this->links.ScheduleReport();
        this->relay_at = now + kRelayDelay;
      }
      continue;
    }
    if (waits && this->IsBehind(*peer) &&
        (peer->identity.data_centre == self.data_centre ||
         this->WaitsAtStore(peer->identity))) {
      this->pending[address] = Message::kUpdate;
    } else if (is_from_store) {
      this->pending.try_emplace(address, Message::kNotice);
    }
  }
}

void ConfigurationExchange::AddState(FleetReport& report) const {
  report.configuration_revision = this->document().revision;
  report.configuration_version = this->version;
  report.configuration_hash =
      this->needs_whole ? 0 : this->history.latest_hash();
  report.takes_configuration_updates = true;
}

FleetReport ConfigurationExchange::MakeMessage(
    std::optional<Duration> age) const {
  FleetReport message{.configuration_age = age, .is_configuration_only = true};
  this->AddState(message);
  return message;
}

bool ConfigurationExchange::IsBehind(const FleetPeer& peer) const {
  if (peer.configuration_version != 0) {
    return peer.configuration_version < this->version;
  }
  return peer.configuration_revision < this->document().revision;
}

bool ConfigurationExchange::IsTurnToSend(const FleetPeer& peer, TimePoint now) {
  const int rank = this->links.SenderRank(peer, [this](const FleetPeer& other) {
    return other.configuration_version >= this->version;
  });
  return this->throttle.MaySend(peer.identity.address,
                                peer.configuration_version, rank, now);
}

void ConfigurationExchange::AddDocument(const FleetPeer& peer,
                                        FleetReport& report, TimePoint now) {
  if (peer.takes_configuration_updates || !this->IsBehind(peer)) {
    this->throttle.MarkUpToDate(peer.identity.address);
    return;
  }
  const InstanceIdentity& self = this->links.self();
  const bool relies_on_this =
      peer.identity.data_centre == self.data_centre &&
      this->document().value.size() <= kMaxRelayedBytes &&
      this->WaitsAtStore(self);
  const bool is_turn = this->IsTurnToSend(peer, now);
  if (relies_on_this || is_turn) {
    report.configuration = this->document();
    ++this->unlogged.peers;
    ++this->unlogged.whole;
    this->unlogged.bytes += this->document().value.size();
  }
}

std::optional<SharedDocument> ConfigurationExchange::Receive(
    const FleetPeer& peer, const FleetReport& report) {
  if (report.wants_configuration) {
    this->pending[peer.identity.address] = Message::kUpdate;
  }
  if (!report.configuration_update) {
    return report.configuration;
  }
  if (report.configuration_version <= this->version) {
    return std::nullopt;
  }
  auto document = this->history.Apply(*report.configuration_update);
  if (!document) {
    this->needs_whole = true;
    this->log.Write(LogEvent::kConfigurationUpdateRefused,
                    {{"version", report.configuration_version},
                     {"version_in_force", this->version},
                     {"why", ToString(document.error())},
                     {"from", peer.identity.instance}});
    return std::nullopt;
  }
  return std::move(*document);
}

const FleetPeer* ConfigurationExchange::FindPeer(
    const std::string& address) const {
  const auto& peers = this->links.peers();
  const auto found =
      std::find_if(peers.begin(), peers.end(), [&](const auto& item) {
        return item.second.identity.address == address;
      });
  return found == peers.end() ? nullptr : &found->second;
}

bool ConfigurationExchange::Send(const std::string& address, Message message,
                                 std::optional<Duration> age, TimePoint now) {
  const FleetPeer* peer = this->FindPeer(address);
  if (peer == nullptr) {
    return true;
  }
  FleetReport report = this->MakeMessage(age);
  report.wants_configuration = message == Message::kRequest;
  if (message == Message::kUpdate) {
    if (!this->IsBehind(*peer)) {
      return true;
    }
    if (!this->budget.HasRoom(now)) {
      return false;
    }
    report.configuration_update =
        this->history.UpdateFrom(peer->configuration_hash);
  }
  if (!this->links.SendTo(address, report)) {
    return false;
  }
  if (report.configuration_update) {
    const ConfigurationUpdate& update = *report.configuration_update;
    this->budget.Spend(update.bytes.size());
    ++this->unlogged.peers;
    this->unlogged.whole += update.base_hash == 0 ? 1 : 0;
    this->unlogged.bytes += update.bytes.size();
  }
  return true;
}

void ConfigurationExchange::RequestIfBehind(TimePoint now) {
  std::vector<ConfigurationHolder> holders;
  for (const FleetPeer* peer : this->links.ServingPeers()) {
    if (peer->takes_configuration_updates &&
        peer->configuration_version > this->version) {
      holders.push_back({.address = peer->identity.address,
                         .is_near = peer->identity.data_centre ==
                                    this->links.self().data_centre});
    }
  }
  const auto address = this->requests.Next(this->version, holders, now);
  if (address) {
    this->pending[*address] = Message::kRequest;
  }
}

void ConfigurationExchange::Tick(std::optional<Duration> age, TimePoint now) {
  if (this->relay_at && now >= *this->relay_at) {
    this->relay_at.reset();
    this->links.ScheduleReport();
  }
  this->RequestIfBehind(now);
  std::erase_if(this->pending, [&](const auto& item) {
    return this->Send(item.first, item.second, age, now);
  });
  this->LogSent();
}

void ConfigurationExchange::LogSent() {
  if (this->unlogged.peers == 0) {
    return;
  }
  this->log.Write(LogEvent::kConfigurationSent,
                  {{"version", this->version},
                   {"peers", this->unlogged.peers},
                   {"whole", this->unlogged.whole},
                   {"bytes", this->unlogged.bytes}});
  this->all_sent.bytes += this->unlogged.bytes;
  this->unlogged = {};
}

}  // namespace rosemarycove
