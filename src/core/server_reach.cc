#include "core/server_reach.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// A single failure may be by chance, as a server closes idle connections
// without notice.
constexpr int kMinFailures = 2;
// Servers that have to fail if the service has more.
constexpr int kMinServers = 3;
// Failures no longer count after this time without another: the longest
// interval between two tests, and the time until a request comes that may be
// one.
constexpr Duration kFailureMemory = std::chrono::seconds(15);
// Time between two tests. Each one delays a request by the time after which a
// connection attempt fails.
constexpr Duration kFirstTestInterval = std::chrono::milliseconds(300);
constexpr Duration kMaxTestInterval = std::chrono::seconds(1);
constexpr int kTestIntervalGrowth = 2;
// A belief that begins again within this time continues with the interval of
// the previous one.
constexpr Duration kRelapseTime = std::chrono::seconds(5);

}  // namespace

int ServerReach::CountServers(const std::string& service) const {
  return static_cast<int>(std::count_if(
      this->directory.servers().begin(), this->directory.servers().end(),
      [&](const auto& item) {
        return item.second.service == service && !item.second.is_draining;
      }));
}

bool ServerReach::HasEvidence(const std::string& service,
                              const ServiceState& state) const {
  int failures = 0;
  for (const auto& [server, count] : state.failures) {
    failures += count;
  }
  if (failures < kMinFailures) {
    return false;
  }
  if (state.failures.size() >= kMinServers) {
    return true;
  }
  return std::all_of(this->directory.servers().begin(),
                     this->directory.servers().end(), [&](const auto& item) {
                       return item.second.service != service ||
                              item.second.is_draining ||
                              state.failures.contains(item.first);
                     });
}

void ServerReach::AddChange(const std::string& service,
                            const ServiceState& state, TimePoint now) {
  ReachChange change{.service = service,
                     .is_out_of_reach = state.believed_since.has_value(),
                     .since = now - state.first_failure_at,
                     .servers_failed = static_cast<int>(state.failures.size()),
                     .servers = this->CountServers(service)};
  if (state.last_contact_at) {
    change.last_contact = now - *state.last_contact_at;
  }
  this->changes.push_back(change);
}

void ServerReach::Begin(const std::string& service, ServiceState& state,
                        TimePoint now) {
  const bool is_relapse = state.believed_until.has_value() &&
                          now - *state.believed_until <= kRelapseTime;
  if (!is_relapse) {
    state.test_interval = kFirstTestInterval;
  }
  state.believed_since = now;
  this->AddChange(service, state, now);
}

void ServerReach::End(const std::string& service, ServiceState& state,
                      TimePoint now) {
  if (state.believed_since) {
    state.believed_since.reset();
    state.believed_until = now;
    this->AddChange(service, state, now);
  }
}

void ServerReach::RecordFailure(const std::string& server,
                                const std::string& service, TimePoint now) {
  ServerState& server_state = this->servers[server];
  if (now - server_state.last_failure_at > kFailureMemory) {
    server_state.failures = 0;
  }
  server_state.service = service;
  server_state.last_failure_at = now;
  ++server_state.failures;

  ServiceState& state = this->services[service];
  if (now - state.last_failure_at > kFailureMemory) {
    this->End(service, state, now);
    state.failures.clear();
  }
  if (state.failures.empty()) {
    state.first_failure_at = now;
  }
  state.last_failure_at = now;
  ++state.failures[server];
  if (!state.believed_since && this->HasEvidence(service, state)) {
    this->Begin(service, state, now);
  }
}

void ServerReach::RecordContact(const std::string& server,
                                const std::string& service, TimePoint sent_at,
                                TimePoint now) {
  const auto found_server = this->servers.find(server);
  if (found_server != this->servers.end() &&
      sent_at >= found_server->second.last_failure_at) {
    this->servers.erase(found_server);
  }
  ServiceState& state = this->services[service];
  if (state.believed_since && sent_at < *state.believed_since) {
    return;
  }
  this->End(service, state, now);
  state.failures.clear();
  state.last_contact_at = now;
}

void ServerReach::Forget(const std::string& server) {
  this->servers.erase(server);
  for (auto& [service, state] : this->services) {
    state.failures.erase(server);
  }
}

bool ServerReach::HasFailures(const std::string& service) const {
  return std::any_of(
      this->servers.begin(), this->servers.end(),
      [&](const auto& item) { return item.second.service == service; });
}

bool ServerReach::IsOutOfReach(const std::string& server, TimePoint now) const {
  const auto found = this->servers.find(server);
  if (found == this->servers.end() ||
      now - found->second.last_failure_at > kFailureMemory) {
    return false;
  }
  const ServerState& state = found->second;
  return state.failures >= kMinFailures ||
         this->IsServiceOutOfReach(state.service, now);
}

bool ServerReach::HasFailedSinceContact(const std::string& server,
                                        const std::string& service,
                                        TimePoint now) const {
  const auto found = this->services.find(service);
  return found != this->services.end() &&
         now - found->second.last_failure_at <= kFailureMemory &&
         found->second.failures.contains(server);
}

bool ServerReach::IsServiceOutOfReach(const std::string& service,
                                      TimePoint now) const {
  const auto found = this->services.find(service);
  return found != this->services.end() && found->second.believed_since &&
         now - found->second.last_failure_at <= kFailureMemory;
}

bool ServerReach::MayTest(const std::string& service, TimePoint now) const {
  if (!this->IsServiceOutOfReach(service, now)) {
    return false;
  }
  const ServiceState& state = this->services.at(service);
  const TimePoint last =
      std::max(*state.believed_since, state.last_test_at.value_or(TimePoint{}));
  return now - last >= state.test_interval;
}

void ServerReach::RecordTest(const std::string& service, TimePoint now) {
  ServiceState& state = this->services[service];
  state.test_interval =
      std::min(state.test_interval * kTestIntervalGrowth, kMaxTestInterval);
  state.last_test_at = now;
}

std::vector<ReachChange> ServerReach::TakeChanges(TimePoint now) {
  for (auto& [service, state] : this->services) {
    const bool has_evidence = !state.failures.empty() &&
                              now - state.last_failure_at <= kFailureMemory &&
                              this->HasEvidence(service, state);
    if (state.believed_since && !has_evidence) {
      this->End(service, state, now);
    } else if (!state.believed_since && has_evidence) {
      this->Begin(service, state, now);
    }
  }
  return std::exchange(this->changes, {});
}

std::vector<std::string> ServerReach::ServicesOutOfReach(TimePoint now) const {
  std::vector<std::string> names;
  for (const auto& [service, state] : this->services) {
    if (this->IsServiceOutOfReach(service, now)) {
      names.push_back(service);
    }
  }
  return names;
}

int ServerReach::ServersOutOfReach(TimePoint now) const {
  return static_cast<int>(
      std::count_if(this->servers.begin(), this->servers.end(),
                    [this, now](const auto& item) {
                      return this->IsOutOfReach(item.first, now);
                    }));
}

}  // namespace rosemarycove
