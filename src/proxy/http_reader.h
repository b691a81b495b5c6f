// Strict, incremental parsers of HTTP/1.1 messages; they do no I/O themselves.
#pragma once

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "proxy/http_head.h"

namespace rosemarycove {

// Collects the head and the body of one message from the callbacks of
// Boost.Beast's parser.
template <bool kIsRequest>
class MessageParser : public boost::beast::http::basic_parser<kIsRequest> {
 public:
  using Verb = boost::beast::http::verb;
  using Field = boost::beast::http::field;
  using View = boost::beast::string_view;
  using Error = boost::beast::error_code;

  std::string method;
  std::string target;
  int status = 0;
  std::string reason;
  int version = 11;
  HeaderFields fields;
  // Body bytes that were parsed and not yet moved out by the reader.
  std::string body;
  // The body won't become larger than this; 0 if that is unknown. Its memory
  // grows as bytes arrive, but not beyond.
  std::size_t expected_body_bytes = 0;
  bool has_head = false;

 private:
  static constexpr std::size_t kCapacityGrowth = 2;

  void on_request_impl(Verb, View method_text, View target_text,
                       int version_number, Error&) override {
    this->method = std::string(method_text);
    this->target = std::string(target_text);
    this->version = version_number;
  }
  void on_response_impl(int code, View reason_text, int version_number,
                        Error&) override {
    this->status = code;
    this->reason = std::string(reason_text);
    this->version = version_number;
  }
  void on_field_impl(Field, View name, View value, Error&) override {
    // Trailer fields are dropped.
    if (!this->has_head) {
      this->fields.Add(name, value);
    }
  }
  void on_header_impl(Error&) override { this->has_head = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         Error&) override {}
  std::size_t on_body_impl(View bytes, Error&) override {
    this->AppendBody(bytes);
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t, View, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View bytes, Error&) override {
    this->AppendBody(bytes);
    return bytes.size();
  }
  void on_finish_impl(Error&) override {}
  void AppendBody(View bytes) {
    const std::size_t size = this->body.size() + bytes.size();
    if (size > this->body.capacity() && size < this->expected_body_bytes) {
      this->body.reserve(
          std::min(this->expected_body_bytes,
                   std::max(size, kCapacityGrowth * this->body.capacity())));
    }
    this->body.append(bytes.data(), bytes.size());
  }
};

// Limits on the size of one request.
struct RequestLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{4} << 20U;
};

// Parses one request with its complete body.
//
// Rejects everything that two parsers could frame differently, which would
// allow request smuggling: two lengths, a length next to a transfer coding,
// codings other than chunked, folded fields, bare line feeds, whitespace in
// names.
class RequestReader {
 public:
  enum class Progress : std::uint8_t { kNeedMore, kHead, kComplete, kRejected };

  explicit RequestReader(RequestLimits limits) : limits(limits) {}

  // Removes the bytes that it parses from the front of `bytes`. Returns kHead
  // once, when the head is complete and the body is not.
  Progress Feed(std::string& bytes);

  // Valid after Feed returned kHead or kComplete.
  [[nodiscard]] const RequestHead& head() const { return this->request; }
  // Moves the head out; called once, after kComplete, instead of head().
  RequestHead TakeHead() { return std::move(this->request); }
  // Moves the body out; called once, after kComplete.
  std::string TakeBody() { return std::move(this->parser.body); }
  // Returns the size of the head, once it is complete, and of the part of the
  // body that was read.
  [[nodiscard]] std::size_t HeldBytes() const {
    return this->request.HeldBytes() + this->parser.body.size();
  }
  // Returns the size of the whole body, or the maximum size if the head does
  // not tell it. Valid once has_head() returns true.
  [[nodiscard]] std::size_t MaxBodyBytes() const;
  // Returns whether the caller waits for 100 Continue before it sends the body.
  [[nodiscard]] bool ExpectsContinue() const;
  // The status code of the rejection; valid after kRejected.
  [[nodiscard]] int rejection_status() const { return this->rejected_with; }
  // Returns whether the head is complete.
  [[nodiscard]] bool has_head() const { return this->head_received; }

 private:
  Progress Reject(int status);
  // Checks the unparsed head; returns 0 or the status code of the rejection.
  [[nodiscard]] int CheckRawHead(std::string_view head) const;
  // Checks the parsed head; returns 0 or the status code of the rejection.
  [[nodiscard]] int CheckHead() const;
  Progress FeedHead(std::string& bytes);
  Progress FeedBody(std::string& bytes);

  RequestLimits limits;
  MessageParser<true> parser;
  RequestHead request;
  bool head_received = false;
  // Bytes of chunk headers, chunk ends and trailers that were parsed.
  std::size_t framing_bytes = 0;
  int rejected_with = 0;
};

// Parses one response.
class ResponseReader {
 public:
  enum class Progress : std::uint8_t { kNeedMore, kComplete, kMalformed };

  // `is_head_request`: the request's method is HEAD, so the response has no
  // body, whatever its fields say.
  explicit ResponseReader(bool is_head_request);

  // Removes the bytes that it parses from the front of `bytes`; bytes after a
  // complete response remain. Interim responses (1xx) are skipped, up to a
  // maximum number.
  Progress Feed(std::string& bytes);
  // Handles an orderly end of the connection, which completes a body without a
  // stated length. Returns kMalformed if the response is incomplete.
  Progress FeedEof();

  [[nodiscard]] bool has_head() const { return this->head_received; }
  // Valid once has_head() returns true.
  [[nodiscard]] const ResponseHead& head() const { return this->response; }
  // Moves out the body bytes parsed since the last call.
  std::string TakeBody() { return std::exchange(this->parser->body, {}); }

 private:
  void ResetParser();
  void StoreHead();

  bool is_head_request;
  std::optional<MessageParser<false>> parser;
  ResponseHead response;
  bool head_received = false;
  int interim_responses = 0;
};

}  // namespace rosemarycove
