// Basic types of the core.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace rosemarycove {

// Monotonic time. The core does not read a clock; its callers pass the time.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

// Identifies a caller's request within one instance.
using RequestId = std::uint64_t;
// Identifies one attempt: a request sent to a backend server once.
using AttemptId = std::uint64_t;

// How a request ended. Each request has exactly one outcome. Used by Node and
// by the proxy (src/proxy).
enum class Outcome : std::uint8_t {
  kCompleted,  // The caller got the complete response.
  kRefused,    // Not executed by any backend server.
  // Counts as executed, and ended with an error or an incomplete response.
  kFailed,
  kCancelled,  // The caller disconnected.
  // May have been executed, and the caller got no complete response.
  kUnknown,
};

// Whether a backend server executed a request, at least in part.
enum class ExecutionStatus : std::uint8_t { kNotExecuted, kExecuted, kUnknown };

// Returns the lower-case word used in responses, logs and counters.
std::string_view ToString(Outcome outcome);
std::string_view ToString(ExecutionStatus status);

// Converts to seconds, for rates and logs.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Converts to milliseconds, including fractions.
constexpr double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Converts seconds to a Duration.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace rosemarycove
