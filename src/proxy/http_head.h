// The heads of HTTP messages: start line and header fields.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarycove {

// A header field; the name keeps its case.
struct HeaderField {
  std::string name;
  std::string value;
};

// Returns whether two field names or tokens are equal, ignoring case.
bool TokensEqual(std::string_view a, std::string_view b);
// Returns whether a comma-separated list contains the token, ignoring case.
bool ListContainsToken(std::string_view list, std::string_view token);

// The header fields of a message, in the order received.
class HeaderFields {
 public:
  void Add(std::string name, std::string value) {
    this->fields.push_back({std::move(name), std::move(value)});
  }
  // Removes all fields of this name.
  void Remove(std::string_view name);
  // Returns the value of the first field of this name, or nullopt.
  [[nodiscard]] std::optional<std::string_view> Find(
      std::string_view name) const;
  [[nodiscard]] int Count(std::string_view name) const;
  [[nodiscard]] const std::vector<HeaderField>& all() const {
    return this->fields;
  }

  // Returns whether the field applies to one connection only and must not be
  // forwarded. That includes the fields listed in `Connection`.
  [[nodiscard]] bool IsHopByHop(std::string_view name) const;

 private:
  std::vector<HeaderField> fields;
};

// The parts common to the heads of requests and responses.
struct MessageHead {
  bool is_http_1_0 = false;
  HeaderFields fields;

  // Returns whether the sender allows the connection to be reused.
  [[nodiscard]] bool KeepsAlive() const;
  // Returns the media type of the body without its parameters; empty if
  // Content-Type is missing.
  [[nodiscard]] std::string_view MediaType() const;
};

// The start line and fields of a request.
struct RequestHead : MessageHead {
  std::string method;
  // Path and query.
  std::string target;

  // Returns the target without its query.
  [[nodiscard]] std::string_view Path() const;
};

// How the end of a response's body is marked.
enum class BodyFraming : std::uint8_t {
  kNone,        // The response has no body.
  kLength,      // Content-Length states the length of the body.
  kChunked,     // The body is sent in chunks and ends with an empty one.
  kUntilClose,  // The connection is closed after the body. Callers that use
                // HTTP/1.0 don't support chunks, and servers may omit both.
};
std::string_view ToString(BodyFraming framing);

// The start line and fields of a response.
struct ResponseHead : MessageHead {
  int status = 0;
  std::string reason;
  // How the sender marks the end of the body.
  BodyFraming framing = BodyFraming::kNone;
  // Length of the body in bytes; nullopt if it is chunked or ends with the
  // connection.
  std::optional<std::uint64_t> length;

  [[nodiscard]] bool IsSuccess() const {
    return this->status >= 200 && this->status < 300;
  }
};

// Returns the reason phrase of a status code that this program sends.
std::string_view ReasonPhrase(int status);

}  // namespace rosemarycove
