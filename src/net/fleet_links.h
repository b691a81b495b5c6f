// Exchanges reports with all other instances of a deployment.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/fleet_report.h"
#include "core/types.h"

namespace rosemarycove {

// The configuration of the links.
struct FleetLinksOptions {
  InstanceIdentity self;
  // Addresses where other instances may run; this instance's own address is
  // ignored.
  std::vector<std::string> seeds;
};

// Another instance that has sent a report.
struct FleetPeer {
  InstanceIdentity identity;
  TimePoint last_report_at;
  // The peer is draining and will exit.
  bool is_draining = false;
  std::uint64_t configuration_revision = 0;
  std::uint64_t directory_revision = 0;
  // When the peer's copy of the directory was read from the store.
  TimePoint directory_read_at;
};

// The status of a peer, derived from its reports and from this instance's
// connection to it.
enum class PeerStatus : std::uint8_t {
  kUp,      // It sent its first report, or the first one after a silence.
  kGone,    // Its process ended: connections to it are refused or reset.
  kSilent,  // Its reports stopped and no connection was refused or reset: the
            // network may have cut it off.
};

// Returns the lower-case word that the log contains.
std::string_view ToString(PeerStatus status);

// Makes the reports that are sent and handles those that are received. All
// calls come from the event loop.
class FleetReportHandler {
 public:
  virtual ~FleetReportHandler() = default;
  // Makes the part of a report that is the same for all peers, once per round.
  virtual FleetReport MakeReport() = 0;
  // Adds the documents that `peer` is missing. Before the peer's first report
  // only its address is set.
  virtual void AddMissingDocuments(const FleetPeer& peer,
                                   FleetReport& report) = 0;
  virtual void OnReport(const FleetPeer& peer, const FleetReport& report) = 0;
  virtual void OnPeerStatusChange(const FleetPeer& peer, PeerStatus status) = 0;
};

// Connects to every other instance and sends reports there; receives reports on
// the connections that the others open. Each connection carries data in one
// direction only, so requests and responses need no matching, and a network cut
// in one direction shows as silence in that direction. Used on the event loop.
class FleetLinks {
 public:
  FleetLinks(boost::asio::io_context& io, FleetLinksOptions options,
             FleetReportHandler& handler);
  ~FleetLinks();
  FleetLinks(const FleetLinks&) = delete;
  FleetLinks& operator=(const FleetLinks&) = delete;

  // Binds the listener and starts to connect; returns the error, if any.
  std::optional<std::string> Start();
  // Sends the reports that are due and detects silent peers.
  void Tick(TimePoint now);
  // Makes the next tick send a report to all peers, even before the interval
  // has passed.
  void SendReportSoon() { this->report_requested = true; }

  // The number of peers that are neither gone nor silent.
  [[nodiscard]] int live_peer_count() const;
  // This instance's rank among the live instances that could send a document
  // to `receiver`: the number of live peers that satisfy `has_document` and
  // precede this instance. The order differs between receivers, so that the
  // work is spread over all instances.
  [[nodiscard]] int SenderRank(
      const FleetPeer& receiver,
      const std::function<bool(const FleetPeer&)>& has_document) const;
  // This instance's rank among the live instances; 0 is the first.
  [[nodiscard]] int Rank() const;
  // Whether this peer precedes all other live instances.
  [[nodiscard]] bool RanksFirst(const std::string& instance) const;
  // The other data centres that have a silent instance and no live one.
  [[nodiscard]] std::set<std::string> SilentDataCentres() const;
  // The interval between two reports to the same peer.
  [[nodiscard]] Duration ReportInterval() const;
  [[nodiscard]] const std::map<std::string, FleetPeer>& peers() const {
    return this->peers_by_name;
  }
  [[nodiscard]] std::uint64_t bytes_sent() const { return this->sent_bytes; }
  [[nodiscard]] int port() const;

 private:
  class Sender;
  class Receiver;

  void AddAddress(const std::string& address);
  void HandleReport(const InstanceIdentity& sender, const FleetReport& report);
  void RemoveExpired(TimePoint now);
  void DetectSilentPeers(TimePoint now);
  // Completes the common report of this round for one receiver.
  [[nodiscard]] FleetReport CompleteReport(const std::string& address,
                                           FleetReport report);
  // The number of live peers that satisfy `predicate`.
  [[nodiscard]] int CountLive(
      const std::function<bool(const FleetPeer&)>& predicate) const;
  // The number of live peers that aren't leaving and whose rank hash is lower.
  [[nodiscard]] int CountRankedBelow(std::uint64_t rank_hash) const;
  // Whether the process at this address is known to have ended.
  [[nodiscard]] bool HasEnded(const std::string& address) const;

  boost::asio::io_context& io;
  FleetLinksOptions options;
  FleetReportHandler& handler;
  boost::asio::ip::tcp::acceptor acceptor;
  // By address.
  std::map<std::string, std::shared_ptr<Sender>> senders;
  std::map<std::string, FleetPeer> peers_by_name;
  // Names of the peers whose last reported status is kGone or kSilent.
  std::set<std::string> down_peers;
  // Connections that other instances opened. The destructor stops those that
  // still exist.
  std::list<std::weak_ptr<Receiver>> receivers;
  bool report_requested = false;
  TimePoint last_round_at;
  std::uint64_t rounds = 0;
  std::uint64_t sent_bytes = 0;
};

}  // namespace rosemarycove
