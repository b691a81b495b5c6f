// A connection to a backend server, used for one request after another.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "core/types.h"
#include "proxy/http_reader.h"

namespace rosemarycove {

// How far a request had come when its connection broke.
enum class FailurePhase : std::uint8_t {
  kNotSent,            // No byte of the request was written: it did not run.
  kNoResponse,         // It may have run.
  kMalformedResponse,  // Bytes came that are no response.
  kDuringResponse,     // The head had come.
};

// What becomes of a response whose head has come.
enum class HeadDecision : std::uint8_t {
  kAccept,
  kSkip,  // It belongs to another request; the next one is awaited.
};

// Takes the answer to a request.
class ResponseListener {
 public:
  virtual ~ResponseListener() = default;
  virtual void OnSendStarted() = 0;
  virtual HeadDecision OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(std::string bytes) = 0;
  virtual void OnComplete() = 0;
  virtual void OnFailed(FailurePhase when, const std::string& why) = 0;
};

// One TCP connection that serves one request at a time.
//
// Shared ownership: a connection lives as long as an operation on its socket
// is pending, which may be longer than its user.
class BackendConnection
    : public std::enable_shared_from_this<BackendConnection> {
 public:
  BackendConnection(boost::asio::io_context& io,
                    boost::asio::ip::tcp::endpoint endpoint);

  // Sends a request, once the connection stands, and reports to the listener
  // until its answer is whole or broken. `is_head_request`: the answer has no
  // body.
  void Send(std::string request, bool is_head_request,
            ResponseListener& listener);
  // Closes; nothing more is reported.
  void Abort();
  // Stops and resumes reading, so that a slow caller slows the server.
  void PauseReading();
  void ResumeReading();

  [[nodiscard]] bool is_connected() const { return this->connected; }
  // Whether it stands idle and may take another request.
  [[nodiscard]] bool IsReusable() const;
  [[nodiscard]] bool is_closed() const { return this->closed; }
  // When it became idle.
  [[nodiscard]] TimePoint idle_since() const { return this->idle_start; }
  // How long the server keeps it when idle.
  [[nodiscard]] Duration idle_timeout() const { return this->idle_limit; }

 private:
  void Connect();
  void Write();
  void Read();
  void OnBytesRead(std::size_t count);
  void ProcessReceived();
  void FinishResponse();
  void Fail(FailurePhase when, const std::string& why);
  void Close();
  [[nodiscard]] FailurePhase CurrentPhase() const;

  boost::asio::ip::tcp::socket socket;
  boost::asio::ip::tcp::endpoint endpoint;
  ResponseListener* listener = nullptr;
  std::string request;
  std::size_t written = 0;
  std::string received;
  std::string block;
  std::unique_ptr<ResponseReader> reader;
  bool is_head_request = false;
  bool head_reported = false;
  bool skipping = false;
  bool connected = false;
  bool connecting = false;
  bool writing = false;
  bool reading = false;
  bool paused = false;
  bool closed = false;
  bool must_close = false;
  TimePoint idle_start;
  Duration idle_limit{};
};

}  // namespace rosemarycove
