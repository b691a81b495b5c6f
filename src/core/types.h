// Basic types that every part of the core shares.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace rosemarycove {

// Monotonic time. The core never reads a clock: every call is given its time.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

// Names one caller's request within one instance.
using RequestId = std::uint64_t;
// Names one sending of a request to a backend server.
using AttemptId = std::uint64_t;

// How a request that reached the node ended. Each has exactly one.
enum class Outcome : std::uint8_t {
  kCompleted,  // The caller was given the whole answer.
  kRefused,    // Certainly not run: no backend server saw it.
  kFailed,     // Sent, and ended with an error.
  kCancelled,  // The caller left.
  kUnknown,    // Sent once, may have run, must not be repeated.
};

// Whether the work of a request was run by a backend server.
enum class ExecutionStatus : std::uint8_t { kNotExecuted, kExecuted, kUnknown };

// Returns the lower-case word that answers, logs and counters use.
std::string_view ToString(Outcome outcome);
std::string_view ToString(ExecutionStatus status);

// Converts to seconds, for rates and logs.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Converts to milliseconds, with fractions.
constexpr double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Converts seconds to a Duration.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace rosemarycove
