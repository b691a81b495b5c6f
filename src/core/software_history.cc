#include "core/software_history.h"

#include <algorithm>
#include <set>

#include "core/load_ledger.h"
#include "core/server_rate_limits.h"

namespace rosemarycove {

std::uint64_t SoftwareHash(const RegisteredServer& server) {
  if (server.software_version.empty()) {
    return LifetimeHash(server.id, server.incarnation);
  }
  return IdHash(server.service + '\n' + server.software_version);
}

void SoftwareHistory::Update(
    const std::map<std::string, RegisteredServer>& servers, bool is_current,
    TimePoint now) {
  if (!this->known_since || !is_current) {
    this->known_since = now;
  }
  for (const auto& [id, server] : servers) {
    this->uses[SoftwareHash(server)] = {.service_hash = IdHash(server.service),
                                        .last_used_at = now};
  }
  std::erase_if(this->uses, [&](const auto& item) {
    return now - item.second.last_used_at > this->window;
  });
}

void SoftwareHistory::Merge(const SoftwareReport& report, TimePoint now) {
  for (const SoftwareUse& use : report.uses) {
    Use& own = this->uses[use.software];
    own.service_hash = use.service_hash;
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
    const std::vector<std::string>& services, TimePoint now) const {
  if (!this->IsKnown(now)) {
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

bool SoftwareHistory::IsSettled(TimePoint now) const {
  std::set<std::uint64_t> services;
  return this->IsKnown(now) &&
         std::all_of(this->uses.begin(), this->uses.end(),
                     [&](const auto& item) {
                       return services.insert(item.second.service_hash).second;
                     });
}

}  // namespace rosemarycove
