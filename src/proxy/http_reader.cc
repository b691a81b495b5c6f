#include "proxy/http_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>

#include "http/http_status.h"

namespace rosemarycove {
namespace {

namespace http = boost::beast::http;

// Maximum size of the head of a backend server's response, in bytes.
constexpr std::uint32_t kMaxResponseHeadBytes = 1U << 16U;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
// Status codes from the first to below the second are interim responses (1xx),
// those from there to the third final ones. Others are none of HTTP.
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
// Maximum number of interim responses before the final one.
constexpr int kMaxInterimResponses = 16;
// Maximum size, in bytes, of an incomplete chunk header or trailer, which the
// parser takes only as a whole.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{64} << 10U;

// The same for a request, if `max_header_bytes` is lower.
constexpr std::size_t kMinUnparsedLimit = std::size_t{8} << 10U;
// Maximum number of bytes that a request's chunk headers and trailers may have
// together, without and with its largest body. Chunks of one byte without
// extensions have five for each.
constexpr std::size_t kMaxFramingBytes = std::size_t{64} << 10U;
constexpr std::size_t kMaxFramingPerBodyByte = 8;

// Feeds the parser and removes the bytes it consumed from the front of `bytes`.
template <bool kIsRequest>
boost::beast::error_code FeedParser(MessageParser<kIsRequest>& parser,
                                    std::string& bytes) {
  boost::beast::error_code error;
  std::size_t used = 0;
  while (used < bytes.size() && !parser.is_done()) {
    const std::size_t consumed = parser.put(
        boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
    used += consumed;
    if (error || consumed == 0) {
      break;
    }
  }
  bytes.erase(0, used);
  if (error == http::error::need_more) {
    error = {};
  }
  return error;
}

// Returns whether the text contains the start of a response.
bool ContainsStatusLine(std::string_view text) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kStatusStart = kVersion.size() + 2;
  constexpr std::size_t kStatusDigits = 3;
  for (std::size_t at = text.find(kVersion); at != std::string_view::npos;
       at = text.find(kVersion, at + 1)) {
    const std::string_view rest = text.substr(at);
    if (rest.size() >= kStatusStart + kStatusDigits &&
        rest[kStatusStart - 1] == ' ' &&
        rest.substr(kStatusStart, kStatusDigits)
                .find_first_not_of("0123456789") == std::string_view::npos) {
      return true;
    }
  }
  return false;
}

// Returns whether another response begins within the head, after the first one
// broke off in the reason or in a field's value. The rest of the head is then
// the other one's.
bool ContainsResponse(const MessageParser<false>& parser) {
  if (ContainsStatusLine(parser.reason)) {
    return true;
  }
  for (const HeaderFieldView field : parser.fields) {
    if (ContainsStatusLine(field.value)) {
      return true;
    }
  }
  return false;
}

// Returns whether the body has a transfer coding other than chunked. The
// requests that are sent allow no other one.
bool HasUnknownCoding(const HeaderFields& fields) {
  const auto coding = fields.Find("transfer-encoding");
  return coding && (!TokensEqual(*coding, "chunked") ||
                    fields.Count("transfer-encoding") > 1);
}

// Returns the status code with which to reject a request that the parser does
// not accept.
int StatusOf(const boost::beast::error_code& error) {
  return error == http::error::body_limit ? http_status::kPayloadTooLarge
                                          : http_status::kBadRequest;
}

}  // namespace

RequestReader::Progress RequestReader::Reject(int status) {
  this->rejected_with = status;
  return Progress::kRejected;
}

int RequestReader::CheckRawHead(std::string_view head) const {
  for (std::size_t i = 0; i < head.size(); ++i) {
    if (head[i] == '\0') {
      return http_status::kBadRequest;
    }
    if (head[i] != '\n') {
      continue;
    }
    const bool bare_line_feed = i == 0 || head[i - 1] != '\r';
    const bool folded =
        i + 1 < head.size() && (head[i + 1] == ' ' || head[i + 1] == '\t');
    if (bare_line_feed || folded) {
      return http_status::kBadRequest;
    }
  }
  return 0;
}

int RequestReader::CheckHead() const {
  const HeaderFields& fields = this->request.fields;
  const auto coding = fields.Find("transfer-encoding");
  const bool ambiguous_length =
      fields.Count("content-length") + fields.Count("transfer-encoding") > 1;
  const bool unknown_coding = coding && !TokensEqual(*coding, "chunked");
  if (ambiguous_length || unknown_coding || fields.Count("host") != 1 ||
      !this->request.target.starts_with('/') ||
      (coding && this->request.is_http_1_0)) {
    return http_status::kBadRequest;
  }
  return 0;
}

RequestReader::Progress RequestReader::FeedHead(std::string& bytes) {
  const std::size_t end = bytes.find(kHeadEnd);
  if (end == std::string::npos) {
    if (bytes.size() > this->limits.max_header_bytes) {
      return this->Reject(http_status::kHeadersTooLarge);
    }
    // Bare line feeds may end the head for another parser, although CRLF CRLF
    // was not found.
    const int status = this->CheckRawHead(bytes);
    return status == 0 ? Progress::kNeedMore : this->Reject(status);
  }
  if (end > this->limits.max_header_bytes) {
    return this->Reject(http_status::kHeadersTooLarge);
  }
  const std::string_view head(bytes.data(), end + kHeadEnd.size());
  if (const int status = this->CheckRawHead(head)) {
    return this->Reject(status);
  }
  // Each field has a line.
  this->parser.fields.Reserve(
      static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n')),
      head.size());
  this->parser.eager(true);
  this->parser.header_limit(std::numeric_limits<std::uint32_t>::max());
  this->parser.body_limit(this->limits.max_body_bytes);
  const boost::beast::error_code error = FeedParser(this->parser, bytes);
  if (!this->parser.has_head) {
    return this->Reject(StatusOf(error));
  }
  this->head_received = true;
  this->parser.expected_body_bytes = this->MaxBodyBytes();
  this->request.method = std::move(this->parser.method);
  this->request.target = std::move(this->parser.target);
  this->request.is_http_1_0 = this->parser.version < 11;
  this->request.fields = std::move(this->parser.fields);
  this->request.fields.MarkConnectionFields();
  if (const int status = this->CheckHead()) {
    return this->Reject(status);
  }
  if (error) {
    return this->Reject(StatusOf(error));
  }
  return this->parser.is_done() ? Progress::kComplete : Progress::kHead;
}

std::size_t RequestReader::MaxBodyBytes() const {
  const auto length = this->parser.content_length();
  return length ? std::min<std::uint64_t>(*length, this->limits.max_body_bytes)
                : this->limits.max_body_bytes;
}

RequestReader::Progress RequestReader::FeedBody(std::string& bytes) {
  const std::size_t unparsed = bytes.size();
  const std::size_t body_before = this->parser.body.size();
  const boost::beast::error_code error = FeedParser(this->parser, bytes);
  if (error) {
    return this->Reject(StatusOf(error));
  }
  this->framing_bytes +=
      unparsed - bytes.size() - (this->parser.body.size() - body_before);
  if (this->framing_bytes >
      kMaxFramingBytes + kMaxFramingPerBodyByte * this->limits.max_body_bytes) {
    return this->Reject(http_status::kBadRequest);
  }
  if (this->parser.is_done()) {
    return Progress::kComplete;
  }
  // The parser takes a chunk header, and all trailer fields together, only as a
  // whole.
  return bytes.size() >
                 std::max(kMinUnparsedLimit, this->limits.max_header_bytes)
             ? this->Reject(http_status::kHeadersTooLarge)
             : Progress::kNeedMore;
}

RequestReader::Progress RequestReader::Feed(std::string& bytes) {
  return this->head_received ? this->FeedBody(bytes) : this->FeedHead(bytes);
}

bool RequestReader::ExpectsContinue() const {
  const auto expect = this->request.fields.Find("expect");
  return expect && TokensEqual(*expect, "100-continue");
}

ResponseReader::ResponseReader(bool is_head_request)
    : is_head_request(is_head_request) {
  this->ResetParser();
}

void ResponseReader::ResetParser() {
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->header_limit(kMaxResponseHeadBytes);
  this->parser->body_limit(boost::none);
  this->parser->skip(this->is_head_request);
}

void ResponseReader::StoreHead() {
  this->head_received = true;
  this->response.status = this->parser->status;
  this->response.reason = std::move(this->parser->reason);
  this->response.is_http_1_0 = this->parser->version < 11;
  this->response.fields = std::move(this->parser->fields);
  this->response.fields.MarkConnectionFields();
  if (const auto length = this->parser->content_length()) {
    this->response.length = *length;
    this->response.framing = BodyFraming::kLength;
  } else if (this->parser->chunked()) {
    this->response.framing = BodyFraming::kChunked;
  } else if (this->parser->need_eof()) {
    this->response.framing = BodyFraming::kUntilClose;
  }
}

ResponseReader::Progress ResponseReader::Feed(std::string& bytes) {
  while (true) {
    const boost::beast::error_code error = FeedParser(*this->parser, bytes);
    if (error) {
      return Progress::kMalformed;
    }
    if (!this->head_received && this->parser->has_head) {
      if (ContainsResponse(*this->parser) ||
          HasUnknownCoding(this->parser->fields) ||
          this->parser->status < kFirstStatus ||
          this->parser->status > kLastStatus) {
        return Progress::kMalformed;
      }
      if (this->parser->status < kFirstFinalStatus) {
        if (++this->interim_responses > kMaxInterimResponses) {
          return Progress::kMalformed;
        }
        this->ResetParser();
        continue;
      }
      this->StoreHead();
    }
    if (this->parser->is_done()) {
      return Progress::kComplete;
    }
    return bytes.size() > kMaxUnparsedBytes ? Progress::kMalformed
                                            : Progress::kNeedMore;
  }
}

ResponseReader::Progress ResponseReader::FeedEof() {
  if (!this->head_received) {
    return Progress::kMalformed;
  }
  boost::beast::error_code error;
  this->parser->put_eof(error);
  return !error && this->parser->is_done() ? Progress::kComplete
                                           : Progress::kMalformed;
}

}  // namespace rosemarycove
