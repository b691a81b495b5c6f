// Actions that a Node returns to its driver: its outputs. EndCause is also used
// by the proxy (src/proxy).
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/scheduler.h"
#include "core/types.h"

namespace rosemarycove {

// Sends the request to the backend server as one attempt.
struct SendAttempt {
  RequestId id = 0;
  AttemptId attempt = 0;
  std::string backend;
  std::string address;
  // The tier of the request's class, for backend servers that support
  // priorities; smaller numbers are more important.
  int priority = 0;
};

// Cancels an attempt on its backend server. The node ignores an AttemptEnded
// event that arrives for it nevertheless.
struct CancelAttempt {
  RequestId id = 0;
  AttemptId attempt = 0;
};

// Records a claim on an idempotency key in the platform's store. The driver
// reports the result with a ClaimAnswered event; before that, the request is
// not sent to any backend server.
struct ClaimKey {
  RequestId id = 0;
  std::string customer;
  std::string key;
  std::string fingerprint;
};

// The reason for a request's outcome. The numbers are sent between instances
// and must not change.
enum class EndCause : std::uint8_t {
  kAnswered,         // The caller got the complete response.
  kUnknownModel,     // No service offers the model.
  kUnknownService,   // The service does not exist or has no backend servers.
  kClassNotAllowed,  // The class is unknown or not allowed to the customer.
  kCustomerLimit,    // The customer has too many requests in flight.
  kClassLimit,       // The class has too many requests in flight.
  kQueueFull,  // No queue position is free, or no server had capacity in time.
  kEvicted,    // A request of a more important tier got its queue position.
  kLate,       // It can no longer meet its target; its class refuses late ones.
  kMaxWait,    // It waited too long or passed its deadline.
  kDraining,   // The instance is shutting down.
  kNotReady,   // The instance has no configuration for the request yet.
  // No backend server is available, or none executed the request.
  kNoBackend,
  kBackendError,          // The server responded with an error.
  kAnswerLost,            // The server's response is missing or incomplete.
  kAnswerMalformed,       // The server's response violated the protocol.
  kWrongAnswerId,         // The server's response belonged to another request.
  kCallerLeft,            // The caller disconnected.
  kIdempotencyKeyTaken,   // An identical request used the idempotency key.
  kIdempotencyKeyReused,  // A different request used the idempotency key.
  kStoreUnavailable,      // The store did not confirm the idempotency key.
  kUnknownRoute,          // No route matches the host and path.
  kUnknownApiKey,         // The API key is missing or unknown.
  kAmbiguousHeader,       // Header fields of the request conflict.
  kQuarantined,           // The request crashes servers; see RequestQuarantine.
  // The rate limits that the servers name are used up; see ServerRateLimits.
  kRateLimited,
  // It resumes a stream that several software versions may have begun.
  kUnknownSoftware,
  // No server has the software that began the stream that it resumes.
  kSoftwareGone,
  kServersPaused,  // The servers asked for pauses; see ServerAvailability.
  kNoMemory,       // There was no memory left for it.
};

// Reports the outcome of a request to its caller and to the logs. Each request
// gets exactly one.
struct FinishRequest {
  RequestId id = 0;
  Outcome outcome = Outcome::kFailed;
  EndCause cause = EndCause::kAnswered;
  ExecutionStatus execution = ExecutionStatus::kNotExecuted;
  // How long the caller should wait before it retries; 0 if there is no advice.
  Duration retry_after{};
  std::string customer;
  std::string class_name;
  int tier = 0;
  // True if the request met the target of its class.
  bool on_target = false;
  // From arrival to the start of the last attempt, including earlier attempts;
  // to this outcome if there was no attempt.
  Duration wait_time{};
  Duration time_to_first_token{};  // From arrival; 0 if there was no token.
  Duration total_time{};           // From arrival to this outcome.
  int tokens = 0;
  // Generated tokens that did not become part of a complete response.
  int wasted_tokens = 0;
  int attempts = 0;
};

// Reports a placement decision, for the log.
struct PlacementDecision {
  Placement placement;
  AttemptId attempt = 0;
  std::string customer;
  std::string class_name;
  std::string backend;
  // The backend servers that were not chosen, each as "name:cause" with the
  // word of its SkipCause.
  std::vector<std::string> skipped;
  // From the request's arrival, including earlier attempts.
  Duration wait_time{};
  // The instance that requested the slot; empty if it is this one.
  std::string requested_by;
};

// Reports that a request uses the slot that another instance granted, for the
// log.
struct SlotAccepted {
  RequestId id = 0;
  AttemptId attempt = 0;
  // The instance that granted the slot.
  std::string scheduler;
  std::string backend;
  // From the request's arrival, including earlier attempts.
  Duration wait_time{};
};

// Returns the lower-case word used in responses, logs and counters.
std::string_view ToString(EndCause cause);
// Returns the cause with this word; nullopt if there is none.
std::optional<EndCause> EndCauseOf(std::string_view word);

}  // namespace rosemarycove
