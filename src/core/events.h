// Events that a driver passes to a Node: its inputs.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "core/peer_messages.h"
#include "core/resources.h"
#include "core/types.h"

namespace rosemarycove {

// A caller's request was read and its customer was identified.
struct RequestArrived {
  RequestId id = 0;
  std::string customer;
  // Empty to use the customer's default class.
  std::string class_name;
  // Empty to use the service that offers `model`.
  std::string service;
  std::string model;
  int prompt_tokens = 0;
  int max_tokens = 0;             // 0 if the response has no limit.
  std::uint64_t prefix_hash = 0;  // Hash of the prompt's start; 0 if none.
  // False if the caller marked this request as not repeatable.
  bool repeatable = true;
  // The caller's idempotency key; empty if there is none.
  std::string idempotency_key;
  // SHA-256 of the request, to detect a different request with the same
  // idempotency key.
  std::string fingerprint;
};

// The caller closed its connection.
struct CallerDisconnected {
  RequestId id = 0;
};

// More of an attempt's response arrived. The time of the first event with
// tokens counts as the time of the first token.
struct AttemptProgress {
  RequestId id = 0;
  AttemptId attempt = 0;
  // Tokens received so far.
  int tokens = 0;
  // True if any of these tokens was forwarded to the caller.
  bool forwarded = false;
};

// The end of an attempt as the transport observed it.
enum class AttemptResult : std::uint8_t {
  kCompleted,      // The complete response arrived, with its final event.
  kNotSent,        // No connection: the request did not reach the server.
  kNotExecuted,    // The server reported that it did not execute the request.
  kAnsweredError,  // The server sent a well-formed response with an error.
  kLost,  // The connection broke or timed out, or the final event is missing.
  kMalformed,  // The response violated the protocol.
  kAbandoned,  // The caller stopped reading; not a fault of the server.
  kWrongId,    // The response belongs to another request.
};

// Returns the lower-case word used in logs.
std::string_view ToString(AttemptResult result);

// An attempt ended; no more of its response reaches the caller.
struct AttemptEnded {
  RequestId id = 0;
  AttemptId attempt = 0;
  AttemptResult result = AttemptResult::kLost;
  // Tokens received in total.
  int tokens = 0;
  // True if any of these tokens was forwarded to the caller.
  bool forwarded = false;
};

// A backend server reported its load.
struct LoadReported {
  std::string backend;
  TimePoint taken_at;  // When the server measured it.
  // Requests running on the server at that time, from all instances.
  int running = 0;
};

// A new set of resources replaces the current one.
struct ResourcesChanged {
  std::shared_ptr<const ResourceSet> resources;
};

// Result of a claim on an idempotency key in the platform's store.
enum class ClaimResult : std::uint8_t {
  kClaimed,              // The store holds the claim for this request.
  kIdempotencyKeyTaken,  // An identical request holds the key and may have been
                         // executed.
  kIdempotencyKeyReused,  // A different request used the key.
  kUnavailable,           // The store neither confirmed nor denied the claim.
};

// The result of a ClaimKey action.
struct ClaimAnswered {
  RequestId id = 0;
  ClaimResult result = ClaimResult::kUnavailable;
};

// The instance is shutting down: the node refuses new requests and continues
// the others until they end.
struct DrainStarted {};

// The time for the shutdown has run out: the node ends all requests.
struct DrainTimedOut {};

// Sent periodically, so that the node can act on timeouts.
struct Tick {};

// A peer reported that it is shutting down. It no longer schedules groups, but
// continues its running requests until they end.
struct PeerDraining {
  std::string peer;
};

using Event = std::variant<RequestArrived, CallerDisconnected, AttemptProgress,
                           AttemptEnded, LoadReported, ResourcesChanged,
                           ClaimAnswered, DrainStarted, DrainTimedOut, PeerUp,
                           PeerDraining, PeerDown, PeerMessageReceived, Tick>;

}  // namespace rosemarycove
