#include "core/software_history.h"

#include <algorithm>
#include <set>

#include "core/load_ledger.h"
#include "core/server_rate_limits.h"

namespace rosemarycove {
namespace {

// For this long, a version that an instance sees for the first time begins no
// streams that may be resumed. Longer than kMaxDirectoryAge, since the age of a
// directory that another instance relayed lacks the time on the way.
constexpr Duration kNewSoftwareTime = std::chrono::milliseconds(3000);

}  // namespace

std::uint64_t SoftwareHash(const RegisteredServer& server) {
  if (server.software_version.empty()) {
    return LifetimeHash(server.id, server.incarnation);
  }
  return IdHash(server.service + '\n' + server.software_version);
}

void SoftwareHistory::Update(
    const std::map<std::string, RegisteredServer>& servers, bool is_current,
    TimePoint now) {
  // A version may have come and gone while the process stood still.
  const bool stood_still =
      this->updated_at && now - *this->updated_at > kMaxDirectoryAge;
  if (!this->known_since || !is_current || stood_still) {
    this->known_since = now;
  }
  this->updated_at = now;
  for (const auto& [id, server] : servers) {
    Use& use = this->uses
                   .try_emplace(SoftwareHash(server),
                                Use{.service_hash = IdHash(server.service),
                                    .first_seen_at = now})
                   .first->second;
    use.last_used_at = now;
  }
  std::erase_if(this->uses, [&](const auto& item) {
    return now - item.second.last_used_at > this->window;
  });
}

void SoftwareHistory::Merge(const SoftwareReport& report, TimePoint now) {
  for (const SoftwareUse& use : report.uses) {
    Use& own =
        this->uses
            .try_emplace(use.software, Use{.service_hash = use.service_hash,
                                           .first_seen_at = now})
            .first->second;
    own.last_used_at = std::max(own.last_used_at, now - use.age);
  }
  this->known_since =
      std::min(this->known_since.value_or(now), now - report.known_for);
}

SoftwareReport SoftwareHistory::Report(TimePoint now) const {
  SoftwareReport report{
      .known_for = this->known_since ? now - *this->known_since : Duration{}};
  for (const auto& [software, use] : this->uses) {
    report.uses.push_back({.software = software,
                           .service_hash = use.service_hash,
                           .age = now - use.last_used_at});
  }
  return report;
}

std::optional<std::uint64_t> SoftwareHistory::OnlySoftware(
    const std::vector<std::string>& services, Duration directory_age,
    TimePoint now) const {
  if (!this->IsKnown(now) || directory_age > kMaxDirectoryAge) {
    return std::nullopt;
  }
  std::optional<std::uint64_t> only;
  for (const auto& [software, use] : this->uses) {
    const bool is_listed =
        std::any_of(services.begin(), services.end(),
                    [hash = use.service_hash](const std::string& service) {
                      return IdHash(service) == hash;
                    });
    if (!is_listed || now - use.last_used_at > this->window) {
      continue;
    }
    if (only) {
      return std::nullopt;
    }
    only = software;
  }
  return only;
}

bool SoftwareHistory::IsSettled(Duration directory_age, TimePoint now) const {
  std::set<std::uint64_t> services;
  return this->IsKnown(now) && directory_age <= kMaxDirectoryAge &&
         std::all_of(this->uses.begin(), this->uses.end(),
                     [&](const auto& item) {
                       return services.insert(item.second.service_hash).second;
                     });
}

std::vector<std::uint64_t> SoftwareHistory::NewSoftware(
    const std::string& service, TimePoint now) const {
  const std::uint64_t service_hash = IdHash(service);
  std::vector<std::uint64_t> new_software;
  bool has_other = false;
  for (const auto& [software, use] : this->uses) {
    if (use.service_hash != service_hash) {
      continue;
    }
    if (now - use.first_seen_at < kNewSoftwareTime) {
      new_software.push_back(software);
    } else if (use.last_used_at == this->updated_at) {
      has_other = true;
    }
  }
  return has_other ? new_software : std::vector<std::uint64_t>{};
}

}  // namespace rosemarycove
