// Which backend servers this instance leaves alone for a while.
#pragma once

#include <string>
#include <unordered_map>

#include "core/types.h"

namespace rosemarycove {

// How a sending ended, as far as the server's health is concerned.
enum class SendResult : std::uint8_t {
  kAnswered,     // A whole answer, or the first event of a stream.
  kError,        // A well-formed answer that reports an error.
  kFull,         // The server said that it has no room.
  kUnreachable,  // No connection, or the connection was lost.
  kMalformed,    // The answer broke the protocol or stopped half-way.
  kSilent,       // Nothing came for far longer than expected.
};

// Returns the lower-case word that logs use.
std::string_view ToString(SendResult result);

// Whether a server may be given requests.
enum class ServerHealthStatus : std::uint8_t {
  kHealthy,
  kTrial,    // One request at a time, to see whether it has recovered.
  kEjected,  // None.
};

// Judges servers by what became of this instance's own requests; what a
// server says of its own health is not asked.
class ServerHealth {
 public:
  // Returns true when the server was ejected by this.
  bool RecordResult(const std::string& server, SendResult result,
                    TimePoint now);
  [[nodiscard]] ServerHealthStatus StatusOf(const std::string& server,
                                            TimePoint now) const;
  // A trial request was sent.
  void RecordTrial(const std::string& server, TimePoint now);
  void Forget(const std::string& server);
  // Until when the server is ejected.
  [[nodiscard]] TimePoint EjectedUntil(const std::string& server) const;

 private:
  struct State {
    // Moving averages of ends: errors, and errors of the protocol or the path.
    double error_rate = 0;
    int samples = 0;
    int failures_in_row = 0;
    int ejections = 0;
    bool suspect = false;
    TimePoint ejected_until;
    TimePoint trial_at;
    TimePoint last_failure;
  };

  [[nodiscard]] double UsualErrorRate(const std::string& server) const;
  void Eject(State& state, TimePoint now);

  std::unordered_map<std::string, State> states;
};

}  // namespace rosemarycove
