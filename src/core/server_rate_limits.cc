#include "core/server_rate_limits.h"

#include <algorithm>
#include <cmath>

#include "core/load_ledger.h"
#include "core/prompt_cache_map.h"

namespace rosemarycove {
namespace {

// The number of instances that hold a part of a limit, for a limit near zero;
// one more for each request per second. Each may send one request at any
// moment, so there are few.
constexpr int kMinHolders = 2;
// A holder's unused part accumulates for this long, but always to one request.
constexpr Duration kBurstTime = std::chrono::seconds(1);
// Instances without a part may use this share of what the limit allows in a
// window; the rest covers the requests that several of them send before they
// hear of each other.
constexpr double kUnheldShare = 0.75;
// An instance without a part leaves this much time to each that ranks before
// it: longer than it takes to hear of a request.
constexpr Duration kRankDelay = std::chrono::milliseconds(150);
// For this long, the refusal of a request keeps less urgent ones from the
// server.
constexpr Duration kRefusalMemory = std::chrono::seconds(2);
// How long a change of the observed limit is reported to connected peers.
constexpr Duration kChangeReportTime = std::chrono::seconds(3);
// Limits of servers that are not registered are dropped after this time.
constexpr Duration kUnregisteredMemory = std::chrono::minutes(1);
constexpr std::size_t kMaxReports = 64;
constexpr Duration kMinTimeToRoom = std::chrono::milliseconds(200);
constexpr Duration kMaxTimeToRoom = std::chrono::seconds(10);

// Returns the requests that the limit allows in a window. A server that names
// zero gets a single one, since only a response can show that the limit ended.
double AllowedInWindow(double per_second) {
  return std::max(1.0, per_second * ToSeconds(ServerRateLimits::kWindow));
}

}  // namespace

std::uint64_t LifetimeHash(const std::string& server,
                           std::uint64_t incarnation) {
  return RendezvousScore(incarnation, server);
}

void ServerRateLimits::SetFleet(std::vector<std::string> instances,
                                bool hears_all_instances, TimePoint now) {
  this->hears_all = hears_all_instances;
  if (instances == this->peers) {
    return;
  }
  this->peers = std::move(instances);
  for (auto& [server_hash, limit] : this->limits) {
    this->UpdateRank(server_hash, limit, now);
  }
}

void ServerRateLimits::Tick(TimePoint now) {
  for (auto& [server_hash, limit] : this->limits) {
    // Within the first window, the others' sends are not yet known to all.
    const bool is_unused =
        this->hears_all && limit.per_second &&
        now - limit.limited_since >= kWindow &&
        this->SentInWindow(server_hash, limit, now) <
            std::max(1.0, kUnheldShare * AllowedInWindow(*limit.per_second));
    if (!is_unused) {
      limit.unused_since.reset();
    } else if (!limit.unused_since) {
      limit.unused_since = now;
    }
  }
}

void ServerRateLimits::Observe(std::uint64_t server_hash,
                               std::optional<double> per_second,
                               TimePoint sent_at, TimePoint now) {
  const auto found = this->limits.find(server_hash);
  if (found == this->limits.end() && !per_second) {
    return;
  }
  Limit& limit =
      found == this->limits.end() ? this->limits[server_hash] : found->second;
  limit.last_heard_at = now;
  if (sent_at < limit.observed_at) {
    return;
  }
  if (limit.own_observation == 0 || limit.own_per_second != per_second) {
    ++limit.own_observation;
    limit.own_changed_at = now;
    this->has_urgent_report = true;
  }
  limit.own_per_second = per_second;
  limit.own_observed_at = sent_at;
  this->Adopt(server_hash, limit, per_second, sent_at, "", now);
}

void ServerRateLimits::RecordSend(std::uint64_t server_hash, TimePoint now) {
  const auto found = this->limits.find(server_hash);
  if (found == this->limits.end() || !found->second.per_second) {
    return;
  }
  Limit& limit = found->second;
  std::erase_if(limit.sends,
                [now](TimePoint sent) { return now - sent > kWindow; });
  limit.sends.push_back(now);
  const double tokens = this->TokensAt(limit, now);
  if (tokens >= 1) {
    limit.tokens = tokens - 1;
    limit.updated_at = now;
  } else {
    this->unreported_sends.insert(server_hash);
    this->has_urgent_report = true;
  }
}

void ServerRateLimits::RecordRefusal(std::uint64_t server_hash, int tier,
                                     TimePoint now) {
  const auto found = this->limits.find(server_hash);
  if (found == this->limits.end()) {
    return;
  }
  Limit& limit = found->second;
  const bool is_recent = limit.refused_tier.has_value() &&
                         now - limit.refused_at <= kRefusalMemory;
  if (!is_recent || tier <= *limit.refused_tier) {
    limit.refused_tier = tier;
    limit.refused_at = now;
  }
}

bool ServerRateLimits::MaySend(std::uint64_t server_hash, int tier,
                               TimePoint now) const {
  const Limit* limit = this->FindLimited(server_hash);
  if (limit == nullptr) {
    return true;
  }
  const int sent = this->SentInWindow(server_hash, *limit, now);
  if (sent + 1 > std::floor(AllowedInWindow(*limit->per_second)) ||
      this->WasMoreUrgentRefused(server_hash, *limit, tier, now)) {
    return false;
  }
  return this->TokensAt(*limit, now) >= 1 ||
         this->MaySendUnheld(server_hash, *limit, now);
}

bool ServerRateLimits::IsLimited(std::uint64_t server_hash) const {
  return this->FindLimited(server_hash) != nullptr;
}

Duration ServerRateLimits::TimeToRoom(std::uint64_t server_hash,
                                      TimePoint now) const {
  const Limit* limit = this->FindLimited(server_hash);
  if (limit == nullptr) {
    return {};
  }
  if (*limit->per_second <= 0) {
    return kWindow;
  }
  const double excess = this->SentInWindow(server_hash, *limit, now) + 1 -
                        AllowedInWindow(*limit->per_second);
  return std::clamp(FromSeconds(std::max(1.0, excess) / *limit->per_second),
                    kMinTimeToRoom, kMaxTimeToRoom);
}

std::vector<RateLimitReport> ServerRateLimits::Reports(bool whole,
                                                       TimePoint now) const {
  std::vector<RateLimitReport> reports;
  for (const auto& [server_hash, limit] : this->limits) {
    RateLimitReport report{.server_hash = server_hash,
                           .sent = OwnSends(limit, now)};
    if (IsNews(limit, whole, now)) {
      report.observation = limit.own_observation;
      report.per_second = limit.own_per_second;
      report.age = now - limit.own_observed_at;
    }
    if (limit.refused_tier && now - limit.refused_at <= kRefusalMemory) {
      report.refused_tier = limit.refused_tier;
    }
    if ((report.observation > 0 || report.sent > 0 || report.refused_tier) &&
        reports.size() < kMaxReports) {
      reports.push_back(report);
    }
  }
  return reports;
}

void ServerRateLimits::RecordReportSent() {
  this->unreported_sends.clear();
  this->has_urgent_report = false;
}

void ServerRateLimits::Merge(const std::string& peer,
                             const std::vector<RateLimitReport>& reports,
                             bool is_first, TimePoint now) {
  PeerReport& known = this->peer_reports[peer];
  if (is_first) {
    known.entries.clear();
  }
  std::map<std::uint64_t, RateLimitReport> entries;
  for (RateLimitReport report : reports) {
    const auto previous = known.entries.find(report.server_hash);
    const std::uint32_t known_observation =
        previous == known.entries.end() ? 0 : previous->second.observation;
    // A repeated report of an observation would make it look younger.
    if (report.observation != 0 && report.observation != known_observation) {
      Limit& limit = this->limits[report.server_hash];
      limit.last_heard_at = now;
      this->Adopt(report.server_hash, limit, report.per_second,
                  now - report.age, peer, now);
    }
    if (report.observation == 0) {
      report.observation = known_observation;
    }
    entries.emplace(report.server_hash, report);
  }
  for (auto& [server_hash, entry] : known.entries) {
    // Keeps the number of the observation.
    RateLimitReport kept = entry;
    kept.sent = 0;
    kept.refused_tier.reset();
    if (this->limits.contains(server_hash)) {
      entries.emplace(server_hash, kept);
    }
  }
  known = {.entries = std::move(entries), .received_at = now};
}

void ServerRateLimits::Expire(const std::set<std::uint64_t>& registered,
                              TimePoint now) {
  std::erase_if(this->limits, [&](const auto& item) {
    return !registered.contains(item.first) &&
           now - item.second.last_heard_at > kUnregisteredMemory;
  });
  std::erase_if(this->peer_reports, [now](const auto& item) {
    return now - item.second.received_at > kUnregisteredMemory;
  });
}

int ServerRateLimits::limited_count() const {
  return static_cast<int>(std::count_if(
      this->limits.begin(), this->limits.end(),
      [](const auto& item) { return item.second.per_second.has_value(); }));
}

const ServerRateLimits::Limit* ServerRateLimits::FindLimited(
    std::uint64_t server_hash) const {
  const auto found = this->limits.find(server_hash);
  return found != this->limits.end() && found->second.per_second
             ? &found->second
             : nullptr;
}

void ServerRateLimits::Adopt(std::uint64_t server_hash, Limit& limit,
                             std::optional<double> per_second,
                             TimePoint observed_at, const std::string& from,
                             TimePoint now) {
  if (observed_at < limit.observed_at) {
    return;
  }
  limit.observed_at = observed_at;
  if (limit.per_second == per_second) {
    return;
  }
  this->changes.push_back({.server_hash = server_hash,
                           .per_second = per_second,
                           .previous = limit.per_second,
                           .from = from,
                           .age = now - observed_at});
  if (!limit.per_second) {
    limit.limited_since = now;
    limit.is_holder = false;
  }
  // The tokens so far come from the previous limit.
  limit.tokens = limit.per_second ? this->TokensAt(limit, now) : 0;
  limit.updated_at = now;
  limit.per_second = per_second;
  if (!per_second) {
    limit.sends.clear();
    limit.refused_tier.reset();
    this->unreported_sends.erase(server_hash);
  }
  this->UpdateRank(server_hash, limit, now);
}

void ServerRateLimits::UpdateRank(std::uint64_t server_hash, Limit& limit,
                                  TimePoint now) const {
  if (!limit.per_second) {
    limit.is_holder = false;
    return;
  }
  const std::uint64_t own = RendezvousScore(server_hash, this->instance);
  const auto rank = std::count_if(
      this->peers.begin(), this->peers.end(), [&](const std::string& peer) {
        return RendezvousScore(server_hash, peer) > own;
      });
  limit.rank = static_cast<int>(rank);
  const bool is_holder = limit.rank < this->HolderCount(*limit.per_second);
  if (is_holder != limit.is_holder) {
    // The instance that held this part before may have used it just now.
    limit.tokens = 0;
    limit.updated_at = now;
    limit.is_holder = is_holder;
  }
}

int ServerRateLimits::HolderCount(double per_second) const {
  const auto instances = static_cast<double>(this->peers.size() + 1);
  return static_cast<int>(
      std::min(instances, kMinHolders + std::floor(per_second)));
}

double ServerRateLimits::TokensAt(const Limit& limit, TimePoint now) const {
  if (!limit.is_holder || !limit.per_second) {
    return 0;
  }
  const double rate = *limit.per_second / this->HolderCount(*limit.per_second);
  const double max_tokens = std::max(1.0, rate * ToSeconds(kBurstTime));
  return std::min(max_tokens,
                  limit.tokens + rate * ToSeconds(now - limit.updated_at));
}

bool ServerRateLimits::MaySendUnheld(std::uint64_t server_hash,
                                     const Limit& limit, TimePoint now) const {
  const int holders = this->HolderCount(*limit.per_second);
  const Duration wait = kRankDelay * std::max(1, limit.rank + 1 - holders);
  return limit.unused_since && now - *limit.unused_since >= wait &&
         !this->unreported_sends.contains(server_hash);
}

bool ServerRateLimits::IsNews(const Limit& limit, bool whole, TimePoint now) {
  return limit.own_observation != 0 &&
         ((whole && limit.own_per_second) ||
          now - limit.own_changed_at <= kChangeReportTime);
}

int ServerRateLimits::SentInWindow(std::uint64_t server_hash,
                                   const Limit& limit, TimePoint now) const {
  int sent = OwnSends(limit, now);
  for (const auto& [peer, report] : this->peer_reports) {
    const auto found = report.entries.find(server_hash);
    if (found != report.entries.end() && now - report.received_at <= kWindow) {
      sent += found->second.sent;
    }
  }
  return sent;
}

int ServerRateLimits::OwnSends(const Limit& limit, TimePoint now) {
  return static_cast<int>(
      std::count_if(limit.sends.begin(), limit.sends.end(),
                    [now](TimePoint sent) { return now - sent <= kWindow; }));
}

bool ServerRateLimits::WasMoreUrgentRefused(std::uint64_t server_hash,
                                            const Limit& limit, int tier,
                                            TimePoint now) const {
  if (limit.refused_tier && *limit.refused_tier < tier &&
      now - limit.refused_at <= kRefusalMemory) {
    return true;
  }
  return std::any_of(this->peer_reports.begin(), this->peer_reports.end(),
                     [&](const auto& item) {
                       const auto found = item.second.entries.find(server_hash);
                       return found != item.second.entries.end() &&
                              found->second.refused_tier &&
                              *found->second.refused_tier < tier &&
                              now - item.second.received_at <= kRefusalMemory;
                     });
}

}  // namespace rosemarycove
