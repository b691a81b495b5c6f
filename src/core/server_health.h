// Outlier ejection: finds backend servers that this instance should avoid. Used
// by the proxy (src/proxy); Scheduler uses the health in BackendState.
#pragma once

#include <string>
#include <unordered_map>

#include "core/types.h"

namespace rosemarycove {

// The result of an attempt, as far as the server's health is concerned.
enum class SendResult : std::uint8_t {
  kAnswered,     // A complete response, or the first event of a stream.
  kError,        // A well-formed response that reports an error.
  kFull,         // The server reported that it has no capacity.
  kUnreachable,  // The connection failed or was lost.
  kMalformed,    // The response was invalid or incomplete.
  kSilent,       // The server sent nothing before a timeout.
};

// Returns the word that logs use.
std::string_view ToString(SendResult result);

// Whether a server may receive requests.
enum class ServerHealthStatus : std::uint8_t {
  kHealthy,
  kTrial,    // A request may be sent now, to test whether the server recovered.
  kEjected,  // No requests: in an ejection, or between two trials.
};

// Ejects servers for the results of this instance's own requests; it does not
// use what a server reports about its own health. The placer owns it.
class ServerHealth {
 public:
  // Records a result; returns whether it ejects the server.
  bool RecordResult(const std::string& server, SendResult result,
                    TimePoint now);
  [[nodiscard]] ServerHealthStatus StatusOf(const std::string& server,
                                            TimePoint now) const;
  // Records that a trial request is sent.
  void RecordTrial(const std::string& server, TimePoint now);
  // Drops the state of a server that restarted or is gone.
  void Forget(const std::string& server);
  // Returns the end of the current or last ejection; the epoch if there was
  // none.
  [[nodiscard]] TimePoint EjectedUntil(const std::string& server) const;

 private:
  struct State {
    // Exponential moving average: the share of results that are failures.
    double error_rate = 0;
    int result_count = 0;
    // Failures since the last result that was not a failure; error responses do
    // not count.
    int consecutive_failures = 0;
    // Number of recent ejections; determines the length of the next one.
    int ejection_count = 0;
    // True if the server was ejected and no later request succeeded.
    bool is_suspect = false;
    TimePoint ejected_until;
    TimePoint last_trial_at;
    TimePoint last_failure_at;
  };

  // Returns the mean error rate of the other servers that have enough results.
  [[nodiscard]] double MeanErrorRateOfOthers(const std::string& server) const;
  void Eject(State& state, TimePoint now);

  std::unordered_map<std::string, State> states;
};

}  // namespace rosemarycove
