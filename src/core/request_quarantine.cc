#include "core/request_quarantine.h"

#include <algorithm>

#include "core/load_ledger.h"

namespace rosemarycove {
namespace {

// A suspect is quarantined after this many crashes of servers, at this many
// moments. Servers that crash at the same moment may have another cause in
// common, unless a request
// was sent to one after the crash of another.
constexpr std::size_t kMinCrashes = 3;
constexpr int kMinMoments = 2;
// Crashes closer to each other than this are at the same moment.
constexpr Duration kMomentLength = std::chrono::milliseconds(250);
// Crashes of one server closer to each other than this are the same crash, seen
// by several instances: a server takes seconds to start again.
constexpr Duration kMinRestartTime = std::chrono::seconds(1);
// A survival excuses the crashes up to this much later.
constexpr Duration kSurvivalMemory = std::chrono::seconds(20);
// The duration of a quarantine after kMinCrashes; it doubles with each further
// crash up to the maximum.
constexpr Duration kMinQuarantine = std::chrono::seconds(15);
constexpr Duration kMaxQuarantine = std::chrono::minutes(5);
// The time between two trials of a suspect, unless the first one had a result.
constexpr Duration kTrialInterval = std::chrono::seconds(10);
// An instance leaves this time to each that ranks before it: longer than a
// trial and the report of its result take.
constexpr Duration kTrialRankDelay = std::chrono::seconds(3);
// Crashes expire after this time, in which trials that fail keep enough of
// them.
constexpr Duration kCrashMemory = std::chrono::minutes(30);
// Crashes older than this are not accepted from other instances: the ages in
// reports lack the time that the report took, so instances that drop a crash at
// slightly different times could pass it back and forth forever.
constexpr Duration kMaxReportedAge = kCrashMemory - std::chrono::minutes(1);
// How long a survival that excused crashes is reported to the others.
constexpr Duration kSurvivalReportTime = std::chrono::seconds(10);
constexpr std::size_t kMaxCrashesPerSuspect = 16;
// Crashes and survivals in one report; the next ones have the rest.
constexpr std::ptrdiff_t kMaxChangesPerReport = 32;
constexpr std::size_t kMaxSuspects = 64;
constexpr std::size_t kMaxSurvivals = 8192;

// Returns whether the request of `later` was sent after the same instance had
// seen `earlier`. The times of different instances can't be compared so
// exactly.
template <typename Crash>
bool WasSentAfter(const Crash& later, const Crash& earlier) {
  constexpr unsigned kInstanceShift = 32;
  return later.id >> kInstanceShift == earlier.id >> kInstanceShift &&
         later.at - later.running >= earlier.at;
}

// Returns the crashes without repeated observations of the same one. The
// crashes are in the order of their times.
template <typename Crash>
std::vector<Crash> DistinctCrashes(const std::vector<Crash>& crashes) {
  std::vector<Crash> distinct;
  for (const Crash& crash : crashes) {
    const bool is_known = std::any_of(
        distinct.begin(), distinct.end(), [&crash](const Crash& other) {
          return other.server_hash == crash.server_hash &&
                 crash.at - other.at < kMinRestartTime &&
                 !WasSentAfter(crash, other);
        });
    if (!is_known) {
      distinct.push_back(crash);
    }
  }
  return distinct;
}

// Returns whether distinct crashes are enough to quarantine their suspect.
template <typename Crash>
bool Suffice(const std::vector<Crash>& distinct) {
  int moments = 0;
  const Crash* last = nullptr;
  for (const Crash& crash : distinct) {
    if (last == nullptr || crash.at - last->at >= kMomentLength ||
        WasSentAfter(crash, *last)) {
      ++moments;
      last = &crash;
    }
  }
  return distinct.size() >= kMinCrashes && moments >= kMinMoments;
}

Duration QuarantineDuration(std::size_t crash_count) {
  Duration duration = kMinQuarantine;
  for (std::size_t i = kMinCrashes; i < crash_count; ++i) {
    duration = std::min(2 * duration, kMaxQuarantine);
  }
  return duration;
}

// The positions of RequestSuspects::request_hash and of the first part in the
// request's ids.
constexpr int kRequestPosition = 1;
constexpr int kFirstPartPosition = 2;

}  // namespace

std::vector<std::uint64_t> RequestSuspects::Ids() const {
  std::vector<std::uint64_t> ids = {this->content_hash, this->request_hash};
  ids.insert(ids.end(), this->parts.begin(), this->parts.end());
  return ids;
}

std::string_view ToString(QuarantineChange::Kind kind) {
  switch (kind) {
    case QuarantineChange::Kind::kQuarantined:
      return "quarantined";
    case QuarantineChange::Kind::kTrial:
      return "trial";
    case QuarantineChange::Kind::kReleased:
      return "released";
  }
  return "invalid";
}

void RequestQuarantine::RecordSurvival(const RequestSuspects& suspects,
                                       TimePoint now) {
  bool changed = false;
  for (const std::uint64_t id : suspects.Ids()) {
    this->StoreSurvival(id, now);
    const auto found = this->suspects.find(id);
    if (found != this->suspects.end()) {
      const bool excused = this->RemoveExcused(id, found->second, now);
      if (excused) {
        found->second.survival_change = ++this->change_count;
      }
      changed |= excused;
    }
  }
  if (changed) {
    this->Reassess(now);
  }
}

void RequestQuarantine::RecordCrash(const std::string& server,
                                    const RequestSuspects& suspects,
                                    TimePoint sent_at, TimePoint now) {
  Crash crash{.id = this->next_crash_id++,
              .server_hash = IdHash(server),
              .running = now - sent_at,
              .change = ++this->change_count,
              .at = now};
  for (const std::uint64_t id : suspects.Ids()) {
    if (id != 0 && !this->WasSurvivedLately(id, now)) {
      AddCrash(this->FindOrAdd(id), crash);
    }
    ++crash.position;
  }
  this->Reassess(now);
}

std::optional<QuarantinedSuspect> RequestQuarantine::FindQuarantined(
    const RequestSuspects& suspects, TimePoint now) const {
  std::optional<QuarantinedSuspect> longest;
  for (const std::uint64_t id : suspects.Ids()) {
    const Suspect* suspect = this->FindQuarantinedSuspect(id);
    if (suspect == nullptr) {
      continue;
    }
    TimePoint end = *suspect->quarantined_until +
                    kTrialRankDelay * this->trial_rank.value_or(0);
    if (now >= end) {
      end = (this->trial_rank ? suspect->last_trial_at : now) + kTrialInterval;
    }
    if (now < end && (!longest || end - now > longest->remaining)) {
      longest = {.suspect = id, .remaining = end - now};
    }
  }
  return longest;
}

bool RequestQuarantine::RecordSend(const RequestSuspects& suspects,
                                   TimePoint now) {
  bool is_trial = false;
  for (const std::uint64_t id : suspects.Ids()) {
    if (this->FindQuarantinedSuspect(id) == nullptr) {
      continue;
    }
    is_trial = true;
    Suspect& suspect = this->suspects[id];
    suspect.last_trial_at = now;
    this->changes.push_back({.suspect = id,
                             .kind = QuarantineChange::Kind::kTrial,
                             .crashes = suspect.unexplained_crashes});
  }
  return is_trial;
}

ServerCrash RequestQuarantine::ToReport(const Crash& crash, TimePoint now) {
  return {.id = crash.id,
          .server_hash = crash.server_hash,
          .position = crash.position,
          .running = crash.running,
          .age = now - crash.at};
}

std::optional<Duration> RequestQuarantine::SurvivalAge(std::uint64_t id,
                                                       TimePoint now) const {
  const auto found = this->survivals.find(id);
  return found == this->survivals.end()
             ? std::nullopt
             : std::optional<Duration>(now - found->second);
}

std::vector<SuspectCrashes> RequestQuarantine::Records(TimePoint now) const {
  std::vector<SuspectCrashes> records;
  for (const auto& [id, suspect] : this->suspects) {
    const bool is_own =
        std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                    [](const Crash& crash) { return crash.change != 0; });
    if (!is_own && suspect.crashes.size() == 1) {
      continue;
    }
    SuspectCrashes record{.suspect = id,
                          .survival_age = this->SurvivalAge(id, now)};
    for (const Crash& crash : suspect.crashes) {
      record.crashes.push_back(ToReport(crash, now));
    }
    records.push_back(std::move(record));
  }
  return records;
}

