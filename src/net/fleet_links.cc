#include "net/fleet_links.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "core/prompt_cache_map.h"
#include "net/clock.h"
#include "proxy/endpoint.h"
#include "proxy/listener.h"
#include "proxy/socket_options.h"
#include "wire/fleet_codec.h"

namespace rosemarycove {
namespace {

using boost::system::error_code;

// Maximum bytes per read from a socket.
constexpr std::size_t kReadBufferBytes = std::size_t{16} << 10U;
// The report interval in a small fleet. A tenth of the shortest latency target
// keeps load reports fresh enough; a shorter interval would cost more wake-ups,
// since each report causes two.
constexpr Duration kMinReportInterval = std::chrono::milliseconds(100);
// The interval per peer in a large fleet. It keeps the cost of an instance's
// reports constant when the fleet grows.
constexpr Duration kReportIntervalPerPeer = std::chrono::milliseconds(8);
// A peer counts as silent after this many report intervals, and no earlier than
// kMinSilence: a lost packet is retransmitted after 200 to 400 milliseconds.
constexpr int kMaxMissedReports = 5;
constexpr Duration kMinSilence = std::chrono::milliseconds(650);
// A peer is removed after this time without a report, and an address after this
// time without a connection, unless it is a seed.
constexpr Duration kPeerExpiry = std::chrono::seconds(30);
// A peer that was silent when it was removed may still run for this long.
constexpr Duration kMaxPartition = std::chrono::hours(2);
// One round in this many includes the addresses of the other peers, from this
// many instances to each.
constexpr std::uint64_t kRoundsPerAddressList = 10;
constexpr int kAddressTellers = 2;
constexpr Duration kMinReconnectDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxReconnectDelay = std::chrono::seconds(2);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);
// Peers acknowledge data within milliseconds; data that stays unacknowledged
// for this long means that the network is partitioned.
constexpr Duration kUnacknowledgedTimeout = std::chrono::milliseconds(1500);

}  // namespace

std::uint64_t RankHash(const std::string& instance) {
  return RendezvousScore(0, instance);
}

bool PrecedesAsReader(const InstanceIdentity& first,
                      const InstanceIdentity& second) {
  if (first.link_bytes_per_second != second.link_bytes_per_second) {
    return first.link_bytes_per_second > second.link_bytes_per_second;
  }
  return RankHash(first.instance) < RankHash(second.instance);
}

std::string_view ToString(PeerStatus status) {
  switch (status) {
    case PeerStatus::kUp:
      return "up";
    case PeerStatus::kGone:
      return "gone";
    case PeerStatus::kSilent:
      return "silent";
  }
  return "unknown";
}

// Connects to one address and sends reports to it. Ownership is shared with the
// handlers of pending operations.
class FleetLinks::Sender : public std::enable_shared_from_this<Sender> {
 public:
  Sender(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint endpoint,
         bool is_seed)
      : is_seed(is_seed), socket(io), endpoint(std::move(endpoint)) {}

  void Tick(TimePoint now) {
    if (this->state == State::kIdle && now >= this->next_attempt_at) {
      this->Connect(now);
    } else if (this->state == State::kConnecting &&
               now - this->connect_started_at > kConnectTimeout) {
      this->peer_ended = false;
      this->Disconnect(now);
    }
  }

  [[nodiscard]] bool CanSend() const {
    return this->state == State::kConnected && !this->is_writing &&
           !this->is_stopped;
  }
  [[nodiscard]] bool is_first_report() const { return this->sent_reports == 0; }
  [[nodiscard]] bool has_ended() const { return this->peer_ended; }
  [[nodiscard]] TimePoint last_connected_at() const {
    return this->connected_at;
  }

