// Serializes HTTP/1.1 messages.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"
#include "http/http_status.h"
#include "proxy/call_dialect.h"
#include "proxy/http_head.h"

namespace rosemarycove {

// Returns the head of a caller's request for a backend server: method and
// target unchanged, the end-to-end fields in order, then the fields of the
// attempt.
std::string WriteRequestHead(const RequestHead& head, std::size_t body_bytes,
                             const CallDialect& dialect,
                             const RequestInfo& info,
                             const AttemptInfo& attempt);

// Returns the head of a backend server's response for the caller. `close`: the
// connection is closed after the response.
std::string WriteResponseHead(const ResponseHead& head, BodyFraming framing,
                              bool close);

// A response that this program generates itself.
struct LocalResponse {
  int status = http_status::kUnavailable;
  // How long the caller should wait before it retries; nullopt omits the
  // Retry-After field.
  std::optional<Duration> retry_after;
  std::string body;
  std::string content_type = "text/plain";
  // Further fields.
  std::vector<HeaderField> fields;
  // The connection is closed after the response.
  bool close = false;
  // The request's method is HEAD: the body is omitted, but counts in
  // Content-Length.
  bool head_only = false;
};
std::string WriteLocalResponse(const LocalResponse& response);

// Returns one chunk of a chunked body. `bytes` must not be empty, since an
// empty chunk ends the body.
std::string WriteChunk(std::string_view bytes);
// The empty chunk that ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace rosemarycove