std::vector<SuspectCrashes> RequestQuarantine::RecordsSince(
    std::uint64_t& told, TimePoint now) const {
  if (told == this->change_count) {
    return {};
  }
  std::vector<std::uint64_t> changed;
  for (const auto& [id, suspect] : this->suspects) {
    changed.push_back(suspect.survival_change);
    for (const Crash& crash : suspect.crashes) {
      changed.push_back(crash.change);
    }
  }
  std::erase_if(changed,
                [told](std::uint64_t change) { return change <= told; });
  std::uint64_t last = this->change_count;
  if (std::ssize(changed) > kMaxChangesPerReport) {
    const auto limit = changed.begin() + kMaxChangesPerReport - 1;
    std::nth_element(changed.begin(), limit, changed.end());
    last = *limit;
  }
  const auto is_new = [told, last](std::uint64_t change) {
    return change > told && change <= last;
  };
  std::vector<SuspectCrashes> records;
  for (const auto& [id, suspect] : this->suspects) {
    SuspectCrashes record{.suspect = id,
                          .survival_age = this->SurvivalAge(id, now)};
    for (const Crash& crash : suspect.crashes) {
      if (is_new(crash.change)) {
        record.crashes.push_back(ToReport(crash, now));
      }
    }
    if (!record.crashes.empty() || is_new(suspect.survival_change)) {
      records.push_back(std::move(record));
    }
  }
  told = last;
  return records;
}