  void Send(std::string frame) {
    this->outgoing = std::move(frame);
    this->is_writing = true;
    ++this->sent_reports;
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->outgoing),
        [self = this->shared_from_this()](error_code failure, std::size_t) {
          self->is_writing = false;
          if (self->is_stopped) {
            return;
          }
          const TimePoint now = MonotonicNow();
          if (failure) {
            self->peer_ended =
                failure == boost::asio::error::connection_reset ||
                failure == boost::asio::error::broken_pipe;
            self->Disconnect(now);
          } else {
            self->connected_at = now;
          }
        });
  }

  void Stop() {
    this->is_stopped = true;
    error_code ignored;
    this->socket.close(ignored);
  }

  const bool is_seed;

 private:
  enum class State : std::uint8_t { kIdle, kConnecting, kConnected };

  void Connect(TimePoint now) {
    error_code error;
    this->socket = boost::asio::ip::tcp::socket(this->socket.get_executor());
    this->socket.open(boost::asio::ip::tcp::v4(), error);
    if (error) {
      this->Disconnect(now);
      return;
    }
    SetLivenessOptions(this->socket, kUnacknowledgedTimeout);
    this->state = State::kConnecting;
    this->connect_started_at = now;
    const std::uint64_t attempt = ++this->attempt_count;
    this->socket.async_connect(this->endpoint, [self = this->shared_from_this(),
                                                attempt](error_code failure) {
      if (self->is_stopped || attempt != self->attempt_count) {
        return;
      }
      const TimePoint at = MonotonicNow();
      if (failure) {
        self->peer_ended = failure == boost::asio::error::connection_refused;
        self->Disconnect(at);
        return;
      }
      self->state = State::kConnected;
      self->peer_ended = false;
      self->sent_reports = 0;
      self->reconnect_delay = kMinReconnectDelay;
      self->connected_at = at;
      self->WatchForEnd();
    });
  }

  // Waits for the end of the connection. The peer sends no data on it.
  void WatchForEnd() {
    const std::uint64_t attempt = this->attempt_count;
    this->socket.async_read_some(
        boost::asio::buffer(this->discarded),
        [self = this->shared_from_this(), attempt](error_code failure,
                                                   std::size_t) {
          if (self->is_stopped || attempt != self->attempt_count ||
              self->state != State::kConnected) {
            return;
          }
          if (failure) {
            // The connection of a process that ended is closed or reset; a
            // network partition makes it time out.
            self->peer_ended = failure != boost::asio::error::timed_out;
            self->Disconnect(MonotonicNow());
          } else {
            self->WatchForEnd();
          }
        });
  }

  void Disconnect(TimePoint now) {
    error_code ignored;
    this->socket.close(ignored);
    ++this->attempt_count;
    this->state = State::kIdle;
    this->next_attempt_at = now + this->reconnect_delay;
    this->reconnect_delay =
        std::min(this->reconnect_delay * 2, kMaxReconnectDelay);
  }

  boost::asio::ip::tcp::socket socket;
  boost::asio::ip::tcp::endpoint endpoint;
  State state = State::kIdle;
  bool is_writing = false;
  bool is_stopped = false;
  // The last connection showed that the peer's process has ended.
  bool peer_ended = false;
  // Identifies the current attempt, so that handlers of earlier ones return.
  std::uint64_t attempt_count = 0;
  // The number of reports sent on the current connection.
  std::uint64_t sent_reports = 0;
  std::string outgoing;
  std::array<char, 64> discarded{};
  Duration reconnect_delay = kMinReconnectDelay;
  TimePoint connect_started_at;
  TimePoint next_attempt_at;
  // When the connection was last known to work.
  TimePoint connected_at = MonotonicNow();
};

// A connection that another instance opened. Ownership is shared with the
// handlers of pending operations.
class FleetLinks::Receiver : public std::enable_shared_from_this<Receiver> {
 public:
  Receiver(boost::asio::ip::tcp::socket socket, FleetLinks& links)
      : socket(std::move(socket)), links(links) {
    SetLivenessOptions(this->socket, kUnacknowledgedTimeout);
  }

  void Read() {
    this->read_buffer.resize(kReadBufferBytes);
    this->socket.async_read_some(boost::asio::buffer(this->read_buffer),
                                 [self = this->shared_from_this()](
                                     error_code failure, std::size_t count) {
                                   if (failure || self->is_stopped) {
                                     return;
                                   }
                                   self->received.append(
                                       self->read_buffer.data(), count);
                                   if (self->HandleFrames()) {
                                     self->Read();
                                   }
                                 });
  }

  void Stop() {
    this->is_stopped = true;
    error_code ignored;
    this->socket.close(ignored);
  }

