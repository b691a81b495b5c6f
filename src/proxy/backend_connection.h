// A persistent connection to a backend server.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/types.h"
#include "proxy/http_reader.h"
#include "proxy/socket_options.h"

namespace rosemarycove {

// How far a request was when its connection failed, or why its response could
// not be read.
enum class FailureKind : std::uint8_t {
  kNotSent,            // No byte of the request was written, so it was not
                       // executed.
  kNoResponse,         // It was sent, at least in part, and may have been
                       // executed. No head of a response was received.
  kMalformedResponse,  // The bytes received are not an HTTP response.
  kDuringResponse,     // The head of the response was received, and the
                       // connection ended before the end of its body.
  kTimedOut,           // Like the two above, but the network ended the
                       // connection, not the server.
};

// What to do with a response whose head was received.
enum class HeadDecision : std::uint8_t {
  kAccept,
  kSkip,  // It belongs to another request; wait for the next response.
};

// Receives the response to a request. The last call is OnComplete or OnFailed,
// unless the connection is aborted.
class ResponseListener {
 public:
  virtual ~ResponseListener() = default;
  // Called just before the first byte of the request is written.
  virtual void OnSendStarted() = 0;
  virtual HeadDecision OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(std::string bytes) = 0;
  virtual void OnComplete() = 0;
  virtual void OnFailed(FailureKind kind, const std::string& reason) = 0;
};

// A TCP connection that serves one request at a time. Used on the event loop's
// thread only.
//
// Ownership is shared, since a connection has to live until the pending
// operations on its socket have ended, which may be after its user was
// destroyed.
class BackendConnection
    : public std::enable_shared_from_this<BackendConnection> {
 public:
  BackendConnection(boost::asio::io_context& io,
                    boost::asio::ip::tcp::endpoint endpoint);

  // Connects if necessary, sends a request and reports its response to the
  // listener. `request_body` is sent after `request`; it is shared, since it is
  // kept for another attempt. `is_head_request`: the method is HEAD, whose
  // response has no body.
  void Send(std::string request, bool is_head_request,
            ResponseListener& listener,
            std::shared_ptr<const std::string> request_body = nullptr);
  // Makes another listener receive the rest of the response, unless the
  // response has ended.
  void SetListener(ResponseListener& new_listener) {
    if (this->listener != nullptr) {
      this->listener = &new_listener;
    }
  }
  // Closes the connection without a further call to the listener. Resets it
  // while a request is under way, so that the kernel sends nothing more of it.
  void Abort();
  // Stop and resume reading, so that a slow caller slows down the server.
  void PauseReading();
  void ResumeReading();

  [[nodiscard]] bool is_paused() const { return this->paused; }
  // Returns how many bytes of the request the socket has not taken yet.
  [[nodiscard]] std::size_t unwritten_bytes() const {
    return this->RequestBytes() - this->written;
  }
  [[nodiscard]] bool is_connected() const { return this->connected; }
  // Returns whether the connection is open and idle, so that it can serve
  // another request.
  [[nodiscard]] bool IsReusable() const;
  // Returns whether the other side has not yet answered what was sent to it,
  // probes included.
  [[nodiscard]] bool IsUnanswered(const PathMonitor& paths) const {
    return paths.IsUnanswered(this->socket);
  }
  [[nodiscard]] bool is_closed() const { return this->closed; }
  // Records the id of the next request. Returns false if an earlier one had the
  // same id, since their responses could not be told apart.
  [[nodiscard]] bool ReserveFor(const std::string& request_id);
  // Returns whether a complete response was received on this connection, also
  // if it belonged to none of its requests.
  [[nodiscard]] bool has_received_response() const {
    return this->response_received;
  }
  // Returns how long it took to connect.
  [[nodiscard]] Duration connect_time() const { return this->connect_duration; }
  // Returns when the last response ended.
  [[nodiscard]] TimePoint idle_since() const { return this->idle_start; }
  // Returns how long the connection may stay idle before it is closed, which is
  // before the server is expected to close it.
  [[nodiscard]] Duration idle_timeout() const { return this->idle_limit; }

 private:
  void Connect();
  [[nodiscard]] std::size_t RequestBytes() const {
    return this->request.size() + (this->body ? this->body->size() : 0);
  }
  void Write();
  // Drops the request that was sent: an idle connection holds nothing of it.
  void ReleaseRequest();
  // Keeps the connection of a server that does not read the rest of the request
  // while it can be reached.
  void WatchUnreadRequest();
  void Read();
  // Closes the connection if bytes arrive, or it ends, while no request is
  // under way: such bytes belong to no request.
  void WatchIdle();
  void OnBytesRead(std::size_t count);
  void OnConnectionEnded(boost::system::error_code cause);
  // Returns why the connection ended, of which the failure of a read may tell
  // only a part.
  [[nodiscard]] boost::system::error_code EndCauseOf(
      boost::system::error_code read_failure) const;
  void ProcessReceived();
  void FinishResponse();
  void Fail(FailureKind kind, const std::string& reason);
  void Close();
  // Returns the kind of a failure to read.
  [[nodiscard]] FailureKind FailureKindOf(
      boost::system::error_code failure) const;

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer unread_watch;
  boost::asio::ip::tcp::endpoint endpoint;
  ResponseListener* listener = nullptr;
  std::string request;
  // What follows `request`; null if nothing does.
  std::shared_ptr<const std::string> body;
  // Bytes of both that were written.
  std::size_t written = 0;
  // Why a write of the rest of the request failed.
  boost::system::error_code write_failure;
  std::string received;
  std::string read_buffer;
  std::unique_ptr<ResponseReader> reader;
  bool is_head_request = false;
  // OnHead was called and accepted the response.
  bool head_reported = false;
  // The current response belongs to another request.
  bool skipping = false;
  // Body bytes of such responses that were dropped.
  std::size_t skipped_bytes = 0;
  // A response was received, be it to the current request, an earlier one or
  // none.
  bool response_received = false;
  bool connected = false;
  bool connecting = false;
  bool writing = false;
  bool watching_unread = false;
  bool reading = false;
  bool paused = false;
  bool closed = false;
  // The connection can't be reused after the current response.
  bool must_close = false;
  // Hashes of the ids of all requests.
  std::vector<std::size_t> request_id_hashes;
  TimePoint connect_started_at;
  Duration connect_duration{};
  TimePoint idle_start;
  Duration idle_limit{};
};

}  // namespace rosemarycove
