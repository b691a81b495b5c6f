// Remembers which backend servers take no requests now, because they said so in
// their responses. Used by the proxy (src/proxy).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/backend_directory.h"
#include "core/types.h"

namespace rosemarycove {

// How the belief about a server changed.
enum class AvailabilityChangeKind : std::uint8_t {
  kLeaving,    // It said that it is leaving.
  kForgotten,  // The process that said so is not registered any more.
};

// Returns the word that logs use.
std::string_view ToString(AvailabilityChangeKind kind);

// A change of the belief about one server.
struct AvailabilityChange {
  AvailabilityChangeKind kind = AvailabilityChangeKind::kLeaving;
  // The id of the server.
  std::string server;
};

// What servers said about themselves holds for their lifetime only: a process
// that starts under the same id is another one, see LifetimeHash. It does not
// depend on the store, whose entries may be older. Instances don't tell each
// other, since each is told by the responses to its own requests.
//
// Each gateway instance owns one and uses it on its event loop.
class ServerAvailability {
 public:
  // A leaving server may get requests for this long if there is no other one.
  static constexpr Duration kLastResortTime = std::chrono::seconds(1);

  // Records that the server said that it is leaving.
  void RecordLeaving(const RegisteredServer& server, TimePoint now);

  // Returns whether other servers are preferred, since it is leaving.
  [[nodiscard]] bool IsLeaving(const RegisteredServer& server) const;
  // Returns whether it left so long ago that it gets no requests at all.
  [[nodiscard]] bool HasLeft(const RegisteredServer& server,
                             TimePoint now) const;

  // Drops what is known of lifetimes that have not been registered for long: a
  // registration may come back. Called periodically with the servers by id.
  void Tick(const std::map<std::string, RegisteredServer>& registered,
            TimePoint now);
  // Returns the changes since the last call.
  std::vector<AvailabilityChange> TakeChanges() {
    return std::exchange(this->changes, {});
  }
  // The number of registered servers that are leaving.
  [[nodiscard]] int leaving_count() const;

 private:
  // What one lifetime of a server said.
  struct State {
    std::string server;
    std::optional<TimePoint> leaving_since;
    bool is_registered = true;
    TimePoint last_registered_at;
  };

  // Returns the state, which is created if there is none.
  State& StateOf(const RegisteredServer& server, TimePoint now);
  // Returns null if there is none.
  [[nodiscard]] const State* Find(const RegisteredServer& server) const;

  // By LifetimeHash.
  std::map<std::uint64_t, State> states;
  std::vector<AvailabilityChange> changes;
};

}  // namespace rosemarycove
