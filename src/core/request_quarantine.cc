#include "core/request_quarantine.h"

#include <algorithm>

#include "core/load_ledger.h"

namespace rosemarycove {
namespace {

// A part is quarantined after this many crashes of servers, at this many
// moments. Servers that crash at the same moment may have another cause in
// common.
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
constexpr Duration kMinQuarantine = std::chrono::seconds(30);
constexpr Duration kMaxQuarantine = std::chrono::minutes(5);
// The time between two trials of a part, unless the first one had a result.
constexpr Duration kTrialInterval = std::chrono::seconds(10);
// Crashes expire after this time, in which trials that fail keep enough of
// them.
constexpr Duration kCrashMemory = std::chrono::minutes(30);
// Crashes older than this are not accepted from other instances: the ages in
// reports lack the time that the report took, so instances that drop a crash at
// slightly different times could pass it back and forth forever.
constexpr Duration kMaxReportedAge = kCrashMemory - std::chrono::minutes(1);
// How long a survival that excused crashes is reported to the others.
constexpr Duration kSurvivalReportTime = std::chrono::seconds(10);
constexpr std::size_t kMaxCrashesPerPart = 16;
constexpr std::size_t kMaxSuspects = 64;
constexpr std::size_t kMaxSurvivals = 8192;

// Returns the crashes without repeated observations of the same one. The
// crashes are in the order of their times.
template <typename Crash>
std::vector<Crash> DistinctCrashes(const std::vector<Crash>& crashes) {
  std::vector<Crash> distinct;
  for (const Crash& crash : crashes) {
    const bool is_known = std::any_of(
        distinct.begin(), distinct.end(), [&crash](const Crash& other) {
          return other.server_hash == crash.server_hash &&
                 crash.at - other.at < kMinRestartTime;
        });
    if (!is_known) {
      distinct.push_back(crash);
    }
  }
  return distinct;
}

// Returns whether distinct crashes are enough to quarantine their part.
template <typename Crash>
bool Suffice(const std::vector<Crash>& distinct) {
  int moments = 0;
  TimePoint last;
  for (const Crash& crash : distinct) {
    if (moments == 0 || crash.at - last >= kMomentLength) {
      ++moments;
      last = crash.at;
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

}  // namespace

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

void RequestQuarantine::RecordSurvival(std::span<const PromptPart> parts,
                                       TimePoint now) {
  bool changed = false;
  for (const PromptPart& part : parts) {
    this->StoreSurvival(part.id, now);
    const auto found = this->suspects.find(part.id);
    if (found != this->suspects.end()) {
      changed |= this->RemoveExcused(part.id, found->second, now);
    }
  }
  if (changed) {
    this->Reassess(now);
  }
}

void RequestQuarantine::RecordCrash(const std::string& server,
                                    std::span<const PromptPart> parts,
                                    TimePoint now) {
  const std::uint64_t id = this->random();
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (!this->WasSurvivedLately(parts[i].id, now)) {
      AddCrash(this->FindOrAdd(parts[i].id), {.id = id,
                                              .server_hash = IdHash(server),
                                              .position = static_cast<int>(i),
                                              .at = now});
    }
  }
  this->Reassess(now);
}

std::optional<QuarantinedSuspect> RequestQuarantine::FindQuarantined(
    std::span<const PromptPart> parts, TimePoint now) const {
  std::optional<QuarantinedSuspect> longest;
  for (const PromptPart& part : parts) {
    const Suspect* suspect = this->FindQuarantinedSuspect(part.id);
    if (suspect == nullptr) {
      continue;
    }
    TimePoint end = *suspect->quarantined_until;
    if (now >= end) {
      end =
          (this->leads_trials ? suspect->last_trial_at : now) + kTrialInterval;
    }
    if (now < end && (!longest || end - now > longest->remaining)) {
      longest = {.part = part.id, .remaining = end - now};
    }
  }
  return longest;
}

void RequestQuarantine::RecordSend(std::span<const PromptPart> parts,
                                   TimePoint now) {
  for (const PromptPart& part : parts) {
    if (this->FindQuarantinedSuspect(part.id) == nullptr) {
      continue;
    }
    Suspect& suspect = this->suspects[part.id];
    suspect.last_trial_at = now;
    this->changes.push_back({.part = part.id,
                             .kind = QuarantineChange::Kind::kTrial,
                             .crashes = suspect.unexplained_crashes});
  }
}

std::vector<SuspectCrashes> RequestQuarantine::Records(TimePoint now) const {
  std::vector<SuspectCrashes> records;
  for (const auto& [part, suspect] : this->suspects) {
    SuspectCrashes record{.part = part};
    if (const auto survival = this->survivals.find(part);
        survival != this->survivals.end()) {
      record.survival_age = now - survival->second;
    }
    for (const Crash& crash : suspect.crashes) {
      record.crashes.push_back({.id = crash.id,
                                .server_hash = crash.server_hash,
                                .position = crash.position,
                                .age = now - crash.at});
    }
    records.push_back(std::move(record));
  }
  return records;
}

void RequestQuarantine::Merge(const std::vector<SuspectCrashes>& records,
                              TimePoint now) {
  bool changed = false;
  for (const SuspectCrashes& record : records) {
    if (record.survival_age) {
      this->StoreSurvival(record.part, now - *record.survival_age);
    }
    if (record.crashes.empty() && !this->suspects.contains(record.part)) {
      continue;
    }
    Suspect& suspect = this->FindOrAdd(record.part);
    for (const ServerCrash& crash : record.crashes) {
      if (crash.age <= kMaxReportedAge) {
        changed |= AddCrash(suspect, {.id = crash.id,
                                      .server_hash = crash.server_hash,
                                      .position = crash.position,
                                      .at = now - crash.age});
      }
    }
    changed |= this->RemoveExcused(record.part, suspect, now);
  }
  if (changed) {
    this->Reassess(now);
  }
}

void RequestQuarantine::Tick(TimePoint now) {
  std::size_t expired = 0;
  for (auto& [part, suspect] : this->suspects) {
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

bool RequestQuarantine::WasSurvivedLately(std::uint64_t part,
                                          TimePoint now) const {
  const auto found = this->survivals.find(part);
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
  if (crashes.size() > kMaxCrashesPerPart) {
    crashes.erase(crashes.begin());
  }
  return true;
}

bool RequestQuarantine::RemoveExcused(std::uint64_t part, Suspect& suspect,
                                      TimePoint now) {
  const auto survival = this->survivals.find(part);
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

void RequestQuarantine::StoreSurvival(std::uint64_t part,
                                      TimePoint survived_at) {
  const auto [found, is_new] = this->survivals.emplace(part, survived_at);
  if (!is_new) {
    found->second = std::max(found->second, survived_at);
    return;
  }
  this->survival_order.push_back(part);
  if (this->survival_order.size() > kMaxSurvivals) {
    this->survivals.erase(this->survival_order.front());
    this->survival_order.pop_front();
  }
}

RequestQuarantine::Suspect& RequestQuarantine::FindOrAdd(std::uint64_t part) {
  const auto found = this->suspects.find(part);
  if (found != this->suspects.end()) {
    return found->second;
  }
  if (this->suspects.size() >= kMaxSuspects) {
    const auto least = std::min_element(
        this->suspects.begin(), this->suspects.end(),
        [](const auto& a, const auto& b) {
          return a.second.crashes.size() < b.second.crashes.size();
        });
    this->suspects.erase(least);
  }
  return this->suspects[part];
}

void RequestQuarantine::Reassess(TimePoint now) {
  // For each request that failed, the position of the most specific part that
  // has enough crashes.
  std::unordered_map<std::uint64_t, int> explained_below;
  for (const auto& [part, suspect] : this->suspects) {
    if (!Suffice(DistinctCrashes(suspect.crashes))) {
      continue;
    }
    for (const Crash& crash : suspect.crashes) {
      int& position = explained_below[crash.id];
      position = std::max(position, crash.position);
    }
  }
  for (auto& [part, suspect] : this->suspects) {
    std::vector<Crash> unexplained = suspect.crashes;
    std::erase_if(unexplained, [&](const Crash& crash) {
      const auto found = explained_below.find(crash.id);
      return found != explained_below.end() && crash.position < found->second;
    });
    unexplained = DistinctCrashes(unexplained);
    suspect.unexplained_crashes = static_cast<int>(unexplained.size());
    std::optional<TimePoint> until;
    if (Suffice(unexplained)) {
      until = unexplained.back().at + QuarantineDuration(unexplained.size());
    }
    this->SetQuarantine(part, suspect, until, now);
  }
}

void RequestQuarantine::SetQuarantine(std::uint64_t part, Suspect& suspect,
                                      std::optional<TimePoint> until,
                                      TimePoint now) {
  const bool was_quarantined = suspect.quarantined_until.has_value();
  suspect.quarantined_until = until;
  if (until.has_value() == was_quarantined) {
    return;
  }
  this->changes.push_back(
      {.part = part,
       .kind = until ? QuarantineChange::Kind::kQuarantined
                     : QuarantineChange::Kind::kReleased,
       .crashes = suspect.unexplained_crashes,
       .remaining = until ? std::max(Duration{}, *until - now) : Duration{}});
}

const RequestQuarantine::Suspect* RequestQuarantine::FindQuarantinedSuspect(
    std::uint64_t part) const {
  const auto found = this->suspects.find(part);
  return found != this->suspects.end() && found->second.quarantined_until
             ? &found->second
             : nullptr;
}

}  // namespace rosemarycove