 private:
  // Returns false if the data is not a report or its sender is unknown, since
  // the first report must contain the sender's identity. The connection is then
  // closed.
  bool HandleFrames() {
    while (true) {
      auto frame = DecodeFleetFrame(this->received);
      if (!frame) {
        return false;
      }
      if (!*frame) {
        return true;
      }
      const FleetReport& report = **frame;
      if (report.identity) {
        this->sender = report.identity;
      }
      if (!this->sender) {
        return false;
      }
      this->links.HandleReport(*this->sender, report);
    }
  }

  boost::asio::ip::tcp::socket socket;
  FleetLinks& links;
  bool is_stopped = false;
  std::optional<InstanceIdentity> sender;
  std::string read_buffer;
  std::string received;
};

FleetLinks::FleetLinks(boost::asio::io_context& io, FleetLinksOptions options,
                       FleetReportHandler& handler)
    : io(io), options(std::move(options)), handler(handler), acceptor(io) {}

FleetLinks::~FleetLinks() {
  for (const auto& [address, sender] : this->senders) {
    sender->Stop();
  }
  for (const auto& weak : this->receivers) {
    if (const auto receiver = weak.lock()) {
      receiver->Stop();
    }
  }
}

std::optional<std::string> FleetLinks::Start() {
  if (auto error = Listen(this->acceptor, this->options.self.address)) {
    return error;
  }
  // Reports contain the bound port; with port 0 the system chooses it.
  std::string& own = this->options.self.address;
  own = own.substr(0, own.rfind(':') + 1) + std::to_string(this->port());
  for (const std::string& address : this->options.seeds) {
    this->AddAddress(address);
  }
  AcceptAll(this->acceptor, [this](boost::asio::ip::tcp::socket socket) {
    const auto receiver = std::make_shared<Receiver>(std::move(socket), *this);
    this->receivers.push_back(receiver);
    receiver->Read();
  });
  return std::nullopt;
}

int FleetLinks::port() const { return PortOf(this->acceptor); }

void FleetLinks::AddAddress(const std::string& address) {
  if (address == this->options.self.address ||
      this->senders.contains(address)) {
    return;
  }
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) {
    return;
  }
  const auto& seeds = this->options.seeds;
  const bool is_seed =
      std::find(seeds.begin(), seeds.end(), address) != seeds.end();
  this->senders.emplace(address,
                        std::make_shared<Sender>(this->io, *endpoint, is_seed));
}

Duration FleetLinks::ReportInterval() const {
  return std::max(
      kMinReportInterval,
      kReportIntervalPerPeer * static_cast<int>(this->peers_by_name.size()));
}

FleetReport FleetLinks::CompleteReport(const std::string& address,
                                       FleetReport report, TimePoint now) {
  FleetPeer receiver{.identity = {.address = address}};
  for (const auto& [name, peer] : this->peers_by_name) {
    if (peer.identity.address == address) {
      receiver = peer;
    }
  }
  const bool is_first_report = this->senders.at(address)->is_first_report();
  if (is_first_report) {
    report.identity = this->options.self;
  }
  report.known_peer_count =
      static_cast<std::uint32_t>(this->peers_by_name.size());
  this->handler.AddMissingDocuments(receiver, report);
  if (this->ShouldTellAddresses(receiver, is_first_report, now)) {
    for (const auto& [name, peer] : this->peers_by_name) {
      if (!this->down_peers.contains(name) &&
          peer.identity.address != address) {
        report.peer_addresses.push_back(peer.identity.address);
      }
    }
  }
  return report;
}

bool FleetLinks::ShouldTellAddresses(const FleetPeer& receiver,
                                     bool is_first_report, TimePoint now) {
  const auto& seeds = this->options.seeds;
  const bool is_seed = std::find(seeds.begin(), seeds.end(),
                                 this->options.self.address) != seeds.end();
  if (is_first_report && is_seed) {
    return true;
  }
  const auto rank = [&] {
    return this->SenderRank(receiver, [](const FleetPeer&) { return true; });
  };
  if (this->rounds % kRoundsPerAddressList == 0 && rank() < kAddressTellers) {
    return true;
  }
  if (receiver.known_peer_count == 0 ||
      receiver.known_peer_count >= this->peers_by_name.size()) {
    this->address_throttle.MarkUpToDate(receiver.identity.address);
    return false;
  }
  return this->address_throttle.MaySend(receiver.identity.address,
                                        receiver.known_peer_count, rank(), now);
}

