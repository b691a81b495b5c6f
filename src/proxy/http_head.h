// The heads of HTTP messages: start line and header fields.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarycove {

// A header field to be written.
struct HeaderField {
  std::string name;
  std::string value;
};

// A header field of a message; valid as long as the message's fields are not
// changed. The name keeps its case.
struct HeaderFieldView {
  std::string_view name;
  std::string_view value;
  // The field applies to one connection only and must not be forwarded.
  bool is_hop_by_hop = false;
};

// Returns whether two field names or tokens are equal, ignoring case.
bool TokensEqual(std::string_view a, std::string_view b);
// Returns whether a comma-separated list contains the token, ignoring case.
bool ListContainsToken(std::string_view list, std::string_view token);

// The header fields of a message, in the order received. Callers choose how
// many there are, so the fields are kept in one text, with their positions in
// it.
class HeaderFields {
 public:
  // Iterates over the fields.
  class Iterator {
   public:
    Iterator(const HeaderFields& fields, std::size_t index)
        : fields(&fields), index(index) {}
    HeaderFieldView operator*() const { return this->fields->At(this->index); }
    Iterator& operator++() {
      ++this->index;
      return *this;
    }
    bool operator==(const Iterator&) const = default;

   private:
    const HeaderFields* fields;
    std::size_t index;
  };

  // Allocates memory for this many fields, whose names and values have this
  // many bytes together.
  void Reserve(std::size_t count, std::size_t text_bytes);
  void Add(std::string_view name, std::string_view value);
  // Removes all fields of this name.
  void Remove(std::string_view name);
  // Returns the value of the first field of this name, or nullopt.
  [[nodiscard]] std::optional<std::string_view> Find(
      std::string_view name) const;
  [[nodiscard]] int Count(std::string_view name) const;
  [[nodiscard]] std::size_t size() const { return this->ends.size(); }
  [[nodiscard]] Iterator begin() const { return {*this, 0}; }
  [[nodiscard]] Iterator end() const { return {*this, this->size()}; }
  // Returns the size of the memory that is allocated.
  [[nodiscard]] std::size_t HeldBytes() const;

  // Marks the fields that are listed in `Connection` as hop-by-hop, besides
  // those that always are. To be called once all fields of a message are added.
  void MarkConnectionFields();

 private:
  // Where a field ends in the text. It begins where the one before it ends.
  struct Ends {
    std::uint32_t name = 0;
    std::uint32_t value : 31 = 0;
    std::uint32_t is_hop_by_hop : 1 = 0;
  };

  [[nodiscard]] HeaderFieldView At(std::size_t index) const;

  // The names and values, without anything between them.
  std::string text;
  std::vector<Ends> ends;
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
  // Returns the size of the memory that the head holds.
  [[nodiscard]] std::size_t HeldBytes() const {
    return this->method.capacity() + this->target.capacity() +
           this->fields.HeldBytes();
  }
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
