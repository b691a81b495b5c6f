// Reads HTTP/1.1 messages strictly, without doing any input itself.
#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "proxy/http_head.h"

namespace rosemarycove {

// Collects the head and hands out the body of one message.
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
  // Body bytes that were read and not taken yet.
  std::string body;
  bool has_head = false;

 private:
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
    // Trailers are not passed on.
    if (!this->has_head) {
      this->fields.Add(std::string(name), std::string(value));
    }
  }
  void on_header_impl(Error&) override { this->has_head = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         Error&) override {}
  std::size_t on_body_impl(View bytes, Error&) override {
    this->body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t, View, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View bytes, Error&) override {
    this->body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_finish_impl(Error&) override {}
};

// Bounds on what one request may hold, in bytes.
struct RequestLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{4} << 20U;
};

// Reads one request with its whole body.
//
// Refuses whatever two readers could frame differently: two lengths, a length
// beside a transfer coding, codings other than chunked, folded fields, line
// feeds alone, whitespace in names.
class RequestReader {
 public:
  enum class Progress : std::uint8_t { kNeedMore, kHead, kComplete, kRejected };

  explicit RequestReader(RequestLimits limits) : limits(limits) {}

  // Takes what it can off the front of `bytes`. kHead is returned once, when
  // the head is complete and the body is not.
  Progress Feed(std::string& bytes);

  // Valid from kHead on.
  [[nodiscard]] const RequestHead& head() const { return this->request; }
  std::string TakeBody() { return std::move(this->parser.body); }
  // Whether the caller waits for leave to send the body.
  [[nodiscard]] bool ExpectsContinue() const;
  // The status code to refuse with, after kRefused.
  [[nodiscard]] int rejection_status() const { return this->rejected_with; }
  [[nodiscard]] bool has_head() const { return this->head_received; }

 private:
  Progress Reject(int status);
  // Checks the raw head; returns 0 or the status code to refuse with.
  [[nodiscard]] int CheckRawHead(std::string_view head) const;
  [[nodiscard]] int CheckHead() const;
  Progress FeedHead(std::string& bytes);
  Progress FeedBody(std::string& bytes);

  RequestLimits limits;
  MessageParser<true> parser;
  RequestHead request;
  bool head_received = false;
  int rejected_with = 0;
};

// Reads one response after another part of it arrives.
class ResponseReader {
 public:
  enum class Progress : std::uint8_t { kNeedMore, kComplete, kMalformed };

  // `is_head_request` tells that the response has no body whatever its fields
  // say.
  explicit ResponseReader(bool is_head_request);

  // Takes what it can off the front of `bytes`; bytes behind a whole response
  // stay. Interim responses are skipped.
  Progress Feed(std::string& bytes);
  // The connection ended cleanly.
  Progress FeedEof();

  [[nodiscard]] bool has_head() const { return this->head_received; }
  // Valid once the head is done.
  [[nodiscard]] const ResponseHead& head() const { return this->response; }
  // Body bytes since the last call.
  std::string TakeBody() { return std::exchange(this->parser->body, {}); }

 private:
  void Restart();
  void KeepHead();

  bool is_head_request;
  std::optional<MessageParser<false>> parser;
  ResponseHead response;
  bool head_received = false;
};

}  // namespace rosemarycove
