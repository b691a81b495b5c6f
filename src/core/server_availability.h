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
  kPaused,     // It asked for a pause.
  kReturning,  // The pause is over; requests return by degrees.
  kResumed,    // It gets as many requests as others again.
};

// Returns the word that logs use.
std::string_view ToString(AvailabilityChangeKind kind);

// A change of the belief about one server.
struct AvailabilityChange {
  AvailabilityChangeKind kind = AvailabilityChangeKind::kLeaving;
  // The id of the server.
  std::string server;
  // The pause that it asked for, and the time for which it is kept; zero for
  // other changes.
  Duration asked{};
  Duration remaining{};
};

// What servers said about themselves holds for their lifetime only: a process
// that starts under the same id is another one, see LifetimeHash. It does not
// depend on the store, whose entries may be older. Instances don't tell each
// other, since each is told by the responses to its own requests.
//
// Each gateway instance owns one and uses it on its event loop.
class ServerAvailability {
 public:
  explicit ServerAvailability(std::string instance)
      : instance(std::move(instance)) {}

  // A leaving server may get requests for this long if there is no other one.
  static constexpr Duration kLastResortTime = std::chrono::seconds(1);
  // The longest pause that is kept. After it, a single request finds out
  // whether the server wants more.
  static constexpr Duration kMaxPause = std::chrono::seconds(60);

  // Records that the server said that it is leaving.
  void RecordLeaving(const RegisteredServer& server, TimePoint now);

  // Records that the server refused a request and asked for a pause.
  void RecordPause(const RegisteredServer& server, Duration asked,
                   TimePoint now);
  // Records that a request is sent to the server.
  void RecordSend(const RegisteredServer& server, TimePoint now);
  // Records that the server answered a request, sent at `sent_at`, without
  // asking for a pause.
  void RecordAnswer(const RegisteredServer& server, TimePoint sent_at,
                    TimePoint now);
  // Records that a request was refused because no server takes it now, this one
  // among them.
  void RecordRefusal(const RegisteredServer& server, int tier, TimePoint now);

  // Returns whether the server may get a request of the tier, as far as pauses
  // are concerned.
  [[nodiscard]] bool MaySend(const RegisteredServer& server, int tier,
                             TimePoint now) const;
  // Returns whether the server is in a pause for which it asked.
  [[nodiscard]] bool IsPaused(const RegisteredServer& server,
                              TimePoint now) const;
  // Returns the time until the server may get requests again.
  [[nodiscard]] Duration TimeToReturn(const RegisteredServer& server,
                                      TimePoint now) const;
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
  // The number of registered servers that are in a pause.
  [[nodiscard]] int paused_count(TimePoint now) const;

 private:
  // What one lifetime of a server said.
  struct State {
    std::string server;
    std::optional<TimePoint> leaving_since;
    // The end of the last pause at this instance; nullopt if there was none, or
    // once requests have returned.
    std::optional<TimePoint> paused_until;
    bool is_returning = false;
    // While requests return: the number that may be sent before an answer
    // arrives, those that were sent, and when the first of these was.
    int allowance = 1;
    int sent = 0;
    TimePoint first_sent_at;
    // The most urgent tier that was refused lately.
    std::optional<int> refused_tier;
    TimePoint refused_at;
    bool is_registered = true;
    TimePoint last_registered_at;
  };

  // Returns the state, which is created if there is none.
  State& StateOf(const RegisteredServer& server, TimePoint now);
  // Returns null if there is none.
  [[nodiscard]] const State* Find(const RegisteredServer& server) const;

  // Returns the state, or null if requests need not wait for anything.
  [[nodiscard]] State* FindPaused(const RegisteredServer& server);

  std::string instance;
  // By LifetimeHash.
  std::map<std::uint64_t, State> states;
  std::vector<AvailabilityChange> changes;
};

}  // namespace rosemarycove
