// A persistent connection from a caller.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

#include "proxy/exchange.h"
#include "proxy/http_reader.h"
#include "proxy/proxy_context.h"

namespace rosemarycove {

// Reads requests, handles each complete one with an Exchange and writes its
// response. It keeps reading while a request is handled, to notice that the
// caller disconnected. Used on the event loop's thread only.
//
// Ownership is shared, since the connection has to live until the pending
// operations on its socket have ended.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         public ResponseSink {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket, ProxyContext& context);

  void Start();
  // Checks timeouts; called periodically.
  void Tick(TimePoint now);
  // Closes the connection if no request is being read or handled.
  void CloseIfIdle();
  void Close();
  [[nodiscard]] bool is_closed() const { return this->closed; }
  [[nodiscard]] bool is_busy() const { return this->exchange != nullptr; }

  // ResponseSink
  void Write(std::string bytes) override;
  void Finish(bool keep_open) override;
  void Abort(bool reset) override;
  [[nodiscard]] std::size_t unsent_bytes() const override {
    return this->outgoing.size() + this->sending.size();
  }

 private:
  void Read();
  void OnBytesRead(std::size_t count);
  void ParseReceived();
  void StartExchange();
  void Reject(int status);
  void Flush();
  void CloseAfterFlush();
  void ShutDownSending();
  // Handles a caller that disconnected or does not read what it is sent.
  void OnCallerLost();
  [[nodiscard]] CallerLimits Limits() const;

  boost::asio::ip::tcp::socket socket;
  ProxyContext& context;
  std::string received;
  std::string read_buffer;
  std::optional<RequestReader> reader;
  std::unique_ptr<Exchange> exchange;
  std::string outgoing;
  std::string sending;
  bool reading = false;
  // The exchange has ended and is about to be destroyed.
  bool finishing = false;
  // No further request is accepted; the connection closes once all is sent.
  bool closing = false;
  bool closed = false;
  // When the wait for the current or the next request began.
  TimePoint waiting_since;
  TimePoint last_read;
  TimePoint last_write;
  std::optional<TimePoint> close_at;
};

}  // namespace rosemarycove
