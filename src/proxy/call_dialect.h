// The header fields that the gateway's data path reads and writes.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/prompt_cache_map.h"
#include "core/types.h"
#include "core/urgency.h"
#include "proxy/http_head.h"

namespace rosemarycove {

// The contents of the header fields of a caller's request.
struct RequestInfo {
  // The request id chosen by the caller; empty if it sent none.
  std::string request_id;
  // nullopt if the caller sent none.
  std::optional<std::string> api_key;
  // How long the caller waits for the response; nullopt if the
  // request does not state it.
  std::optional<Duration> timeout;
  std::vector<PromptPart> prompt_parts;
  // Number of tokens in the prompt; 0 if unknown.
  int prompt_tokens = 0;
  // Expected number of tokens in the response; 0 if unknown.
  int expected_output_tokens = 0;
  // A field that must occur at most once occurs several times.
  bool has_conflicting_fields = false;
  // The id of the last event that the caller received of the stream that it
  // resumes; empty if it resumes none.
  std::string last_event_id;
  // The id of the request that received the first event of this stream; empty
  // if the caller names none.
  std::string resumed_request;
};

// What is sent to a backend server in addition to the caller's own fields.
struct AttemptInfo {
  // Time left until the request's deadline.
  Duration remaining{};
  std::string server_id;
  // Empty if the request has no customer, as on routes without API keys.
  std::string customer;
  Urgency urgency;
  // The highest tier number, which is the least urgent, in the configuration.
  int max_tier = 0;
  // The id of the last event received of the stream to be resumed; may be
  // empty.
  std::string last_event_id;
};

// The contents of the header fields of a backend server's response.
struct ResponseInfo {
  // The id of the request that it belongs to; empty if absent.
  std::string request_id;
  // The server states that it did not execute the request.
  bool not_executed = false;
  // The response has the field that servers add to the responses that they
  // generate themselves.
  bool is_from_server = false;
  // A server other than the intended one listens on the address.
  bool is_misdirected = false;
  // The server is leaving.
  bool is_leaving = false;
  // The numbers of requests at the server.
  struct Load {
    int running = 0;
    int waiting = 0;
    // How long work takes now, relative to the usual time; nullopt if the
    // server doesn't say so or it is unreadable.
    std::optional<double> slowdown;
  };
  // nullopt if the server did not report it.
  std::optional<Load> load;
  // What the server says as its slowdown, if that is unreadable; empty
  // otherwise.
  std::string unreadable_slowdown;
  // The requests per second that the server accepts from all instances
  // together; nullopt if it names no limit or an unreadable one.
  std::optional<double> rate_limit;
  // What the server names as its limit, if that is unreadable; empty otherwise.
  std::string unreadable_rate_limit;
  // The rejections within a second that the server, which is brittle,
  // tolerates; nullopt if it doesn't say so or the number is unreadable.
  std::optional<int> rejections_tolerated;
  // What it says instead, if that is unreadable; empty otherwise.
  std::string unreadable_brittleness;
  // How long the server, which refuses the request for now, wants no further
  // ones; zero if it does not say or it is unreadable.
  Duration pause{};
  // What the server says instead, if that is unreadable; empty otherwise.
  std::string unreadable_pause;
};

// Reads and writes the header fields of one deployment's HTTP interface. The
// rest of the data path uses only the field names that HTTP defines. Used on
// the event loop's thread only.
class CallDialect {
 public:
  virtual ~CallDialect() = default;

  [[nodiscard]] virtual RequestInfo ReadRequest(
      const RequestHead& head) const = 0;
  // Returns whether a caller's field is forwarded to a backend server.
  [[nodiscard]] virtual bool Forwards(std::string_view field) const = 0;
  // Returns whether a field is forwarded even if the caller lists it in
  // Connection as hop-by-hop.
  [[nodiscard]] virtual bool AlwaysForwards(std::string_view field) const = 0;
  // Returns the fields to add to the caller's for an attempt.
  [[nodiscard]] virtual std::vector<HeaderField> AttemptFields(
      const RequestInfo& request, const AttemptInfo& attempt) const = 0;
  [[nodiscard]] virtual ResponseInfo ReadResponse(
      const ResponseHead& head) const = 0;
};

}  // namespace rosemarycove
