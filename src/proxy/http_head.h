// Heads of HTTP messages as they were received.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarycove {

// One header field; the name keeps its case.
struct HeaderField {
  std::string name;
  std::string value;
};

// Whether two field names or tokens are the same, in any case.
bool TokensEqual(std::string_view a, std::string_view b);
// Whether a comma-separated list names the token, in any case.
bool ListContainsToken(std::string_view list, std::string_view token);

// The fields of one message, in order.
class HeaderFields {
 public:
  void Add(std::string name, std::string value) {
    this->fields.push_back({std::move(name), std::move(value)});
  }
  // The first value of the name, or nothing.
  [[nodiscard]] std::optional<std::string_view> Find(
      std::string_view name) const;
  [[nodiscard]] int Count(std::string_view name) const;
  [[nodiscard]] const std::vector<HeaderField>& all() const {
    return this->fields;
  }

  // Whether the field concerns one connection only and is not passed on. A
  // field that `Connection` names counts as such.
  [[nodiscard]] bool IsHopByHop(std::string_view name) const;

 private:
  std::vector<HeaderField> fields;
};

// What heads of requests and responses have in common.
struct MessageHead {
  bool http_1_0 = false;
  HeaderFields fields;

  [[nodiscard]] bool KeepsAlive() const;
};

// The start line and fields of a request.
struct RequestHead : MessageHead {
  std::string method;
  // Path and query.
  std::string target;

  // The target without its query.
  [[nodiscard]] std::string_view Path() const;
};

// The start line and fields of a response.
struct ResponseHead : MessageHead {
  int status = 0;
  std::string reason;
  // Length of the body; without one it is chunked or ends with the connection.
  std::optional<std::uint64_t> length;

  [[nodiscard]] bool IsSuccess() const {
    return this->status >= 200 && this->status < 300;
  }
};

// The reason phrase of a status code that this program sends.
std::string_view ReasonPhrase(int status);

}  // namespace rosemarycove
