// A caller's connection: one request after another.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

#include "proxy/exchange.h"
#include "proxy/http_reader.h"
#include "proxy/proxy_context.h"

namespace rosemarycove {

// Reads requests, hands each whole one to an Exchange and writes its response.
// While a request is answered it goes on reading, to learn that the caller
// left.
//
// Shared ownership: it lives as long as an operation on its socket is pending.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         public ResponseSink {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket, ProxyContext& context);

  void Start();
  // Does what is due by time.
  void Tick(TimePoint now);
  // Closes it if no request is being read or answered.
  void CloseIfIdle();
  void Close();
  [[nodiscard]] bool is_closed() const { return this->closed; }
  [[nodiscard]] bool busy() const { return this->exchange != nullptr; }

  // ResponseSink
  void Write(std::string bytes) override;
  void Finish(bool keep) override;
  void Abort(bool reset) override;
  [[nodiscard]] std::size_t unsent_bytes() const override {
    return this->outgoing.size() + this->sending.size();
  }

 private:
  void Read();
  void OnBytesRead(std::size_t count);
  void Advance();
  void Begin();
  void Refuse(int status);
  void Flush();
  void EndAfterFlush();
  void ShutDownSending();
  // The caller left, or does not take what it is sent.
  void HandleCallerLoss();
  [[nodiscard]] CallerLimits Limits() const;

  boost::asio::ip::tcp::socket socket;
  ProxyContext& context;
  std::string received;
  std::string block;
  std::optional<RequestReader> reader;
  std::unique_ptr<Exchange> exchange;
  std::string outgoing;
  std::string sending;
  bool reading = false;
  bool finishing = false;
  bool ending = false;
  bool closed = false;
  // Since when it waits for the request that it is reading, or for the next.
  TimePoint waiting_since;
  TimePoint last_read;
  TimePoint last_write;
  std::optional<TimePoint> end_by;
};

}  // namespace rosemarycove
