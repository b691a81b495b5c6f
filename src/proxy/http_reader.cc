#include "proxy/http_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>

#include "http/http_status.h"

namespace rosemarycove {
namespace {

namespace http = boost::beast::http;

// Largest head of a backend server's response, in bytes.
constexpr std::uint32_t kMostResponseHead = 1U << 16U;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr int kFirstFinalStatus = 200;

// Takes as much as the parser can use off the front of `bytes`.
template <bool kIsRequest>
boost::beast::error_code Put(MessageParser<kIsRequest>& parser,
                             std::string& bytes) {
  boost::beast::error_code error;
  std::size_t used = 0;
  while (used < bytes.size() && !parser.is_done()) {
    const std::size_t taken = parser.put(
        boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
    used += taken;
    if (error || taken == 0) {
      break;
    }
  }
  bytes.erase(0, used);
  if (error == http::error::need_more) {
    error = {};
  }
  return error;
}

// The status code to refuse a request with that the parser does not take.
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
    const bool alone = i == 0 || head[i - 1] != '\r';
    const bool folded =
        i + 1 < head.size() && (head[i + 1] == ' ' || head[i + 1] == '\t');
    if (alone || folded) {
      return http_status::kBadRequest;
    }
  }
  return 0;
}

int RequestReader::CheckHead() const {
  const HeaderFields& fields = this->request.fields;
  const auto coding = fields.Find("transfer-encoding");
  const bool framed_twice =
      fields.Count("content-length") + fields.Count("transfer-encoding") > 1;
  const bool unknown_coding = coding && !TokensEqual(*coding, "chunked");
  if (framed_twice || unknown_coding || fields.Count("host") != 1 ||
      !this->request.target.starts_with('/') ||
      (coding && this->request.http_1_0)) {
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
    // A line feed alone may stand for the end that is not found.
    const int fault = this->CheckRawHead(bytes);
    return fault == 0 ? Progress::kNeedMore : this->Reject(fault);
  }
  if (end > this->limits.max_header_bytes) {
    return this->Reject(http_status::kHeadersTooLarge);
  }
  if (const int fault = this->CheckRawHead(
          std::string_view(bytes).substr(0, end + kHeadEnd.size()))) {
    return this->Reject(fault);
  }
  this->parser.eager(true);
  this->parser.header_limit(std::numeric_limits<std::uint32_t>::max());
  this->parser.body_limit(this->limits.max_body_bytes);
  const boost::beast::error_code error = Put(this->parser, bytes);
  if (!this->parser.has_head) {
    return this->Reject(StatusOf(error));
  }
  this->head_received = true;
  this->request.method = this->parser.method;
  this->request.target = this->parser.target;
  this->request.http_1_0 = this->parser.version < 11;
  this->request.fields = this->parser.fields;
  if (const int fault = this->CheckHead()) {
    return this->Reject(fault);
  }
  if (error) {
    return this->Reject(StatusOf(error));
  }
  return this->parser.is_done() ? Progress::kComplete : Progress::kHead;
}

RequestReader::Progress RequestReader::FeedBody(std::string& bytes) {
  const boost::beast::error_code error = Put(this->parser, bytes);
  if (error) {
    return this->Reject(StatusOf(error));
  }
  return this->parser.is_done() ? Progress::kComplete : Progress::kNeedMore;
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
  this->Restart();
}

void ResponseReader::Restart() {
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->header_limit(kMostResponseHead);
  this->parser->body_limit(boost::none);
  this->parser->skip(this->is_head_request);
}

void ResponseReader::KeepHead() {
  this->head_received = true;
  this->response.status = this->parser->status;
  this->response.reason = this->parser->reason;
  this->response.http_1_0 = this->parser->version < 11;
  this->response.fields = this->parser->fields;
  if (const auto length = this->parser->content_length()) {
    this->response.length = *length;
  }
}

ResponseReader::Progress ResponseReader::Feed(std::string& bytes) {
  while (true) {
    const boost::beast::error_code error = Put(*this->parser, bytes);
    if (error) {
      return Progress::kMalformed;
    }
    if (!this->head_received && this->parser->has_head) {
      if (this->parser->status < kFirstFinalStatus) {
        this->Restart();
        continue;
      }
      this->KeepHead();
    }
    return this->parser->is_done() ? Progress::kComplete : Progress::kNeedMore;
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
