// Writes HTTP/1.1 messages.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"
#include "http/http_status.h"
#include "proxy/call_dialect.h"
#include "proxy/http_head.h"

namespace rosemarycove {

// How the body of a response to a caller is framed.
enum class BodyFraming : std::uint8_t {
  kNone,  // The response has no body.
  kLength,
  kChunked,
  kUntilClose,
};

// The head of a caller's request as a backend server gets it: method and
// target unchanged, end-to-end fields in order, then the attempt's own.
std::string WriteRequestHead(const RequestHead& head, std::size_t body_bytes,
                             const CallDialect& dialect,
                             const RequestInfo& call,
                             const AttemptInfo& attempt);

// The head of a backend server's response as the caller gets it.
std::string WriteResponseHead(const ResponseHead& head, BodyFraming framing,
                              bool close);

// A whole response of this program's own.
struct LocalResponse {
  int status = http_status::kUnavailable;
  // When the caller should come back; nothing is not said.
  std::optional<Duration> retry_after;
  std::string body;
  std::string content_type = "text/plain";
  bool close = false;
  // The response to HEAD has no body.
  bool head_only = false;
};
std::string WriteLocalResponse(const LocalResponse& response);

// One chunk of a chunked body, and the end of it.
std::string WriteChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace rosemarycove
