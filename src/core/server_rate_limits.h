// Keeps the requests of all instances together within the rate limits that
// backend servers name. Used by the proxy (src/proxy).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// The limit that a server names to this instance changed, or a peer reported a
// change.
struct RateLimitChange {
  // See LifetimeHash.
  std::uint64_t server_hash = 0;
  // Requests per second from all instances together; nullopt if the server
  // names no limit any more.
  std::optional<double> per_second;
  std::optional<double> previous;
  // The instance that reported it; empty if a response named it here.
  std::string from;
  // Time since the request was sent whose response named it.
  Duration age{};
};

// What an instance tells the others about a limited server, for fleet reports.
struct RateLimitReport {
  // See LifetimeHash.
  std::uint64_t server_hash = 0;
  // Numbers the sender's own observations of the server; a new number means
  // that its responses name another limit than before. 0 if the sender only
  // knows the limit from others.
  std::uint32_t observation = 0;
  // The limit that the server named to the sender; nullopt if none.
  std::optional<double> per_second;
  // Time since the request was sent whose response named it.
  Duration age{};
  // Requests that the sender sent to the server within the last
  // ServerRateLimits::kWindow.
  int sent = 0;
  // The most urgent tier that the sender refused lately because of the limit;
  // nullopt if it refused none.
  std::optional<int> refused_tier;
};

// Identifies one lifetime of a server, so that a limit ends with a restart.
std::uint64_t LifetimeHash(const std::string& server,
                           std::uint64_t incarnation);

// Shares the rate that a server accepts between all instances.
//
// A few instances per server, the same ones at every instance, hold the right
// to send to it and have an equal part of the rate each. So the sum holds while
// instances cannot hear each other. What they leave unused, the others may use
// while they hear from all: one after the other, in the order of their ranks,
// each sends one request and reports it at once. All instances count what the
// others reported to have sent.
//
// The limit ends when a response names none, and with the server's lifetime.
// Each gateway instance owns one and uses it on its event loop.
class ServerRateLimits {
 public:
  // The limits hold for the requests in any span of this length.
  static constexpr Duration kWindow = std::chrono::seconds(4);

  explicit ServerRateLimits(std::string instance)
      : instance(std::move(instance)) {}

  // Sets the other instances that may send to the servers. `hears_all`: all of
  // them report.
  void SetFleet(std::vector<std::string> peers, bool hears_all, TimePoint now);
  // Observes what is left of the limits; called periodically.
  void Tick(TimePoint now);

  // Records the limit that a response names; nullopt if it names none.
  // `sent_at` is the time at which its request was sent: of two responses, the
  // one to the later request decides.
  void Observe(std::uint64_t server_hash, std::optional<double> per_second,
               TimePoint sent_at, TimePoint now);
  // Records that a request is sent to the server.
  void RecordSend(std::uint64_t server_hash, TimePoint now);
  // Records that a request was refused because all servers that could have
  // executed it are at a limit, this server among them.
  void RecordRefusal(std::uint64_t server_hash, int tier, TimePoint now);

  // Returns whether a request of the tier may be sent to the server now.
  [[nodiscard]] bool MaySend(std::uint64_t server_hash, int tier,
                             TimePoint now) const;
  [[nodiscard]] bool empty() const { return this->limits.empty(); }
  // Returns whether the server names a limit.
  [[nodiscard]] bool IsLimited(std::uint64_t server_hash) const;
  // Estimates the time until the limit has room for another request.
  [[nodiscard]] Duration TimeToRoom(std::uint64_t server_hash,
                                    TimePoint now) const;

  // Returns the entries for a report. `whole`: also those that the receiver
  // knows unless it has just connected.
  [[nodiscard]] std::vector<RateLimitReport> Reports(bool whole,
                                                     TimePoint now) const;
  // Records that a report is sent to all peers.
  void RecordReportSent();
  // Replaces what the peer reported before. `is_first`: it has just connected,
  // perhaps after a restart, and numbers its observations anew.
  void Merge(const std::string& peer,
             const std::vector<RateLimitReport>& reports, bool is_first,
             TimePoint now);
  // Returns whether the peers should receive a report before the next one is
  // due.
  [[nodiscard]] bool HasUrgentReport() const { return this->has_urgent_report; }

