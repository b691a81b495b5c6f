// What a node wants done: the outputs of the core.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/scheduler.h"
#include "core/types.h"

namespace rosemarycove {

// Send the request to the backend server, as one attempt.
struct SendAttempt {
  RequestId id = 0;
  AttemptId attempt = 0;
  std::string backend;
  std::string address;
  // The class's tier, for engines that honour priorities.
  int priority = 0;
};

// Stop an attempt on its backend server; its end is not awaited.
struct CancelAttempt {
  RequestId id = 0;
  AttemptId attempt = 0;
};

// Put a claim on an idempotency key into the platform's store, and answer with
// ClaimAnswered. Nothing of the request is sent before.
struct ClaimKey {
  RequestId id = 0;
  std::string customer;
  std::string key;
  std::string fingerprint;
};

// Why a request ended as it did.
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
  kAnswerCrossed,
  kCallerLeft,
  kKeyTaken,
  kKeyReused,
  kStoreUnavailable,
  kUnknownRoute,
  kUnknownKey,
  kAmbiguous,
};

// A request's one outcome.
struct FinishRequest {
  RequestId id = 0;
  Outcome outcome = Outcome::kFailed;
  EndCause cause = EndCause::kAnswered;
  ExecutionStatus execution = ExecutionStatus::kNotExecuted;
  // When the caller should come back; 0 is not said.
  Duration retry_after{};
  std::string customer;
  std::string class_name;
  int tier = 0;
  // Whether its class's target was met.
  bool on_target = false;
  Duration wait_time{};
  Duration time_to_first_token{};  // From arrival; 0 without one.
  Duration total_time{};           // From arrival to this outcome.
  int tokens = 0;
  // Tokens that were generated for it and not used.
  int wasted_tokens = 0;
  int attempts = 0;
};

// A placement decision, for the log.
struct PlacementDecision {
  Placement placement;
  AttemptId attempt = 0;
  std::string customer;
  std::string class_name;
  std::string backend;
  std::vector<std::string> skipped;
  Duration wait_time{};
  // The instance that asked, when it is another one.
  std::string requested_by;
};

// A slot that another instance granted, for the log.
struct SlotAccepted {
  RequestId id = 0;
  AttemptId attempt = 0;
  std::string scheduler;
  std::string backend;
  Duration wait_time{};
};

// Returns the lower-case word that answers, logs and counters use.
std::string_view ToString(EndCause cause);

}  // namespace rosemarycove
