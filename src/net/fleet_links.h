// Exchanges reports between the gateways of all instances of a deployment.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/fleet_report.h"
#include "core/relay_throttle.h"
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
  // The peer is shutting down: it completes its requests and exits.
  bool is_draining = false;
  std::uint64_t configuration_revision = 0;
  // 0 if the peer has no configuration, or runs a release that doesn't send it.
  std::uint64_t configuration_version = 0;
  std::uint64_t directory_revision = 0;
  // See FleetReport.
  std::uint64_t configuration_hash = 0;
  bool takes_configuration_updates = false;
  std::uint32_t known_peer_count = 0;
  std::vector<std::uint64_t> unreachable_services;
  // When the peer's copy of the directory was read from the store.
  TimePoint directory_read_at;
};

// The status of a peer, derived from its reports and from this instance's
// connection to it.
enum class PeerStatus : std::uint8_t {
  kUp,      // Its reports arrive again, or come from an address that was not
            // known before.
  kGone,    // Its reports stopped and its process has ended: connections to it
            // are refused, reset or closed.
  kSilent,  // Its reports stopped, but connections show no end of its process:
            // the network may be partitioned.
};

// Returns the word that logs use.
std::string_view ToString(PeerStatus status);

// Returns the key by which instances are ranked for work that one of them does
// for all, the lowest first. The key is a hash, so that the instances of one
// data centre, which tend to fail together, are not adjacent in the order.
std::uint64_t RankHash(const std::string& instance);

// Returns whether `first` precedes `second` among those that read from the
// store what all need.
bool PrecedesAsReader(const InstanceIdentity& first,
                      const InstanceIdentity& second);

// Makes the reports that are sent, and handles received reports and changes of
// the peers' status. Called on the event loop's thread only.
class FleetReportHandler {
 public:
  virtual ~FleetReportHandler() = default;
  // Makes the part of a report that is the same for all peers, once per round.
  virtual FleetReport MakeReport() = 0;
  // Adds what `peer` is missing. `peer` has only its address until its first
  // report. `report` has an identity if it is the first one on its connection.
  virtual void AddMissingDocuments(const FleetPeer& peer,
                                   FleetReport& report) = 0;
  // The current report was sent to all peers that can receive it.
  virtual void OnRoundSent() = 0;
  virtual void OnReport(const FleetPeer& peer, const FleetReport& report) = 0;
  virtual void OnPeerStatusChange(const FleetPeer& peer, PeerStatus status) = 0;
};

// Connects to every other instance and sends reports there; receives reports on
// the connections that the others open. Each connection carries data in one
// direction only, so no message has to be matched with a reply, and a network
// partition in one direction shows as silence in that direction. Used on the
// event loop's thread only.
//
// FleetLinks carries the state that the gateway's data path shares between
// instances. The messages of the Nodes' slot protocol are sent over PeerLinks.
class FleetLinks {
 public:
  FleetLinks(boost::asio::io_context& io, FleetLinksOptions options,
             FleetReportHandler& handler);
  ~FleetLinks();
  FleetLinks(const FleetLinks&) = delete;
  FleetLinks& operator=(const FleetLinks&) = delete;

  // Binds the listener and starts to connect. Returns an error message, or
  // nullopt on success.
  std::optional<std::string> Start();
  // Sets the address where this instance accepts relayed requests, before
  // Start.
  void set_relay_address(std::string address) {
    this->options.self.relay_address = std::move(address);
  }
  // Sends the reports that are due and detects silent peers.
  void Tick(TimePoint now);
  // Makes the next tick send a report to all peers, even before the interval
  // has passed.
  void ScheduleReport() { this->report_scheduled = true; }
  // Sends this report now, beside the regular ones. Returns false if it can't
  // be sent to that address yet.
  bool SendTo(const std::string& address, const FleetReport& report);

