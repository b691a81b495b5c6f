#include "proxy/http_call.h"

#include <utility>

namespace rosemarycove {

HttpCaller::~HttpCaller() {
  if (this->connection) {
    this->connection->Abort();
  }
}

void HttpCaller::Call(std::string request, Duration longest, Done call_done) {
  this->done = std::move(call_done);
  this->deadline = std::chrono::steady_clock::now() + longest;
  this->body.clear();
  if (!this->connection || !this->connection->Reusable()) {
    if (this->connection) {
      this->connection->Abort();
    }
    this->connection =
        std::make_shared<BackendConnection>(this->io, this->endpoint);
  }
  this->connection->Send(std::move(request), false, *this);
}

void HttpCaller::Cancel() {
  if (this->busy()) {
    this->connection->Abort();
    this->connection.reset();
    this->done = nullptr;
  }
}

HeadVerdict HttpCaller::OnHead(const ResponseHead& head) {
  this->status = head.status;
  return HeadVerdict::kTake;
}

void HttpCaller::OnWhole() {
  this->End(HttpResult{.status = this->status, .body = std::move(this->body)});
}

void HttpCaller::OnBroken(BrokenWhen when, const std::string& why) {
  this->connection.reset();
  this->End(tl::unexpected(
      HttpCallError{.not_sent = when == BrokenWhen::kNotSent, .message = why}));
}

void HttpCaller::Tick(TimePoint now) {
  if (this->busy() && now >= this->deadline) {
    this->connection->Abort();
    this->connection.reset();
    this->End(tl::unexpected(HttpCallError{.message = "timed out"}));
  }
}

void HttpCaller::End(tl::expected<HttpResult, HttpCallError> result) {
  const Done told = std::exchange(this->done, nullptr);
  told(std::move(result));
}

}  // namespace rosemarycove
