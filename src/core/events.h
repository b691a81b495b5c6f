// What happens to a node: the inputs of the core.
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

// A caller's request was read and its customer is known.
struct RequestArrived {
  RequestId id = 0;
  std::string customer;
  // Empty for the customer's default class.
  std::string class_name;
  // Empty to have it found by `model`.
  std::string service;
  std::string model;
  int prompt_tokens = 0;
  int max_tokens = 0;
  std::uint64_t prefix_hash = 0;
  // False where the caller marked this request as not repeatable.
  bool repeatable = true;
  // The caller's idempotency key; empty is none.
  std::string idempotency_key;
  // SHA-256 of what was asked, to tell another request under the same key.
  std::string fingerprint;
};

// The caller closed its connection.
struct CallerDisconnected {
  RequestId id = 0;
};

// An attempt's answer grew. The first one marks the first token.
struct AttemptProgress {
  RequestId id = 0;
  AttemptId attempt = 0;
  // Tokens received so far.
  int tokens = 0;
  // Whether any of them was passed on to the caller.
  bool forwarded = false;
};

// How an attempt ended, as the transport saw it.
enum class AttemptResult : std::uint8_t {
  kCompleted,      // The whole answer arrived, with its final event.
  kNotSent,        // No connection: the server never saw the request.
  kNotRun,         // The server answered that it did not run it.
  kAnsweredError,  // A well-formed answer that reports an error.
  kLost,       // Connection lost, timed out, or ended without its final event.
  kMalformed,  // The answer broke the protocol.
  kAbandoned,  // The caller took no more of it; the server did no wrong.
  kWrongId,    // The answer belongs to another request.
};

// Returns the lower-case word that logs use.
std::string_view ToString(AttemptResult result);

// An attempt is over; nothing more of it reaches the caller.
struct AttemptEnded {
  RequestId id = 0;
  AttemptId attempt = 0;
  AttemptResult result = AttemptResult::kLost;
  int tokens = 0;
  bool forwarded = false;
};

// A backend server told its load.
struct LoadReported {
  std::string backend;
  TimePoint taken_at;
  int running = 0;
};

// A new set of resources is to be in force.
struct ResourcesChanged {
  std::shared_ptr<const ResourceSet> resources;
};

// What the platform's store said of a claim on an idempotency key.
enum class ClaimResult : std::uint8_t {
  kClaimed,      // The claim is in the store and is this request's.
  kKeyTaken,     // Another request holds the key; it may have run.
  kKeyReused,    // The key was used for a different request.
  kUnavailable,  // The store can't be asked: nothing was claimed for sure.
};

// The answer to a ClaimKey action.
struct ClaimAnswered {
  RequestId id = 0;
  ClaimResult result = ClaimResult::kUnavailable;
};

// The node was asked to stop: nothing new is taken, what runs is finished.
struct DrainStarted {};

// Time passed.
struct Tick {};

// A peer says that it is leaving: it takes no new role, and what it holds
// stays until it ends.
struct PeerLeaving {
  std::string peer;
};

using Event = std::variant<RequestArrived, CallerDisconnected, AttemptProgress,
                           AttemptEnded, LoadReported, ResourcesChanged,
                           ClaimAnswered, DrainStarted, PeerUp, PeerLeaving,
                           PeerDown, PeerMessageReceived, Tick>;

}  // namespace rosemarycove
