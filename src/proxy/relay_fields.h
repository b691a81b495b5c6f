// The header fields that instances add to the requests that they relay to each
// other. They are read only on the listener for instances, never from callers.
#pragma once

#include <optional>
#include <string>

#include "core/actions.h"
#include "core/types.h"
#include "proxy/call_dialect.h"
#include "proxy/http_head.h"

namespace rosemarycove {

// What the instance that got a request from its caller tells the one to which
// it relays the request.
struct RelayedRequest {
  // The name of the instance that got the request from its caller.
  std::string from_instance;
  // Time since the request arrived there.
  Duration age{};
  // The id of the last event that the caller has of the stream; empty if the
  // request doesn't go on with one.
  std::string last_event_id;
  // Attempts before that a server may have executed.
  int possible_executions = 0;
};

// What the response to a relayed request says about its origin.
struct RelayedResponse {
  // The id of the server that responded; empty if no server did.
  std::string server;
  // Set if the other instance ended the request itself.
  struct Ending {
    EndCause cause = EndCause::kNoBackend;
    // Certainly no server executed the request there.
    bool not_executed = false;
    // Requests that were sent to servers there, also if those rejected them.
    int sent_attempts = 0;
    Duration retry_after{};
  };
  std::optional<Ending> ending;
};

// Returns the head of a caller's request for another instance: method, target
// and fields unchanged but for those that concern one connection only, then the
// fields of `relayed`.
std::string WriteRelayedRequestHead(const RequestHead& head,
                                    std::size_t body_bytes,
                                    const CallDialect& dialect,
                                    const RelayedRequest& relayed);
// Reads what another instance says of a request and removes it from the head.
// Returns nullopt if a field is missing or invalid.
std::optional<RelayedRequest> TakeRelayedRequest(RequestHead& head);

// The most bytes by which these fields lengthen the head of a request.
inline constexpr std::size_t kMaxRelayFieldBytes = 2048;

// Marks the head of a server's response for the instance that relayed the
// request. Replaces such fields of the server's own.
void SetRelayedServer(ResponseHead& head, const std::string& server);
// Returns the fields of the response with which this instance itself ends a
// relayed request.
std::vector<HeaderField> RelayedEndingFields(
    const RelayedResponse::Ending& ending);
// Reads what the response says and removes it from the head. Returns nullopt if
// the response is none of an instance to a relayed request.
std::optional<RelayedResponse> TakeRelayedResponse(ResponseHead& head);

}  // namespace rosemarycove
