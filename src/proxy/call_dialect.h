// How calls and answers name what the data path needs to know of them.
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

// What a caller says of its request.
struct RequestInfo {
  // The caller's name for this request; empty when it sent none.
  std::string request_id;
  std::optional<std::string> api_key;
  // How long the caller waits.
  std::optional<Duration> timeout;
  std::vector<PromptPart> prompt_parts;
  int prompt_tokens = 0;
  // Expected tokens of the answer.
  int expected_output_tokens = 0;
  // A field that may stand once stands twice.
  bool has_conflicting_fields = false;
  // The last event that the caller has of a stream that it resumes.
  std::string last_event_id;
};

// What a backend server is told beside the caller's own fields.
struct AttemptInfo {
  // How long the answer is of use.
  Duration remaining{};
  std::string server_id;
  // Empty where requests need no key.
  std::string customer;
  Urgency urgency;
  // The least urgent tier of the configuration.
  int last_tier = 0;
  std::string last_event_id;
};

// What a backend server says of its answer.
struct ResponseInfo {
  // The request that it answers; empty when it does not say.
  std::string request_id;
  // The server certainly did not run the request.
  bool not_executed = false;
  // It carries the mark that a server puts on answers of its own.
  bool has_server_seal = false;
  // Another process has the address.
  bool is_misdirected = false;
  // Requests running and waiting at the server, when it tells them.
  struct Load {
    int running = 0;
    int waiting = 0;
  };
  std::optional<Load> load;
};

// Reads and writes the fields of one deployment's HTTP interface. The data
// path knows no field name but those of HTTP itself.
class CallDialect {
 public:
  virtual ~CallDialect() = default;

  [[nodiscard]] virtual RequestInfo ReadRequest(
      const RequestHead& head) const = 0;
  // Whether a caller's field is passed on to a backend server.
  [[nodiscard]] virtual bool Forwards(std::string_view field) const = 0;
  // Whether a field must be passed on even if the caller marks it as
  // concerning one connection only.
  [[nodiscard]] virtual bool AlwaysForwards(std::string_view field) const = 0;
  // The fields that a backend server gets beside the caller's.
  [[nodiscard]] virtual std::vector<HeaderField> AttemptFields(
      const RequestInfo& call, const AttemptInfo& attempt) const = 0;
  [[nodiscard]] virtual ResponseInfo ReadResponse(
      const ResponseHead& head) const = 0;
};

}  // namespace rosemarycove
