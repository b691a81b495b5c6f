// Keeps the rejections of brittle servers few: of those that fall over if they
// have to reject many requests within a second. Used by the proxy (src/proxy).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/backend_directory.h"
#include "core/load_ledger.h"
#include "core/types.h"

namespace rosemarycove {

// What a server says of the rejections that it tolerates changed.
struct BrittlenessChange {
  // See LifetimeHash.
  std::uint64_t server_hash = 0;
  // Rejections within a second, of requests of all instances; nullopt if the
  // server is not brittle any more.
  std::optional<int> tolerated;
  std::optional<int> previous;
  // The instance that reported it; empty if a response said it here.
  std::string from;
  // Time since the request was sent whose response said it.
  Duration age{};
};

// What an instance tells the others about a brittle server, for fleet reports.
struct BrittlenessReport {
  // See LifetimeHash.
  std::uint64_t server_hash = 0;
  // As in BrittlenessChange.
  std::optional<int> tolerated;
  Duration age{};
  // Requests of the sender that the server rejected within the last second.
  int rejected = 0;
  // The requests for which the sender believes the server to have room.
  int room = 0;
};

// Divides the slots of each brittle server between the instances: each request
// beyond its own part may find that others have taken the slot. The parts are
// the same at every instance, so their sum holds while instances don't hear of
// each other's requests. What is not in use, others borrow. A lender may find
// its slot borrowed, so a server's borrowed slots are no more than a share of
// the rejections that it tolerates, and nothing is borrowed while some instance
// is silent.
//
// The servers of a service are alike: while some are brittle, so is one that
// has not answered yet. Brittleness ends when a response doesn't say it, and
// with the server's lifetime. Each gateway instance owns one and uses it on its
// event loop.
class BrittleServers {
 public:
  explicit BrittleServers(std::string instance)
      : instance(std::move(instance)) {}

  // Sets the other instances that may send to the servers, and the longest time
  // between the reports of an instance. `hears_all`: all of them report.
  void SetFleet(std::vector<std::string> peers, bool hears_all,
                Duration report_interval);
  // Finds the servers of brittle services and drops those that are gone. Called
  // periodically with the servers by id.
  void Tick(const std::map<std::string, RegisteredServer>& registered,
            TimePoint now);

  // Records what a response says; nullopt if it doesn't say that the server is
  // brittle. `sent_at` is the time at which its request was sent: of two
  // responses, the one to the later request decides.
  void Observe(const RegisteredServer& server, std::optional<int> tolerated,
               TimePoint sent_at, TimePoint now);
  void RecordSend(const RegisteredServer& server, TimePoint now);
  void RecordAnswer(const RegisteredServer& server);
  // Records that the server rejected a request, sent when it was known to have
  // `running` others.
  void RecordRejection(const RegisteredServer& server, int running,
                       TimePoint now);
  // Records that a connection to the server failed or was lost.
  void RecordLoss(const RegisteredServer& server, TimePoint now);

  [[nodiscard]] bool empty() const { return this->states.empty(); }
  [[nodiscard]] bool IsBrittle(const RegisteredServer& server) const;
  // Returns whether the server, if it is brittle, has room for a request of
  // this instance. `running` is its known load.
  [[nodiscard]] bool HasRoom(const RegisteredServer& server, int running,
                             const LoadLedger& ledger, TimePoint now) const;

  // Returns the entries for a report. `whole`: also those that the receiver
  // knows unless it has just connected.
  [[nodiscard]] std::vector<BrittlenessReport> Reports(bool whole,
                                                       TimePoint now) const;
  // Records that a report is sent to all peers.
  void RecordReportSent();
  // Merges what the peer reports; its rejections replace those that it reported
  // before.
  void Merge(const std::string& peer,
             const std::vector<BrittlenessReport>& reports, TimePoint now);
  // Returns whether the peers should receive a report before the next one is
  // due.
  [[nodiscard]] bool HasUrgentReport() const {
    return !this->untold_servers.empty();
  }

  // Returns the changes since the last call.
  std::vector<BrittlenessChange> TakeChanges() {
    return std::exchange(this->changes, {});
  }
  // The number of servers that said that they are brittle.
  [[nodiscard]] int brittle_count() const;

 private:
  // What is known of one lifetime of a server.
  struct State {
    // Unset until a response said something, here or elsewhere.
    std::optional<TimePoint> observed_at;
    // As in BrittlenessChange, as the server said it.
    std::optional<int> tolerated;
    // The same, assumed from other servers until the server says it itself.
    std::optional<int> assumed;
    TimePoint last_heard_at;
    int slots = 0;
    // The instances by name, in the order in which they get what is left when
    // the slots are divided.
    std::unordered_map<std::string, int> ranks;
    TimePoint last_sent_at;
    // Within the last second.
    std::vector<TimePoint> rejections;
    // After a rejection, nothing is sent until this time.
    TimePoint resumes_at;
    // Grows with the rejections since the last answer.
    Duration retreat{};
    // The requests that the server is believed to have had room for at
    // `room_learnt_at`; all slots if nothing was rejected.
    std::optional<double> learnt_room;
    // The share of the slots by which it grows per second.
    double room_growth = 0;
    TimePoint room_learnt_at;

    [[nodiscard]] std::optional<int> Tolerated() const {
      return this->observed_at ? this->tolerated : this->assumed;
    }
  };
  struct PeerRejections {
    // By server hash.
    std::map<std::uint64_t, int> counts;
    TimePoint received_at;
  };

  [[nodiscard]] const State* FindBrittle(const RegisteredServer& server) const;
  [[nodiscard]] State* FindBrittle(const RegisteredServer& server);
  // Adopts what a server said and records the change; returns whether it is
  // new.
  bool Adopt(std::uint64_t server_hash, State& state,
             std::optional<int> tolerated, TimePoint observed_at,
             const std::string& from, TimePoint now);
  void UpdateRanks(std::uint64_t server_hash, State& state) const;
  // Returns the slots of an instance.
  [[nodiscard]] static int PartOf(const State& state,
                                  const std::string& instance, TimePoint now);
  // Returns whether this instance may use a slot beyond its own part.
  [[nodiscard]] bool MayBorrow(const RegisteredServer& server,
                               const State& state, const LoadLedger& ledger,
                               TimePoint now) const;
  // The requests that instances have at the server beyond their parts.
  [[nodiscard]] int Borrowed(const RegisteredServer& server, const State& state,
                             const LoadLedger& ledger, TimePoint now) const;
  [[nodiscard]] bool HasRejected(std::uint64_t server_hash, const State& state,
                                 TimePoint now) const;
  // Lowers the believed room, if it was larger.
  static void LowerRoom(State& state, double room, double growth,
                        TimePoint now);
  [[nodiscard]] static double RoomAt(const State& state, TimePoint now);
  [[nodiscard]] static int CountRejections(const State& state, TimePoint now);

  std::string instance;
  std::vector<std::string> peers;
  bool hears_all = true;
  Duration report_interval = std::chrono::milliseconds(100);
  // By LifetimeHash.
  std::map<std::uint64_t, State> states;
  // The rejections that brittle servers of a service tolerate, by its name.
  std::map<std::string, int> brittle_services;
  // By instance name.
  std::map<std::string, PeerRejections> peer_rejections;
  // Servers of which the other instances must learn, by LifetimeHash.
  std::set<std::uint64_t> untold_servers;
  std::vector<BrittlenessChange> changes;
};

}  // namespace rosemarycove
