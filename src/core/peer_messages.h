// Messages between instances about slots on backend servers.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/actions.h"
#include "core/scheduler.h"
#include "core/types.h"

namespace rosemarycove {

// Requests a slot from the instance that schedules a group. A slot is the right
// to send one request to a backend server; `id` is the request's id at the
// requesting instance. That instance can withdraw a slot request and send
// another one for the same request. All messages about a slot therefore carry
// its slot request id; a message with an older id crossed a withdrawal and does
// not apply to the current slot request.
struct SlotRequest {
  RequestId id = 0;
  // Assigned by the requesting instance and repeated in the answers.
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
  // Names of the backend servers where earlier attempts failed.
  std::vector<std::string> tried;
};

// Withdraws a slot request. The request needs no slot from this scheduler any
// more.
struct SlotRequestWithdrawn {
  RequestId id = 0;
  std::uint64_t slot_request_id = 0;
};

// Grants a slot: the request may be sent to this backend server.
struct SlotGranted {
  RequestId id = 0;
  std::uint64_t slot_request_id = 0;
  std::string backend;
};

// Refuses a slot request; the request waits no longer.
struct SlotRefused {
  RequestId id = 0;
  std::uint64_t slot_request_id = 0;
  EndCause cause = EndCause::kQueueFull;
  Duration retry_after{};
};

// Reports the tokens that a request with a slot received since its last report.
struct SlotProgress {
  RequestId id = 0;
  std::uint64_t slot_request_id = 0;
  int tokens = 0;
  Duration elapsed{};
};

// What the end of an attempt says about the health of the backend server. The
// numbers are sent between instances.
enum class SlotEnd : std::uint8_t { kSuccess, kFailure, kNeutral };

// Reports that the attempt ended and its slot is free.
struct SlotReleased {
  RequestId id = 0;
  std::uint64_t slot_request_id = 0;
  SlotEnd end = SlotEnd::kNeutral;
  int tokens = 0;
};

// Reports a slot granted by an earlier scheduler to the new scheduler of the
// group.
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

// Sends a message to another instance. It is lost if the link is down. Each
// side then discards the slots that it shared with the other, and the
// requesting instance registers its requests and slots with the group's new
// scheduler.
struct SendToPeer {
  std::string peer;
  PeerMessage message;
};

using Action = std::variant<SendAttempt, CancelAttempt, ClaimKey, FinishRequest,
                            PlacementDecision, SlotAccepted, SendToPeer>;

// A link to an instance of the same data centre was established.
struct PeerUp {
  std::string peer;
};

// A link was lost.
struct PeerDown {
  std::string peer;
};

// A message from another instance arrived.
struct PeerMessageReceived {
  std::string peer;
  PeerMessage message;
};

}  // namespace rosemarycove
