// What instances tell each other about slots on backend servers.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/actions.h"
#include "core/scheduler.h"
#include "core/types.h"

namespace rosemarycove {

// Asks the scheduler of a group for a slot. The request is named by the asking
// instance's own number. A request asks anew after a withdrawal, so every
// message about a slot names the ask it belongs to; what names another one has
// crossed a withdrawal and is not about the present ask.
struct SlotRequest {
  RequestId id = 0;
  // The asking instance's number of this ask, which the answers repeat.
  std::uint64_t slot_request_id = 0;
  std::string class_name;
  std::string customer;
  std::string service;
  std::string model;
  std::uint32_t group = 0;
  Duration wait_time{};
  int prompt_tokens = 0;
  int max_tokens = 0;
  std::uint64_t prefix_hash = 0;
  // Names of backend servers where it failed before.
  std::vector<std::string> tried;
};

// The request needs no slot any more.
struct SlotRequestWithdrawn {
  RequestId id = 0;
  std::uint64_t slot_request_id = 0;
};

// The request may be sent to this backend server.
struct SlotGranted {
  RequestId id = 0;
  std::uint64_t slot_request_id = 0;
  std::string backend;
};

// The request lost its place; it was not sent.
struct SlotRefused {
  RequestId id = 0;
  std::uint64_t slot_request_id = 0;
  EndCause cause = EndCause::kQueueFull;
  Duration retry_after{};
};

// Tokens that a granted request received since it last said so.
struct SlotProgress {
  RequestId id = 0;
  std::uint64_t slot_request_id = 0;
  int tokens = 0;
  Duration elapsed{};
};

// What the end of a granted request says of the backend server.
enum class SlotEnd : std::uint8_t { kSuccess, kFailure, kNeutral };

// The slot is free again.
struct SlotReleased {
  RequestId id = 0;
  std::uint64_t slot_request_id = 0;
  SlotEnd end = SlotEnd::kNeutral;
  int tokens = 0;
};

// Tells a new scheduler of a slot that an earlier one granted.
struct SlotHeld {
  RequestId id = 0;
  std::uint64_t slot_request_id = 0;
  std::string backend;
  std::string class_name;
  std::string customer;
};

using PeerMessage =
    std::variant<SlotRequest, SlotRequestWithdrawn, SlotGranted, SlotRefused,
                 SlotProgress, SlotReleased, SlotHeld>;

// Send a message to another instance. Lost when the link is down: both sides
// then start anew from what the asking instance says.
struct SendToPeer {
  std::string peer;
  PeerMessage message;
};

using Action = std::variant<SendAttempt, CancelAttempt, ClaimKey, FinishRequest,
                            PlacementDecision, SlotAccepted, SendToPeer>;

// A link to an instance of the same data centre came up.
struct PeerUp {
  std::string peer;
};

// A link went down, or its instance is leaving.
struct PeerDown {
  std::string peer;
};

// A message from another instance.
struct PeerMessageReceived {
  std::string peer;
  PeerMessage message;
};

}  // namespace rosemarycove
