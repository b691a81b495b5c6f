#include "net/fleet_links.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "core/prompt_cache_map.h"
#include "proxy/endpoint.h"
#include "proxy/listener.h"
#include "proxy/socket_options.h"
#include "wire/fleet_codec.h"

namespace rosemarycove {
namespace {

using boost::system::error_code;

constexpr std::size_t kReadBlock = std::size_t{16} << 10U;
// Pause between reports in a small fleet: a tenth of the shortest latency
// target is fresh enough, and each report costs two wake-ups.
constexpr Duration kLeastInterval = std::chrono::milliseconds(100);
// Added for each peer, so that reports cost an instance the same however large
// the fleet is.
constexpr Duration kIntervalPerPeer = std::chrono::milliseconds(8);
// Reports that may be missing before a peer counts as silent, and the least
// time for it: a lost packet is sent again after 200 to 400 milliseconds.
constexpr int kMissingReports = 5;
constexpr Duration kLeastSilence = std::chrono::milliseconds(650);
// A peer that was silent for this long is not counted among the others.
constexpr Duration kForgotten = std::chrono::seconds(30);
// Every so many rounds a report names the addresses of others.
constexpr std::uint64_t kNeighbourRounds = 10;
constexpr Duration kFirstPause = std::chrono::milliseconds(100);
constexpr Duration kLongestPause = std::chrono::seconds(2);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);
// Links answer within milliseconds; unacknowledged bytes mean a cut.
constexpr Duration kUnacknowledged = std::chrono::milliseconds(1500);

// The order of instances for what one does for all. Hashed, so that those of
// one data centre, which fail together, do not stand together.
std::uint64_t Place(const std::string& instance) {
  return HomeRank(0, instance);
}

}  // namespace

std::string_view ToString(PeerStatus news) {
  switch (news) {
    case PeerStatus::kUp:
      return "up";
    case PeerStatus::kGone:
      return "gone";
    case PeerStatus::kSilent:
      return "silent";
  }
  return "unknown";
}

// The connection to one address; shared because it lives while an operation
// is pending.
class FleetLinks::Sender : public std::enable_shared_from_this<Sender> {
 public:
  Sender(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint endpoint,
         bool is_seed)
      : is_seed(is_seed), socket(io), endpoint(std::move(endpoint)) {}

  void Tick(TimePoint now) {
    if (this->state == State::kIdle && now >= this->next_try) {
      this->Connect(now);
    } else if (this->state == State::kConnecting &&
               now - this->began > kConnectTimeout) {
      this->refused = false;
      this->Reset(now);
    }
  }

  [[nodiscard]] bool CanSend() const {
    return this->state == State::kStands && !this->writing && !this->stopped;
  }
  [[nodiscard]] bool first() const { return this->sent == 0; }
  [[nodiscard]] bool is_refused() const { return this->refused; }
  [[nodiscard]] TimePoint last_stood() const { return this->stood_at; }

  void Send(std::string frame) {
    this->outgoing = std::move(frame);
    this->writing = true;
    ++this->sent;
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->outgoing),
        [self = this->shared_from_this()](error_code failure, std::size_t) {
          self->writing = false;
          if (self->stopped) {
            return;
          }
          const TimePoint now = std::chrono::steady_clock::now();
          if (failure) {
            self->refused = failure == boost::asio::error::connection_reset ||
                            failure == boost::asio::error::broken_pipe;
            self->Reset(now);
          } else {
            self->stood_at = now;
          }
        });
  }

  void Stop() {
    this->stopped = true;
    error_code ignored;
    this->socket.close(ignored);
  }

  const bool is_seed;

 private:
  enum class State : std::uint8_t { kIdle, kConnecting, kStands };

  void Connect(TimePoint now) {
    error_code error;
    this->socket = boost::asio::ip::tcp::socket(this->socket.get_executor());
    this->socket.open(boost::asio::ip::tcp::v4(), error);
    if (error) {
      this->Reset(now);
      return;
    }
    SetLivenessOptions(this->socket, kUnacknowledged);
    this->state = State::kConnecting;
    this->began = now;
    const std::uint64_t attempt = ++this->attempts;
    this->socket.async_connect(this->endpoint, [self = this->shared_from_this(),
                                                attempt](error_code failure) {
      if (self->stopped || attempt != self->attempts) {
        return;
      }
      const TimePoint at = std::chrono::steady_clock::now();
      if (failure) {
        self->refused = failure == boost::asio::error::connection_refused;
        self->Reset(at);
        return;
      }
      self->state = State::kStands;
      self->refused = false;
      self->sent = 0;
      self->pause = kFirstPause;
      self->stood_at = at;
      self->WatchForEnd();
    });
  }

  // Nothing comes back on this connection but its end.
  void WatchForEnd() {
    const std::uint64_t attempt = this->attempts;
    this->socket.async_read_some(
        boost::asio::buffer(this->nothing),
        [self = this->shared_from_this(), attempt](error_code failure,
                                                   std::size_t) {
          if (self->stopped || attempt != self->attempts ||
              self->state != State::kStands) {
            return;
          }
          if (failure) {
            // A peer that ends closes or resets; a cut times out.
            self->refused = failure != boost::asio::error::timed_out;
            self->Reset(std::chrono::steady_clock::now());
          } else {
            self->WatchForEnd();
          }
        });
  }

  void Reset(TimePoint now) {
    error_code ignored;
    this->socket.close(ignored);
    ++this->attempts;
    this->state = State::kIdle;
    this->next_try = now + this->pause;
    this->pause = std::min(this->pause * 2, kLongestPause);
  }

  boost::asio::ip::tcp::socket socket;
  boost::asio::ip::tcp::endpoint endpoint;
  State state = State::kIdle;
  bool writing = false;
  bool stopped = false;
  bool refused = false;
  std::uint64_t attempts = 0;
  std::uint64_t sent = 0;
  std::string outgoing;
  std::array<char, 64> nothing{};
  Duration pause = kFirstPause;
  TimePoint began;
  TimePoint next_try;
  TimePoint stood_at = std::chrono::steady_clock::now();
};

