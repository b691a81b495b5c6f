// Keeps requests that crash backend servers away from them. Used by the proxy
// (src/proxy).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/seeded_hash.h"
#include "core/types.h"

namespace rosemarycove {

// A server's connection ended while it began to run a request.
struct ServerCrash {
  // Identifies the attempt that failed, at all instances and for all suspects.
  // The upper half identifies the instance that saw it.
  std::uint64_t id = 0;
  // IdHash of the server's id.
  std::uint64_t server_hash = 0;
  // Index of the suspect among those of the request.
  int position = 0;
  // Time from the send to the crash.
  Duration running{};
  // Time since the crash.
  Duration age{};
};

// What in a request may crash servers.
struct RequestSuspects {
  // The request without its prompt, and with it; see RequestHash. 0 if unknown.
  std::uint64_t content_hash = 0;
  std::uint64_t request_hash = 0;
  // The ids of the shared parts of its prompt, in their order.
  std::vector<std::uint64_t> parts;

  // All ids, from the least to the most specific, but for the request itself,
  // which comes before the parts: see RequestQuarantine.
  [[nodiscard]] std::vector<std::uint64_t> Ids() const;
};

// What an instance knows of a suspect, for fleet reports.
struct SuspectCrashes {
  std::uint64_t suspect = 0;
  // Time since a server last survived a request with the suspect; nullopt if
  // none is known to have done so.
  std::optional<Duration> survival_age;
  std::vector<ServerCrash> crashes;
};

// The state of a suspect changed.
struct QuarantineChange {
  enum class Kind : std::uint8_t {
    kQuarantined,
    kTrial,  // A request is sent to test whether it still crashes
             // servers.
    kReleased,
  };

  std::uint64_t suspect = 0;
  Kind kind = Kind::kQuarantined;
  // The number of crashes that count against the suspect.
  int crashes = 0;
  // Time to the end of the quarantine; zero unless it is quarantined.
  Duration remaining{};
};

// Returns the word that logs use.
std::string_view ToString(QuarantineChange::Kind kind);

// A suspect because of which a request is not sent.
struct QuarantinedSuspect {
  std::uint64_t suspect = 0;
  // Time until a request with the suspect may be sent.
  Duration remaining{};
};

// Finds what in requests crashes servers ("queries of death") and quarantines
// it: requests with it are not sent.
//
// A request's suspects are ids of what it has in common with others: parts of
// its prompt that it shares, and itself, since a request may come again.
//
// A crash of a server that had just begun to run a request counts against the
// request's suspects, except for those that a server survived shortly before or
// later: sound requests may have all suspects but the one that crashes servers.
// A suspect is quarantined after a few crashes of different servers that have
// no other cause in common: they happened at different moments, or one request
// was sent after another one had crashed a server. Among the suspects of
// the same requests, the most specific one is quarantined first and explains
// their crashes. The instances report suspects to each other, so a few crashes
// in the whole fleet suffice, and an instance that starts learns of all
// quarantines.
//
// A quarantine ends after a time that doubles with each crash. Then the
// instances, in the order of their ranks, send one request at a time. If a
// server survives it, the suspect is released.
//
// Each gateway instance owns one and uses it on its event loop.
class RequestQuarantine {
 public:
  // `seed` differs between instances and between restarts of an instance.
  explicit RequestQuarantine(std::uint64_t seed) : next_crash_id(seed << 32U) {}

  // Records that a server survived a request with these suspects: it sent the
  // complete response, or events for a while.
  void RecordSurvival(const RequestSuspects& suspects, TimePoint now);
  // Records that the server's connection ended when it began to run a request
  // with these suspects, which was sent at `sent_at`.
  void RecordCrash(const std::string& server, const RequestSuspects& suspects,
                   TimePoint sent_at, TimePoint now);
  // Returns the suspect because of which a request must not be sent now;
  // nullopt if there is none.
  [[nodiscard]] std::optional<QuarantinedSuspect> FindQuarantined(
      const RequestSuspects& suspects, TimePoint now) const;
  // Records that a request with these suspects is sent. Returns whether that
  // makes it the trial of one that is quarantined.
  bool RecordSend(const RequestSuspects& suspects, TimePoint now);

