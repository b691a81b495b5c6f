// An HTTP client for requests of the gateway itself, such as to the store.
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

// A complete response.
struct HttpResponse {
  int status = 0;
  HeaderFields fields;
  std::string body;
};

// Why there is no complete response.
struct HttpError {
  // No byte of the request was written.
  bool not_sent = false;
  std::string message;
};

// Sends one request at a time over a persistent BackendConnection. The
// connection is closed whenever a response was incomplete, since the rest of it
// may still arrive, or too large. Used on the event loop's thread only.
class HttpClient : private ResponseListener {
 public:
  using Done = std::function<void(tl::expected<HttpResponse, HttpError>)>;

  HttpClient(boost::asio::io_context& io,
             boost::asio::ip::tcp::endpoint endpoint)
      : io(io), endpoint(std::move(endpoint)) {}
  ~HttpClient() override;
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends the complete bytes of a request. `done` is called once, after Send
  // has returned, unless the request is cancelled. The client must not be busy.
  void Send(std::string request, Duration timeout, Done done);
  // Aborts the current request, if any, without calling `done`.
  void Cancel();
  // Fails the current request if its timeout has passed; called periodically.
  void Tick(TimePoint now);
  // Returns whether a request is being made.
  [[nodiscard]] bool is_busy() const { return this->done != nullptr; }

 private:
  // Ends the request unsent if its timeout passed while the connection was
  // established, such as in a frozen process.
  void OnSendStarted() override;
  HeadDecision OnHead(const ResponseHead& head) override;
  void OnBody(std::string bytes) override;
  void OnComplete() override;
  void OnFailed(FailureKind kind, const std::string& reason) override;
  void End(tl::expected<HttpResponse, HttpError> result);

  boost::asio::io_context& io;
  boost::asio::ip::tcp::endpoint endpoint;
  std::shared_ptr<BackendConnection> connection;
  Done done;
  TimePoint deadline;
  // Send has not returned yet.
  bool is_starting = false;
  int status = 0;
  HeaderFields fields;
  std::string body;
};

}  // namespace rosemarycove
