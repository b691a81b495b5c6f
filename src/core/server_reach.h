// Finds backend servers and services that this instance can't reach. Used by
// the proxy (src/proxy).
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/backend_directory.h"
#include "core/types.h"

namespace rosemarycove {

// The belief about a service changed.
struct ReachChange {
  std::string service;
  bool is_out_of_reach = false;
  // Time since the first of the failures that led to the belief.
  Duration since{};
  // Distinct servers that failed since the last contact with the service, and
  // the number of its registered servers.
  int servers_failed = 0;
  int servers = 0;
  // Time since the last contact before the failures; nullopt if there was none.
  std::optional<Duration> last_contact;
};

// Knows which servers this instance reaches, from its own attempts only: other
// instances may well reach servers that this one is cut off from.
//
// A service is believed to be out of reach if attempts at all its servers
// failed without a response, or at several of them, and none of its servers
// answered in between. The belief ends with the first answer to a request that
// was sent after it began: answers to older ones may arrive over connections
// that outlive a cut. While the belief holds, single requests test it.
// ServerReach is owned by the placer.
class ServerReach {
 public:
  // The directory must outlive the object.
  explicit ServerReach(const BackendDirectory& directory)
      : directory(directory) {}

  // Records that an attempt got nothing back: the connection was refused, timed
  // out, or ended before a response.
  void RecordFailure(const std::string& server, const std::string& service,
                     TimePoint now);
  // Records the head of a response to a request that was sent at `sent_at`.
  void RecordContact(const std::string& server, const std::string& service,
                     TimePoint sent_at, TimePoint now);
  // The same for a request that was sent just now.
  void RecordContact(const std::string& server, const std::string& service,
                     TimePoint now) {
    this->RecordContact(server, service, now, now);
  }
  // Drops what is known of a server that restarted or is gone.
  void Forget(const std::string& server);

  // Returns whether the server failed since its last contact: repeatedly, or
  // together with its service.
  [[nodiscard]] bool IsOutOfReach(const std::string& server,
                                  TimePoint now) const;
  // Returns whether a server of the service failed since its last contact.
  [[nodiscard]] bool HasFailures(const std::string& service) const;
  // Returns whether the server failed since its last contact, if only once.
  [[nodiscard]] bool HasFailed(const std::string& server) const {
    return this->servers.contains(server);
  }
  // Returns whether the server failed since the last contact with any server of
  // the service.
  [[nodiscard]] bool HasFailedSinceContact(const std::string& server,
                                           const std::string& service,
                                           TimePoint now) const;
  [[nodiscard]] bool IsServiceOutOfReach(const std::string& service,
                                         TimePoint now) const;
  // Returns whether a request may now test whether the service, which is out of
  // reach, answers again.
  [[nodiscard]] bool MayTest(const std::string& service, TimePoint now) const;
  // Records that a test is sent.
  void RecordTest(const std::string& service, TimePoint now);

  // Ends beliefs whose evidence is gone, and begins those for which the
  // evidence of the remaining servers suffices; returns the changes since the
  // last call.
  [[nodiscard]] std::vector<ReachChange> TakeChanges(TimePoint now);
  [[nodiscard]] std::vector<std::string> ServicesOutOfReach(
      TimePoint now) const;
  [[nodiscard]] int ServersOutOfReach(TimePoint now) const;

 private:
  struct ServerState {
    std::string service;
    // Failures since the last contact.
    int failures = 0;
    TimePoint last_failure_at;
  };
  struct ServiceState {
    // Failures by server since the last contact with any of them.
    std::map<std::string, int> failures;
    TimePoint first_failure_at;
    TimePoint last_failure_at;
    std::optional<TimePoint> last_contact_at;
    // When the belief began; nullopt if the service is not out of reach.
    std::optional<TimePoint> believed_since;
    // When the last belief ended.
    std::optional<TimePoint> believed_until;
    std::optional<TimePoint> last_test_at;
    Duration test_interval{};
  };

  // Returns the number of servers of the service that take requests.
  [[nodiscard]] int CountServers(const std::string& service) const;
  // Returns whether the failures suffice for the belief.
  [[nodiscard]] bool HasEvidence(const std::string& service,
                                 const ServiceState& state) const;
  void Begin(const std::string& service, ServiceState& state, TimePoint now);
  void End(const std::string& service, ServiceState& state, TimePoint now);
  void AddChange(const std::string& service, const ServiceState& state,
                 TimePoint now);

  const BackendDirectory& directory;
  // By id.
  std::map<std::string, ServerState> servers;
  // By name.
  std::map<std::string, ServiceState> services;
  std::vector<ReachChange> changes;
};

}  // namespace rosemarycove
