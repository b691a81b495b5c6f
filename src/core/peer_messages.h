// Messages between Nodes about slots on backend servers, sent by PeerLinks.
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
// its slot request id; a message with an older id was sent before the
// withdrawal arrived and is ignored.
struct SlotRequest {
  RequestId id = 0;
  // Assigned by the requesting instance and repeated in the messages about it.
  std::uint64_t slot_request_id = 0;
  std::string class_name;
  std::string customer;
  std::string service;
  std::string model;
  // Index of the group; see scheduler.h.
  std::uint32_t group = 0;
  // From the request's arrival to this message.
  Duration wait_time{};
  int prompt_tokens = 0;
  int max_tokens = 0;
  std::uint64_t prefix_hash = 0;
  // Names of the backend servers where earlier attempts failed.
  std::vector<std::string> tried;
};

// Withdraws a slot request: the request no longer needs a slot from this
// scheduler.
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

// Refuses a slot request; the request is no longer queued.
struct SlotRefused {
  RequestId id = 0;
  std::uint64_t slot_request_id = 0;
  EndCause cause = EndCause::kQueueFull;
  // How long the caller should wait before it retries.
  Duration retry_after{};
};

// Reports the tokens that a running request received in the time `elapsed`
// since its last report.
struct SlotProgress {
  RequestId id = 0;
  std::uint64_t slot_request_id = 0;
  int tokens = 0;
  Duration elapsed{};
};

// The result of an attempt for the health of its backend server; kNeutral does
// not affect it. The numbers are sent between instances and must not change.
enum class SlotEnd : std::uint8_t { kSuccess, kFailure, kNeutral };

// Releases a slot: the attempt ended, or the slot is not used.
struct SlotReleased {
  RequestId id = 0;
  std::uint64_t slot_request_id = 0;
  SlotEnd end = SlotEnd::kNeutral;
  // Tokens of the response, for the length prediction.
  int tokens = 0;
};

// Reports to the new scheduler of a group a slot that its previous scheduler
// granted and that is still in use.
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

// Sends a message to another instance. It is lost if the link is down. After a
// link loss, each side discards the slots that it granted to the other, and the
// requesting instance sends its requests and slots to the group's new
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

// The link to an instance was lost.
struct PeerDown {
  std::string peer;
};

// A message from another instance arrived.
struct PeerMessageReceived {
  std::string peer;
  PeerMessage message;
};

}  // namespace rosemarycove
