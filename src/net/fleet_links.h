// Carries reports between all instances of a deployment.
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

// How the links are set up.
struct FleetLinksOptions {
  FleetIdentity self;
  // Addresses of instances that may be there; this instance's own is ignored.
  std::vector<std::string> seeds;
};

// An instance that was heard of.
struct FleetPeer {
  FleetIdentity identity;
  TimePoint last_report_at;
  bool leaving = false;
  std::uint64_t configuration_revision = 0;
  std::uint64_t directory_revision = 0;
  // When its directory was read from the store.
  TimePoint directory_read_at;
};

// What became of a peer, as its links tell.
enum class PeerStatus : std::uint8_t {
  kUp,      // Its first report, or one after a silence.
  kGone,    // Its process ended: connections to it are refused or reset.
  kSilent,  // Nothing is heard and nothing refuses: it may be cut off.
};

// Returns the lower-case word that logs use.
std::string_view ToString(PeerStatus news);

// Makes reports and takes those of others; called on the event loop.
class FleetHost {
 public:
  virtual ~FleetHost() = default;
  // What all peers are told; made once for a round of reports.
  virtual FleetReport MakeReport() = 0;
  // Adds what this peer, of which only the address may be known, lacks.
  virtual void AddMissingDocuments(const FleetPeer& peer,
                                   FleetReport& report) = 0;
  virtual void OnReport(const FleetPeer& peer, const FleetReport& report) = 0;
  virtual void OnPeerStatusChange(const FleetPeer& peer, PeerStatus news) = 0;
};

// Each instance connects to every other one and sends its reports there; what
// it hears comes over connections of the others. A connection that carries one
// way only needs no pairing of requests and answers, and a cut in one direction
// shows as silence in that direction.
class FleetLinks {
 public:
  FleetLinks(boost::asio::io_context& io, FleetLinksOptions options,
             FleetHost& host);
  ~FleetLinks();
  FleetLinks(const FleetLinks&) = delete;
  FleetLinks& operator=(const FleetLinks&) = delete;

  // Binds and begins; returns the fault, or nothing.
  std::optional<std::string> Start();
  // Sends what is due and notices silences.
  void Tick(TimePoint now);
  // Sends to all at the next tick, whenever the last report was.
  void RequestReport() { this->report_now = true; }

  // Instances heard of lately, this one not included.
  [[nodiscard]] int live_peer_count() const;
  // How many live peers that `knows` holds for come before this instance in
  // sending something to the receiver. All instances count alike.
  [[nodiscard]] int SenderRank(
      const FleetPeer& receiver,
      const std::function<bool(const FleetPeer&)>& knows) const;
  // This instance's place among the live ones; 0 is the first.
  [[nodiscard]] int Rank() const;
  // Whether this peer comes first among all that are live.
  [[nodiscard]] bool RanksFirst(const std::string& instance) const;
  // Data centres all of whose instances fell silent.
  [[nodiscard]] std::set<std::string> SilentDataCentres() const;
  // Pause between two reports to the same peer.
  [[nodiscard]] Duration ReportInterval() const;
  [[nodiscard]] const std::map<std::string, FleetPeer>& peers() const {
    return this->by_name;
  }
  [[nodiscard]] std::uint64_t bytes_sent() const { return this->sent_bytes; }
  [[nodiscard]] int port() const;

 private:
  class Sender;
  class Receiver;

  void AddAddress(const std::string& address);
  void Take(const FleetIdentity& sender, const FleetReport& report);
  void ForgetLongGone(TimePoint now);
  void NoteSilences(TimePoint now);
  // The report of this round as it is for this receiver.
  [[nodiscard]] FleetReport ReportFor(const std::string& address,
                                      FleetReport report);
  // Live peers for which this holds.
  [[nodiscard]] int CountLive(
      const std::function<bool(const FleetPeer&)>& holds) const;
  // Live peers that stay and come before this place.
  [[nodiscard]] int CountBefore(std::uint64_t place) const;
  // Whether the peer's process is known to have ended.
  [[nodiscard]] bool Refused(const std::string& address) const;

  boost::asio::io_context& io;
  FleetLinksOptions options;
  FleetHost& host;
  boost::asio::ip::tcp::acceptor acceptor;
  std::map<std::string, std::shared_ptr<Sender>> senders;
  std::map<std::string, FleetPeer> by_name;
  // Names of peers that were reported silent or gone.
  std::set<std::string> down;
  // Connections of others; told when the links go.
  std::list<std::weak_ptr<Receiver>> receivers;
  bool report_now = false;
  TimePoint last_round;
  std::uint64_t rounds = 0;
  std::uint64_t sent_bytes = 0;
};

}  // namespace rosemarycove