void FleetLinks::Tick(TimePoint now) {
  for (const auto& [address, sender] : this->senders) {
    sender->Tick(now);
  }
  const bool due = now - this->last_round_at >= this->ReportInterval();
  std::optional<FleetReport> report;
  for (const auto& [address, sender] : this->senders) {
    if (sender->CanSend() &&
        (due || this->report_scheduled || sender->is_first_report())) {
      if (!report) {
        report = this->handler.MakeReport();
      }
      std::string frame =
          EncodeFleetFrame(this->CompleteReport(address, *report, now));
      this->sent_bytes += frame.size();
      sender->Send(std::move(frame));
    }
  }
  if (due || this->report_scheduled) {
    this->last_round_at = now;
    this->report_scheduled = false;
    ++this->rounds;
    this->handler.OnRoundSent();
  }
  this->DetectSilentPeers(now);
  this->RemoveExpired(now);
}

bool FleetLinks::SendTo(const std::string& address, const FleetReport& report) {
  const auto found = this->senders.find(address);
  if (found == this->senders.end() || !found->second->CanSend() ||
      found->second->is_first_report()) {
    return false;
  }
  std::string frame = EncodeFleetFrame(report);
  this->sent_bytes += frame.size();
  found->second->Send(std::move(frame));
  return true;
}

void FleetLinks::HandleReport(const InstanceIdentity& sender,
                              const FleetReport& report) {
  if (sender.instance == this->options.self.instance) {
    return;
  }
  FleetPeer& peer = this->peers_by_name[sender.instance];
  peer.identity = sender;
  peer.last_report_at = MonotonicNow();
  peer.configuration_revision = report.configuration_revision;
  peer.configuration_version = report.configuration_version;
  peer.configuration_hash = report.configuration_hash;
  peer.takes_configuration_updates = report.takes_configuration_updates;
  if (!report.is_configuration_only) {
    peer.is_draining = report.is_draining;
    peer.directory_revision = report.directory_revision;
    peer.known_peer_count = report.known_peer_count;
    peer.unreachable_services = report.unreachable_services;
    peer.directory_read_at = peer.last_report_at - report.directory_age;
  }
  const bool is_known_address = this->senders.contains(sender.address);
  this->AddAddress(sender.address);
  for (const std::string& address : report.peer_addresses) {
    this->AddAddress(address);
  }
  if (this->down_peers.erase(sender.instance) > 0 || !is_known_address) {
    this->handler.OnPeerStatusChange(peer, PeerStatus::kUp);
  }
  this->handler.OnReport(peer, report);
}

bool FleetLinks::HasEnded(const std::string& address) const {
  const auto found = this->senders.find(address);
  return found != this->senders.end() && found->second->has_ended();
}

void FleetLinks::DetectSilentPeers(TimePoint now) {
  const Duration silence =
      std::max(kMinSilence, kMaxMissedReports * this->ReportInterval());
  for (const auto& [name, peer] : this->peers_by_name) {
    if (now - peer.last_report_at > silence &&
        this->down_peers.insert(name).second) {
      this->handler.OnPeerStatusChange(
          peer, this->HasEnded(peer.identity.address) ? PeerStatus::kGone
                                                      : PeerStatus::kSilent);
    }
  }
}

void FleetLinks::RemoveExpired(TimePoint now) {
  std::erase_if(this->peers_by_name, [&](const auto& item) {
    const bool is_expired = now - item.second.last_report_at > kPeerExpiry;
    if (is_expired) {
      if (this->MaySendRequests(item.first, item.second)) {
        this->silent_removed_at = now;
      }
      this->down_peers.erase(item.first);
    }
    return is_expired;
  });
  this->receivers.remove_if([](const auto& weak) { return weak.expired(); });
  std::erase_if(this->senders, [&](const auto& item) {
    const bool is_expired =
        !item.second->is_seed &&
        now - item.second->last_connected_at() > kPeerExpiry;
    if (is_expired) {
      item.second->Stop();
    }
    return is_expired;
  });
}

int FleetLinks::CountLive(
    const std::function<bool(const FleetPeer&)>& predicate) const {
  return static_cast<int>(std::count_if(
      this->peers_by_name.begin(), this->peers_by_name.end(),
      [&](const auto& item) {
        return !this->down_peers.contains(item.first) && predicate(item.second);
      }));
}

