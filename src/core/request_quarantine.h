// Keeps requests whose prompts crash backend servers away from them. Used by
// the proxy (src/proxy).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/prompt_cache_map.h"
#include "core/types.h"

namespace rosemarycove {

// A server's connection ended before the first event of a request.
struct ServerCrash {
  // Identifies the request that failed, at all instances and for all its parts.
  std::uint64_t id = 0;
  // IdHash of the server's id.
  std::uint64_t server_hash = 0;
  // Index of the part in the request's prompt.
  int position = 0;
  // Time since the crash.
  Duration age{};
};

// What an instance knows of a suspected part, for fleet reports.
struct SuspectCrashes {
  std::uint64_t part = 0;
  // Time since a server last survived a request with the part; nullopt if none
  // is known to have done so.
  std::optional<Duration> survival_age;
  std::vector<ServerCrash> crashes;
};

// The state of a suspected part changed.
struct QuarantineChange {
  enum class Kind : std::uint8_t {
    kQuarantined,
    kTrial,  // A request is sent to test whether the part still crashes
             // servers.
    kReleased,
  };

  std::uint64_t part = 0;
  Kind kind = Kind::kQuarantined;
  // The number of crashes that count against the part.
  int crashes = 0;
  // Time to the end of the quarantine; zero unless it is quarantined.
  Duration remaining{};
};

// Returns the word that logs use.
std::string_view ToString(QuarantineChange::Kind kind);

// A part because of which a request is not sent.
struct QuarantinedSuspect {
  std::uint64_t part = 0;
  // Time until a request with the part may be sent.
  Duration remaining{};
};

// Finds the parts of prompts that crash servers ("queries of death") and
// quarantines them: requests with such a part are not sent.
//
// A crash with a request that has no event yet counts against the request's
// shared parts, except for those that a server survived shortly before or
// later: sound requests may have all parts but the one that crashes servers. A
// part is quarantined after a few crashes of different servers at different
// moments. Among the parts of the same requests, the most specific one, which
// comes last, is quarantined first and explains their crashes. The instances
// report suspected parts to each other, so a few crashes in the whole fleet
// suffice, and an instance that starts learns of all quarantines.
//
// A quarantine ends after a time that doubles with each crash. Then the
// instance that leads the trials sends one request at a time. If a server
// survives it, the part is released.
//
// Each gateway instance owns one and uses it on its event loop.
class RequestQuarantine {
 public:
  // `seed` differs between instances and between restarts of an instance.
  explicit RequestQuarantine(std::uint64_t seed) : random(seed) {}

  // Records that a server survived a request with these shared parts: it sent
  // the first event and went on.
  void RecordSurvival(std::span<const PromptPart> parts, TimePoint now);
  // Records that the server's connection ended before the first event of a
  // request with these shared parts.
  void RecordCrash(const std::string& server, std::span<const PromptPart> parts,
                   TimePoint now);
  // Returns the part because of which a request with these shared parts must
  // not be sent now; nullopt if there is none.
  [[nodiscard]] std::optional<QuarantinedSuspect> FindQuarantined(
      std::span<const PromptPart> parts, TimePoint now) const;
  // Records that a request with these shared parts is sent, which makes it the
  // trial of those that are quarantined.
  void RecordSend(std::span<const PromptPart> parts, TimePoint now);

  // Sets whether this instance leads the trials.
  void SetLeadsTrials(bool leads) { this->leads_trials = leads; }
  // Returns the records for a fleet report.
  [[nodiscard]] std::vector<SuspectCrashes> Records(TimePoint now) const;
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
    TimePoint at;
  };
  struct Suspect {
    // In the order of their times, without those that a survival excuses.
    std::vector<Crash> crashes;
    // A survival that excused crashes is reported until then.
    TimePoint report_survival_until;
    TimePoint last_trial_at;
    // The number of crashes that no other part explains.
    int unexplained_crashes = 0;
    // When trials begin; nullopt if the part is not quarantined.
    std::optional<TimePoint> quarantined_until;
  };

  // Returns whether a survival at `survived_at` shows that the part did not
  // cause a crash at `crashed_at`.
  [[nodiscard]] static bool IsExcused(TimePoint crashed_at,
                                      TimePoint survived_at);
  [[nodiscard]] bool WasSurvivedLately(std::uint64_t part, TimePoint now) const;
  // Adds the crash unless it is known; returns whether it is new.
  static bool AddCrash(Suspect& suspect, const Crash& crash);
  // Removes the crashes that the part's last survival excuses; returns whether
  // there were any.
  bool RemoveExcused(std::uint64_t part, Suspect& suspect, TimePoint now);
  void StoreSurvival(std::uint64_t part, TimePoint survived_at);
  // Returns the record of the part. Makes room for a new one if necessary.
  Suspect& FindOrAdd(std::uint64_t part);
  // Decides which parts are quarantined, after their crashes changed.
  void Reassess(TimePoint now);
  void SetQuarantine(std::uint64_t part, Suspect& suspect,
                     std::optional<TimePoint> until, TimePoint now);
  // Returns the quarantined part's record; nullptr if it is not quarantined.
  [[nodiscard]] const Suspect* FindQuarantinedSuspect(std::uint64_t part) const;

  // Makes the ids of crashes.
  std::mt19937_64 random;
  // By part id.
  std::map<std::uint64_t, Suspect> suspects;
  // When a server last survived each part, by part id.
  std::unordered_map<std::uint64_t, TimePoint> survivals;
  // The part ids in `survivals`, for eviction of the oldest.
  std::deque<std::uint64_t> survival_order;
  bool leads_trials = false;
  std::vector<QuarantineChange> changes;
};

}  // namespace rosemarycove