  // Returns the number of peers that are neither gone nor silent.
  [[nodiscard]] int live_peer_count() const;
  // Returns this instance's rank among the live instances that could send a
  // document to `receiver`: the number of live peers that satisfy
  // `has_document` and precede this instance. The order differs between
  // receivers, so that the work is spread over all instances.
  [[nodiscard]] int SenderRank(
      const FleetPeer& receiver,
      const std::function<bool(const FleetPeer&)>& has_document) const;
  // Returns this instance's rank among the live instances, in the order of the
  // hashes of their names; 0 is the first. Draining peers are not ranked.
  [[nodiscard]] int Rank() const;
  // Returns this instance's rank among the live instances for reading from the
  // store what all need: those with the fastest links come first, then the
  // order is the same.
  [[nodiscard]] int ReaderRank() const;
  // Returns an instance's rank in that order among the live instances of its
  // data centre.
  [[nodiscard]] int ReaderRankInDataCentre(
      const InstanceIdentity& instance) const;
  [[nodiscard]] const InstanceIdentity& self() const {
    return this->options.self;
  }
  // Returns whether this peer precedes all other ranked instances.
  [[nodiscard]] bool RanksFirst(const std::string& instance) const;
  // Returns the names of the peers that may send requests to backend servers:
  // all but those that are draining or whose processes have ended.
  [[nodiscard]] std::vector<std::string> SendingPeers() const;
  // Returns the peers that are neither gone nor silent, nor draining.
  [[nodiscard]] std::vector<const FleetPeer*> ServingPeers() const;
  // Returns whether all of these report.
  [[nodiscard]] bool HearsAllPeers() const;
  // Returns the earliest of the last reports of these; nullopt if there are
  // none, if one has a later directory than `directory_revision`, or if some
  // may be unknown, since silent peers were removed.
  [[nodiscard]] std::optional<TimePoint> EarliestLastReport(
      std::uint64_t directory_revision, TimePoint now) const;
  // Returns the other data centres that have a silent instance and no live one.
  // Instances that were draining or whose processes have ended don't count as
  // silent.
  [[nodiscard]] std::set<std::string> SilentDataCentres() const;
  // Returns the interval between two reports to the same peer.
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
  // Removes peers that stopped reporting, addresses without a connection and
  // closed receivers.
  void RemoveExpired(TimePoint now);
  void DetectSilentPeers(TimePoint now);
  // Completes the common report of this round for one receiver.
  [[nodiscard]] FleetReport CompleteReport(const std::string& address,
                                           FleetReport report, TimePoint now);
  // Returns whether this instance tells the receiver the addresses of the other
  // instances now. Only few tell each receiver: if all did, the lists would
  // have as many addresses as the cube of the fleet's size.
  [[nodiscard]] bool ShouldTellAddresses(const FleetPeer& receiver,
                                         bool is_first_report, TimePoint now);
  // Returns the number of live peers that satisfy `predicate`.
  [[nodiscard]] int CountLive(
      const std::function<bool(const FleetPeer&)>& predicate) const;
  // Returns the number of live peers that are not draining and whose rank hash
  // is lower.
  [[nodiscard]] int CountRankedBelow(std::uint64_t rank_hash) const;
  // Returns whether the peer may send requests to backend servers.
  [[nodiscard]] bool MaySendRequests(const std::string& name,
                                     const FleetPeer& peer) const;
  // Returns whether the process at this address is known to have ended.
  [[nodiscard]] bool HasEnded(const std::string& address) const;

  boost::asio::io_context& io;
  FleetLinksOptions options;
  FleetReportHandler& handler;
  boost::asio::ip::tcp::acceptor acceptor;
  // Connections to the other instances, by address.
  std::map<std::string, std::shared_ptr<Sender>> senders;
  // By the name of the instance.
  std::map<std::string, FleetPeer> peers_by_name;
  // Names of the peers whose last reported status is kGone or kSilent.
  std::set<std::string> down_peers;
  // When a peer was last removed that was silent.
  std::optional<TimePoint> silent_removed_at;
  // Connections that other instances opened. Their pending operations own them;
  // the destructor stops those that still exist.
  std::list<std::weak_ptr<Receiver>> receivers;
  // Limits who tells addresses to a peer that knows fewer than this instance.
  RelayThrottle address_throttle;
  // The next tick sends a report to all peers.
  bool report_scheduled = false;
  TimePoint last_round_at;
  // The number of rounds in which reports were sent to all peers.
  std::uint64_t rounds = 0;
  std::uint64_t sent_bytes = 0;
};

}  // namespace rosemarycove