// A connection of another instance; shared because it lives while an operation
// is pending.
class FleetLinks::Receiver : public std::enable_shared_from_this<Receiver> {
 public:
  Receiver(boost::asio::ip::tcp::socket socket, FleetLinks& links)
      : socket(std::move(socket)), links(links) {
    SetLivenessOptions(this->socket, kUnacknowledged);
  }

  void Read() {
    this->block.resize(kReadBlock);
    this->socket.async_read_some(boost::asio::buffer(this->block),
                                 [self = this->shared_from_this()](
                                     error_code failure, std::size_t count) {
                                   if (failure || self->stopped) {
                                     return;
                                   }
                                   self->received.append(self->block.data(),
                                                         count);
                                   if (self->TakeFrames()) {
                                     self->Read();
                                   }
                                 });
  }

  void Stop() {
    this->stopped = true;
    error_code ignored;
    this->socket.close(ignored);
  }

 private:
  // Returns false when the connection speaks something else.
  bool TakeFrames() {
    while (true) {
      auto taken = DecodeFleetFrame(this->received);
      if (!taken) {
        return false;
      }
      if (!*taken) {
        return true;
      }
      const FleetReport& report = **taken;
      if (report.identity) {
        this->sender = report.identity;
      }
      if (!this->sender) {
        return false;
      }
      this->links.Take(*this->sender, report);
    }
  }

  boost::asio::ip::tcp::socket socket;
  FleetLinks& links;
  bool stopped = false;
  std::optional<FleetIdentity> sender;
  std::string block;
  std::string received;
};

FleetLinks::FleetLinks(boost::asio::io_context& io, FleetLinksOptions options,
                       FleetHost& host)
    : io(io), options(std::move(options)), host(host), acceptor(io) {}

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
  if (auto fault = Listen(this->acceptor, this->options.self.address)) {
    return fault;
  }
  // Others are told the port that was bound, which port 0 leaves to the system.
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
  return std::max(kLeastInterval,
                  kIntervalPerPeer * static_cast<int>(this->by_name.size()));
}

FleetReport FleetLinks::ReportFor(const std::string& address,
                                  FleetReport report) {
  FleetPeer receiver{.identity = {.address = address}};
  for (const auto& [name, peer] : this->by_name) {
    if (peer.identity.address == address) {
      receiver = peer;
    }
  }
  this->host.AddMissingDocuments(receiver, report);
  if (this->senders.at(address)->first()) {
    report.identity = this->options.self;
  }
  if (report.identity || this->rounds % kNeighbourRounds == 0) {
    for (const auto& [name, peer] : this->by_name) {
      if (!this->down.contains(name) && peer.identity.address != address) {
        report.neighbours.push_back(peer.identity.address);
      }
    }
  }
  return report;
}

