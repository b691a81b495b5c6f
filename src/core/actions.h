// Actions that a node returns to its driver: the outputs of the core.
#pragma once

#include <string>
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
  // The tier of the request's class, for engines that support priorities.
  int priority = 0;
};

// Cancels an attempt on its backend server. The node expects no AttemptEnded
// event for it.
struct CancelAttempt {
  RequestId id = 0;
  AttemptId attempt = 0;
};

// Records a claim on an idempotency key in the platform's store. The driver
// answers with a ClaimAnswered event; until then the request is not sent to any
// backend server.
struct ClaimKey {
  RequestId id = 0;
  std::string customer;
  std::string key;
  std::string fingerprint;
};

// The reason for a request's outcome. The numbers are sent between instances
// and must not change.
enum class EndCause : std::uint8_t {
  kAnswered,
  kUnknownModel,
  kUnknownService,
  kClassNotAllowed,
  kCustomerLimit,
  kClassLimit,
  kQueueFull,
  kEvicted,
  kLate,
  kMaxWait,
  kDraining,
  kNotReady,
  kNoBackend,
  kBackendError,
  kAnswerLost,
  kAnswerMalformed,
  kWrongAnswerId,
  kCallerLeft,
  kIdempotencyKeyTaken,
  kIdempotencyKeyReused,
  kStoreUnavailable,
  kUnknownRoute,
  kUnknownApiKey,
  kAmbiguousHeader,
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
  // From arrival to the start of the last attempt, or to this outcome if there
  // was no attempt.
  Duration wait_time{};
  Duration time_to_first_token{};  // From arrival; 0 if there was no token.
  Duration total_time{};           // From arrival to this outcome.
  int tokens = 0;
  // Generated tokens that did not become part of a completed answer.
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
  // Names of the backend servers that were not chosen, each with the cause.
  std::vector<std::string> skipped;
  Duration wait_time{};
  // The instance that requested the slot; empty if it is this one.
  std::string requested_by;
};

// Reports that a slot granted by another instance is used, for the log.
struct SlotAccepted {
  RequestId id = 0;
  AttemptId attempt = 0;
  std::string scheduler;
  std::string backend;
  Duration wait_time{};
};

// Returns the lower-case word used in answers, logs and counters.
std::string_view ToString(EndCause cause);

}  // namespace rosemarycove
