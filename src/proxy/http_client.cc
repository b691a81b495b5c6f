#include "proxy/http_client.h"

#include <utility>

#include "net/clock.h"

namespace rosemarycove {
namespace {

// Maximum size of a response's body, in bytes.
constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 20U;

}  // namespace

HttpClient::~HttpClient() {
  if (this->connection) {
    this->connection->Abort();
  }
}

void HttpClient::Send(std::string request, Duration timeout, Done call_done) {
  this->done = std::move(call_done);
  this->deadline = MonotonicNow() + timeout;
  this->body.clear();
  if (!this->connection || !this->connection->IsReusable()) {
    if (this->connection) {
      this->connection->Abort();
    }
    this->connection =
        std::make_shared<BackendConnection>(this->io, this->endpoint);
  }
  this->is_starting = true;
  this->connection->Send(std::move(request), false, *this);
  this->is_starting = false;
}

void HttpClient::OnSendStarted() {
  if (!this->is_starting && MonotonicNow() >= this->deadline) {
    this->connection->Abort();
    this->connection.reset();
    this->End(tl::unexpected(HttpError{
        .not_sent = true, .message = "timed out before it was sent"}));
  }
}

void HttpClient::Cancel() {
  if (this->is_busy()) {
    this->connection->Abort();
    this->connection.reset();
    this->done = nullptr;
  }
}

HeadDecision HttpClient::OnHead(const ResponseHead& head) {
  this->status = head.status;
  this->fields = head.fields;
  return HeadDecision::kAccept;
}

void HttpClient::OnBody(std::string bytes) {
  this->body.append(bytes);
  if (this->body.size() > kMaxBodyBytes) {
    this->connection->Abort();
    this->connection.reset();
    this->body = {};
    this->End(tl::unexpected(HttpError{.message = "response is too large"}));
  }
}

void HttpClient::OnComplete() {
  this->End(HttpResponse{.status = this->status,
                         .fields = std::move(this->fields),
                         .body = std::move(this->body)});
}

void HttpClient::OnFailed(FailureKind kind, const std::string& reason) {
  this->connection.reset();
  this->End(tl::unexpected(
      HttpError{.not_sent = kind == FailureKind::kNotSent, .message = reason}));
}

void HttpClient::Tick(TimePoint now) {
  if (this->is_busy() && now >= this->deadline) {
    this->connection->Abort();
    this->connection.reset();
    this->End(tl::unexpected(HttpError{.message = "timed out"}));
  }
}

void HttpClient::End(tl::expected<HttpResponse, HttpError> result) {
  const Done callback = std::exchange(this->done, nullptr);
  callback(std::move(result));
}

}  // namespace rosemarycove