int FleetLinks::CountRankedBelow(std::uint64_t rank_hash) const {
  return this->CountLive([rank_hash](const FleetPeer& peer) {
    return !peer.is_draining && RankHash(peer.identity.instance) < rank_hash;
  });
}

int FleetLinks::live_peer_count() const {
  return this->CountLive([](const FleetPeer&) { return true; });
}

int FleetLinks::SenderRank(
    const FleetPeer& receiver,
    const std::function<bool(const FleetPeer&)>& has_document) const {
  const std::uint64_t seed = IdHash(receiver.identity.address);
  const std::uint64_t own = RendezvousScore(seed, this->options.self.instance);
  return this->CountLive([&](const FleetPeer& peer) {
    return peer.identity.address != receiver.identity.address &&
           has_document(peer) &&
           RendezvousScore(seed, peer.identity.instance) > own;
  });
}

int FleetLinks::Rank() const {
  return this->CountRankedBelow(RankHash(this->options.self.instance));
}

int FleetLinks::ReaderRank() const {
  return this->CountLive([this](const FleetPeer& peer) {
    return !peer.is_draining &&
           PrecedesAsReader(peer.identity, this->options.self);
  });
}

int FleetLinks::ReaderRankInDataCentre(const InstanceIdentity& instance) const {
  const InstanceIdentity& self = this->options.self;
  const bool self_precedes = self.data_centre == instance.data_centre &&
                             PrecedesAsReader(self, instance);
  return (self_precedes ? 1 : 0) + this->CountLive([&](const FleetPeer& peer) {
    return !peer.is_draining &&
           peer.identity.data_centre == instance.data_centre &&
           PrecedesAsReader(peer.identity, instance);
  });
}

bool FleetLinks::RanksFirst(const std::string& instance) const {
  const std::uint64_t rank_hash = RankHash(instance);
  return RankHash(this->options.self.instance) >= rank_hash &&
         this->CountRankedBelow(rank_hash) == 0;
}

bool FleetLinks::MaySendRequests(const std::string& name,
                                 const FleetPeer& peer) const {
  return !peer.is_draining && !(this->down_peers.contains(name) &&
                                this->HasEnded(peer.identity.address));
}

std::vector<std::string> FleetLinks::SendingPeers() const {
  std::vector<std::string> names;
  for (const auto& [name, peer] : this->peers_by_name) {
    if (this->MaySendRequests(name, peer)) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<const FleetPeer*> FleetLinks::ServingPeers() const {
  std::vector<const FleetPeer*> serving;
  for (const auto& [name, peer] : this->peers_by_name) {
    if (!peer.is_draining && !this->down_peers.contains(name)) {
      serving.push_back(&peer);
    }
  }
  return serving;
}

bool FleetLinks::HearsAllPeers() const {
  return std::none_of(this->peers_by_name.begin(), this->peers_by_name.end(),
                      [this](const auto& item) {
                        return this->down_peers.contains(item.first) &&
                               this->MaySendRequests(item.first, item.second);
                      });
}

std::optional<TimePoint> FleetLinks::EarliestLastReport(
    std::uint64_t directory_revision, TimePoint now) const {
  if (this->silent_removed_at &&
      now - *this->silent_removed_at <= kMaxPartition) {
    return std::nullopt;
  }
  std::optional<TimePoint> earliest;
  for (const auto& [name, peer] : this->peers_by_name) {
    if (!this->MaySendRequests(name, peer)) {
      continue;
    }
    if (peer.directory_revision > directory_revision) {
      return std::nullopt;
    }
    earliest =
        std::min(earliest.value_or(peer.last_report_at), peer.last_report_at);
  }
  return earliest;
}

std::set<std::string> FleetLinks::SilentDataCentres() const {
  std::set<std::string> silent;
  std::set<std::string> live;
  for (const auto& [name, peer] : this->peers_by_name) {
    const std::string& centre = peer.identity.data_centre;
    if (!this->down_peers.contains(name)) {
      live.insert(centre);
    } else if (!peer.is_draining && !this->HasEnded(peer.identity.address)) {
      silent.insert(centre);
    }
  }
  for (const std::string& centre : live) {
    silent.erase(centre);
  }
  silent.erase(this->options.self.data_centre);
  return silent;
}

}  // namespace rosemarycove