  // Sets this instance's rank among all; 0 sends the first trial. Without a
  // rank, it sends none.
  void SetTrialRank(int rank) { this->trial_rank = rank; }
  // Returns the records for an instance that knows nothing yet: what this one
  // has seen itself, and what others have confirmed.
  [[nodiscard]] std::vector<SuspectCrashes> Records(TimePoint now) const;
  // Returns what this instance has seen itself since the change `told`, as far
  // as it fits into a report, and sets `told` to the last change returned.
  [[nodiscard]] std::vector<SuspectCrashes> RecordsSince(std::uint64_t& told,
                                                         TimePoint now) const;
  // Returns the number of the last change that this instance has seen itself.
  [[nodiscard]] std::uint64_t last_change() const { return this->change_count; }
  // Merges the records that another instance reported.
  void Merge(const std::vector<SuspectCrashes>& records, TimePoint now);
  // Drops expired records; called periodically.
  void Tick(TimePoint now);
  // Returns the changes since the last call.
  std::vector<QuarantineChange> TakeChanges() {
    return std::exchange(this->changes, {});
  }
  [[nodiscard]] int quarantined_count() const;

 private:
  struct Crash {
    std::uint64_t id = 0;
    std::uint64_t server_hash = 0;
    int position = 0;
    Duration running{};
    // See RecordsSince; 0 if another instance saw the crash.
    std::uint64_t change = 0;
    TimePoint at;
  };
  struct Suspect {
    // In the order of their times, without those that a survival excuses.
    std::vector<Crash> crashes;
    // A survival that excused crashes is reported until then.
    TimePoint report_survival_until;
    // See RecordsSince; 0 if no survival that this instance knew first excused
    // crashes.
    std::uint64_t survival_change = 0;
    TimePoint last_trial_at;
    // The number of crashes that no other suspect explains.
    int unexplained_crashes = 0;
    // When trials begin; nullopt if it is not quarantined.
    std::optional<TimePoint> quarantined_until;
  };

  // Returns whether a survival at `survived_at` shows that the suspect did not
  // cause a crash at `crashed_at`.
  [[nodiscard]] static bool IsExcused(TimePoint crashed_at,
                                      TimePoint survived_at);
  [[nodiscard]] bool WasSurvivedLately(std::uint64_t id, TimePoint now) const;
  // Adds the crash unless it is known; returns whether it is new.
  static bool AddCrash(Suspect& suspect, const Crash& crash);
  // Removes the crashes that the suspect's last survival excuses; returns
  // whether there were any.
  bool RemoveExcused(std::uint64_t id, Suspect& suspect, TimePoint now);
  void StoreSurvival(std::uint64_t id, TimePoint survived_at);
  // Returns the record of the suspect. Makes room for a new one if necessary.
  Suspect& FindOrAdd(std::uint64_t id);
  // Returns the suspects that have enough crashes to be quarantined, unless
  // more specific ones explain them.
  [[nodiscard]] std::set<std::uint64_t> SufficientSuspects() const;
  // Decides which suspects are quarantined, after their crashes changed.
  void Reassess(TimePoint now);
  void SetQuarantine(std::uint64_t id, Suspect& suspect,
                     std::optional<TimePoint> until, TimePoint now);
  // Returns the quarantined suspect's record; nullptr if it is not quarantined.
  [[nodiscard]] const Suspect* FindQuarantinedSuspect(std::uint64_t id) const;

  [[nodiscard]] static ServerCrash ToReport(const Crash& crash, TimePoint now);
  // Returns the time since a server last survived the suspect, for a report.
  [[nodiscard]] std::optional<Duration> SurvivalAge(std::uint64_t id,
                                                    TimePoint now) const;

  // Counts the changes that this instance has seen itself.
  std::uint64_t change_count = 0;
  // The id of the next crash.
  std::uint64_t next_crash_id;
  // By suspect id.
  std::map<std::uint64_t, Suspect> suspects;
  // When a server last survived each suspect, by id.
  std::unordered_map<std::uint64_t, TimePoint, SeededHash> survivals;
  // The ids in `survivals`, for eviction of the oldest.
  std::deque<std::uint64_t> survival_order;
  std::optional<int> trial_rank;
  std::vector<QuarantineChange> changes;
};

}  // namespace rosemarycove