void RequestQuarantine::Merge(const std::vector<SuspectCrashes>& records,
                              TimePoint now) {
  bool changed = false;
  for (const SuspectCrashes& record : records) {
    if (record.survival_age) {
      this->StoreSurvival(record.suspect, now - *record.survival_age);
    }
    if (record.crashes.empty() && !this->suspects.contains(record.suspect)) {
      continue;
    }
    Suspect& suspect = this->FindOrAdd(record.suspect);
    for (const ServerCrash& crash : record.crashes) {
      if (crash.age <= kMaxReportedAge) {
        changed |= AddCrash(suspect, {.id = crash.id,
                                      .server_hash = crash.server_hash,
                                      .position = crash.position,
                                      .running = crash.running,
                                      .at = now - crash.age});
      }
    }
    const bool excused = this->RemoveExcused(record.suspect, suspect, now);
    // The peer tells the others itself of a survival that it knows.
    if (excused && !record.survival_age) {
      suspect.survival_change = ++this->change_count;
    }
    changed |= excused;
  }
  if (changed) {
    this->Reassess(now);
  }
}

void RequestQuarantine::Tick(TimePoint now) {
  std::size_t expired = 0;
  for (auto& [id, suspect] : this->suspects) {
    expired += std::erase_if(suspect.crashes, [now](const Crash& crash) {
      return now - crash.at > kCrashMemory;
    });
  }
  if (expired > 0) {
    this->Reassess(now);
  }
  std::erase_if(this->suspects, [now](const auto& item) {
    return item.second.crashes.empty() &&
           now >= item.second.report_survival_until;
  });
}

int RequestQuarantine::quarantined_count() const {
  return static_cast<int>(std::count_if(
      this->suspects.begin(), this->suspects.end(), [](const auto& item) {
        return item.second.quarantined_until.has_value();
      }));
}

bool RequestQuarantine::IsExcused(TimePoint crashed_at, TimePoint survived_at) {
  return crashed_at <= survived_at + kSurvivalMemory;
}

bool RequestQuarantine::WasSurvivedLately(std::uint64_t id,
                                          TimePoint now) const {
  const auto found = this->survivals.find(id);
  return found != this->survivals.end() && IsExcused(now, found->second);
}

bool RequestQuarantine::AddCrash(Suspect& suspect, const Crash& crash) {
  std::vector<Crash>& crashes = suspect.crashes;
  const auto known = std::find_if(
      crashes.begin(), crashes.end(),
      [&crash](const Crash& other) { return other.id == crash.id; });
  if (known != crashes.end()) {
    // A report makes a crash look later than it was, never earlier.
    known->at = std::min(known->at, crash.at);
    return false;
  }
  const auto position = std::upper_bound(
      crashes.begin(), crashes.end(), crash,
      [](const Crash& a, const Crash& b) { return a.at < b.at; });
  crashes.insert(position, crash);
  if (crashes.size() > kMaxCrashesPerSuspect) {
    crashes.erase(crashes.begin());
  }
  return true;
}

bool RequestQuarantine::RemoveExcused(std::uint64_t id, Suspect& suspect,
                                      TimePoint now) {
  const auto survival = this->survivals.find(id);
  if (survival == this->survivals.end()) {
    return false;
  }
  const std::size_t removed =
      std::erase_if(suspect.crashes, [&](const Crash& crash) {
        return IsExcused(crash.at, survival->second);
      });
  if (removed > 0) {
    suspect.report_survival_until = now + kSurvivalReportTime;
  }
  return removed > 0;
}