void FleetLinks::Tick(TimePoint now) {
  for (const auto& [address, sender] : this->senders) {
    sender->Tick(now);
  }
  const bool due = now - this->last_round >= this->ReportInterval();
  std::optional<FleetReport> report;
  for (const auto& [address, sender] : this->senders) {
    if (sender->CanSend() && (due || this->report_now || sender->first())) {
      if (!report) {
        report = this->host.MakeReport();
      }
      std::string frame = EncodeFleetFrame(this->ReportFor(address, *report));
      this->sent_bytes += frame.size();
      sender->Send(std::move(frame));
    }
  }
  if (due || this->report_now) {
    this->last_round = now;
    this->report_now = false;
    ++this->rounds;
  }
  this->NoteSilences(now);
  this->ForgetLongGone(now);
}

void FleetLinks::Take(const FleetIdentity& sender, const FleetReport& report) {
  if (sender.instance == this->options.self.instance) {
    return;
  }
  FleetPeer& peer = this->by_name[sender.instance];
  peer.identity = sender;
  peer.last_report_at = std::chrono::steady_clock::now();
  peer.leaving = report.leaving;
  peer.configuration_revision = report.configuration_revision;
  peer.directory_revision = report.directory_revision;
  peer.directory_read_at = peer.last_report_at - report.directory_age;
  const bool known = this->senders.contains(sender.address);
  this->AddAddress(sender.address);
  for (const std::string& address : report.neighbours) {
    this->AddAddress(address);
  }
  if (this->down.erase(sender.instance) > 0 || !known) {
    this->host.OnPeerStatusChange(peer, PeerStatus::kUp);
  }
  this->host.OnReport(peer, report);
}

bool FleetLinks::Refused(const std::string& address) const {
  const auto found = this->senders.find(address);
  return found != this->senders.end() && found->second->is_refused();
}

void FleetLinks::NoteSilences(TimePoint now) {
  const Duration silence =
      std::max(kLeastSilence, kMissingReports * this->ReportInterval());
  for (const auto& [name, peer] : this->by_name) {
    if (now - peer.last_report_at > silence && this->down.insert(name).second) {
      this->host.OnPeerStatusChange(peer, this->Refused(peer.identity.address)
                                              ? PeerStatus::kGone
                                              : PeerStatus::kSilent);
    }
  }
}

void FleetLinks::ForgetLongGone(TimePoint now) {
  std::erase_if(this->by_name, [&](const auto& item) {
    const bool gone = now - item.second.last_report_at > kForgotten;
    if (gone) {
      this->down.erase(item.first);
    }
    return gone;
  });
  this->receivers.remove_if([](const auto& weak) { return weak.expired(); });
  std::erase_if(this->senders, [&](const auto& item) {
    const bool gone =
        !item.second->is_seed && now - item.second->last_stood() > kForgotten;
    if (gone) {
      item.second->Stop();
    }
    return gone;
  });
}

int FleetLinks::CountLive(
    const std::function<bool(const FleetPeer&)>& holds) const {
  return static_cast<int>(std::count_if(
      this->by_name.begin(), this->by_name.end(), [&](const auto& item) {
        return !this->down.contains(item.first) && holds(item.second);
      }));
}

int FleetLinks::CountBefore(std::uint64_t place) const {
  return this->CountLive([place](const FleetPeer& peer) {
    return !peer.leaving && Place(peer.identity.instance) < place;
  });
}

int FleetLinks::live_peer_count() const {
  return this->CountLive([](const FleetPeer&) { return true; });
}

int FleetLinks::SenderRank(
    const FleetPeer& receiver,
    const std::function<bool(const FleetPeer&)>& knows) const {
  const std::uint64_t seed = ServerNumber(receiver.identity.address);
  const std::uint64_t own = HomeRank(seed, this->options.self.instance);
  return this->CountLive([&](const FleetPeer& peer) {
    return peer.identity.address != receiver.identity.address && knows(peer) &&
           HomeRank(seed, peer.identity.instance) > own;
  });
}

int FleetLinks::Rank() const {
  return this->CountBefore(Place(this->options.self.instance));
}

bool FleetLinks::RanksFirst(const std::string& instance) const {
  const std::uint64_t place = Place(instance);
  return Place(this->options.self.instance) >= place &&
         this->CountBefore(place) == 0;
}

std::set<std::string> FleetLinks::SilentDataCentres() const {
  std::set<std::string> silent;
  std::set<std::string> heard;
  for (const auto& [name, peer] : this->by_name) {
    const std::string& centre = peer.identity.data_centre;
    if (!this->down.contains(name)) {
      heard.insert(centre);
    } else if (!peer.leaving && !this->Refused(peer.identity.address)) {
      silent.insert(centre);
    }
  }
  for (const std::string& centre : heard) {
    silent.erase(centre);
  }
  silent.erase(this->options.self.data_centre);
  return silent;
}

}  // namespace rosemarycove
