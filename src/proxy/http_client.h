// A whole HTTP call of this instance's own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "core/types.h"
#include "proxy/backend_connection.h"

namespace rosemarycove {

// A response that came whole.
struct HttpResponse {
  int status = 0;
  std::string body;
};

// Why no whole response came.
struct HttpError {
  // No byte of the request was written.
  bool not_sent = false;
  std::string message;
};

// Makes one call at a time over a kept connection. The connection is dropped
// whenever an answer did not come whole, since a lost answer may still arrive.
class HttpClient : private ResponseListener {
 public:
  using Done = std::function<void(tl::expected<HttpResponse, HttpError>)>;

  HttpClient(boost::asio::io_context& io,
             boost::asio::ip::tcp::endpoint endpoint)
      : io(io), endpoint(std::move(endpoint)) {}
  ~HttpClient() override;
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a whole request; `done` is called once, never from within Call.
  void Call(std::string request, Duration timeout, Done done);
  // Drops the call that is under way, if any; `done` is not called.
  void Cancel();
  // Ends a call whose time is over.
  void Tick(TimePoint now);
  [[nodiscard]] bool busy() const { return this->done != nullptr; }

 private:
  void OnSendStarted() override {}
  HeadDecision OnHead(const ResponseHead& head) override;
  void OnBody(std::string bytes) override { this->body.append(bytes); }
  void OnComplete() override;
  void OnFailed(FailurePhase when, const std::string& why) override;
  void End(tl::expected<HttpResponse, HttpError> result);

  boost::asio::io_context& io;
  boost::asio::ip::tcp::endpoint endpoint;
  std::shared_ptr<BackendConnection> connection;
  Done done;
  TimePoint deadline;
  int status = 0;
  std::string body;
};

}  // namespace rosemarycove