void RequestQuarantine::StoreSurvival(std::uint64_t id, TimePoint survived_at) {
  const auto [found, is_new] = this->survivals.emplace(id, survived_at);
  if (!is_new) {
    found->second = std::max(found->second, survived_at);
    return;
  }
  this->survival_order.push_back(id);
  if (this->survival_order.size() > kMaxSurvivals) {
    this->survivals.erase(this->survival_order.front());
    this->survival_order.pop_front();
  }
}

RequestQuarantine::Suspect& RequestQuarantine::FindOrAdd(std::uint64_t id) {
  const auto found = this->suspects.find(id);
  if (found != this->suspects.end()) {
    return found->second;
  }
  if (this->suspects.size() >= kMaxSuspects) {
    // Of the suspects with the fewest crashes, the one whose last crash is the
    // oldest.
    const auto rank = [](const auto& item) {
      const std::vector<Crash>& crashes = item.second.crashes;
      return std::pair(crashes.size(),
                       crashes.empty() ? TimePoint{} : crashes.back().at);
    };
    const auto least = std::min_element(
        this->suspects.begin(), this->suspects.end(),
        [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
    this->suspects.erase(least);
  }
  return this->suspects[id];
}

std::set<std::uint64_t> RequestQuarantine::SufficientSuspects() const {
  std::set<std::uint64_t> sufficient;
  // The request of each crash, as far as one request alone has enough crashes.
  std::unordered_map<std::uint64_t, std::uint64_t> request_of;
  for (const auto& [id, suspect] : this->suspects) {
    if (!Suffice(DistinctCrashes(suspect.crashes))) {
      continue;
    }
    sufficient.insert(id);
    for (const Crash& crash : suspect.crashes) {
      if (crash.position == kRequestPosition) {
        request_of.emplace(crash.id, id);
      }
    }
  }
  // A part whose crashes are all those of one request is not to blame.
  std::erase_if(sufficient, [&](std::uint64_t id) {
    const std::vector<Crash>& crashes = this->suspects.at(id).crashes;
    const auto request = request_of.find(crashes.front().id);
    return crashes.front().position >= kFirstPartPosition &&
           request != request_of.end() &&
           std::all_of(crashes.begin(), crashes.end(), [&](const Crash& crash) {
             const auto found = request_of.find(crash.id);
             return found != request_of.end() &&
                    found->second == request->second;
           });
  });
  return sufficient;
}

void RequestQuarantine::Reassess(TimePoint now) {
  const std::set<std::uint64_t> sufficient = this->SufficientSuspects();
  // For each request that failed, the position of the most specific suspect
  // that has enough crashes.
  std::unordered_map<std::uint64_t, int> explained_below;
  for (const std::uint64_t id : sufficient) {
    for (const Crash& crash : this->suspects.at(id).crashes) {
      int& position = explained_below[crash.id];
      position = std::max(position, crash.position);
    }
  }
  for (auto& [id, suspect] : this->suspects) {
    std::vector<Crash> unexplained;
    if (sufficient.contains(id)) {
      unexplained = suspect.crashes;
    }
    std::erase_if(unexplained, [&](const Crash& crash) {
      return crash.position < explained_below.at(crash.id);
    });
    unexplained = DistinctCrashes(unexplained);
    suspect.unexplained_crashes = static_cast<int>(unexplained.size());
    std::optional<TimePoint> until;
    if (Suffice(unexplained)) {
      until = unexplained.back().at + QuarantineDuration(unexplained.size());
    }
    this->SetQuarantine(id, suspect, until, now);
  }
}

void RequestQuarantine::SetQuarantine(std::uint64_t id, Suspect& suspect,
                                      std::optional<TimePoint> until,
                                      TimePoint now) {
  const bool was_quarantined = suspect.quarantined_until.has_value();
  suspect.quarantined_until = until;
  if (until.has_value() == was_quarantined) {
    return;
  }
  this->changes.push_back(
      {.suspect = id,
       .kind = until ? QuarantineChange::Kind::kQuarantined
                     : QuarantineChange::Kind::kReleased,
       .crashes = suspect.unexplained_crashes,
       .remaining = until ? std::max(Duration{}, *until - now) : Duration{}});
}

const RequestQuarantine::Suspect* RequestQuarantine::FindQuarantinedSuspect(
    std::uint64_t id) const {
  const auto found = this->suspects.find(id);
  return found != this->suspects.end() && found->second.quarantined_until
             ? &found->second
             : nullptr;
}

}  // namespace rosemarycove