  // Drops the servers that are not registered any more, except for those heard
  // of lately: a registration may come back.
  void Expire(const std::set<std::uint64_t>& registered, TimePoint now);
  // Returns the changes since the last call.
  std::vector<RateLimitChange> TakeChanges() {
    return std::exchange(this->changes, {});
  }
  [[nodiscard]] int limited_count() const;

 private:
  // The limit of one server, and this instance's part of it.
  struct Limit {
    // Requests per second; nullopt if the server names no limit any more.
    std::optional<double> per_second;
    // When the request was sent whose response named it.
    TimePoint observed_at;
    TimePoint last_heard_at;
    // When this instance learned that the server is limited.
    TimePoint limited_since;
    // See RateLimitReport; 0 if no response here named a limit.
    std::uint32_t own_observation = 0;
    std::optional<double> own_per_second;
    TimePoint own_observed_at;
    TimePoint own_changed_at;
    // The times of this instance's sends within kWindow.
    std::deque<TimePoint> sends;
    std::optional<int> refused_tier;
    TimePoint refused_at;
    // Rank of this instance among all, by server; the first ones are holders.
    int rank = 0;
    bool is_holder = false;
    // Since when the holders have left room for others; nullopt if they don't.
    std::optional<TimePoint> unused_since;
    // The requests that a holder may send at `updated_at`; see TokensAt.
    double tokens = 0;
    TimePoint updated_at;
  };
  // What a peer reported.
  struct PeerReport {
    std::map<std::uint64_t, RateLimitReport> entries;
    TimePoint received_at;
  };

  [[nodiscard]] const Limit* FindLimited(std::uint64_t server_hash) const;
  // Adopts a limit and records the change.
  void Adopt(std::uint64_t server_hash, Limit& limit,
             std::optional<double> per_second, TimePoint observed_at,
             const std::string& from, TimePoint now);
  // Updates the rank of this instance, and whether it holds a part of the rate.
  void UpdateRank(std::uint64_t server_hash, Limit& limit, TimePoint now) const;
  // Returns the number of instances that hold a part of the rate.
  [[nodiscard]] int HolderCount(double per_second) const;
  // Returns the requests that this instance may send now as a holder.
  [[nodiscard]] double TokensAt(const Limit& limit, TimePoint now) const;
  // Returns whether what the holders leave unused suffices for a request.
  [[nodiscard]] bool MaySendUnheld(std::uint64_t server_hash,
                                   const Limit& limit, TimePoint now) const;
  // Returns whether a response here named the limit, or named none lately, so
  // that the others must learn of it.
  [[nodiscard]] static bool IsNews(const Limit& limit, bool whole,
                                   TimePoint now);
  // Returns the requests in the window that this instance knows of.
  [[nodiscard]] int SentInWindow(std::uint64_t server_hash, const Limit& limit,
                                 TimePoint now) const;
  [[nodiscard]] static int OwnSends(const Limit& limit, TimePoint now);
  // Returns whether some instance lately refused a request that is more urgent
  // than this tier.
  [[nodiscard]] bool WasMoreUrgentRefused(std::uint64_t server_hash,
                                          const Limit& limit, int tier,
                                          TimePoint now) const;

  std::string instance;
  std::vector<std::string> peers;
  bool hears_all = false;
  // By server hash.
  std::map<std::uint64_t, Limit> limits;
  // By instance name.
  std::map<std::string, PeerReport> peer_reports;
  // Servers to which this instance, not holding a part, sent a request since
  // its last report, by server hash.
  std::set<std::uint64_t> unreported_sends;
  bool has_urgent_report = false;
  std::vector<RateLimitChange> changes;
};

}  // namespace rosemarycove
