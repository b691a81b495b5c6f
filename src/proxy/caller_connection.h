// A persistent connection from a caller.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "proxy/exchange.h"
#include "proxy/http_reader.h"
#include "proxy/proxy_context.h"

namespace rosemarycove {

// Who opens the connections to a listener.
enum class CallerKind : std::uint8_t {
  kCaller,
  kInstance,  // Another instance, which relays its callers' requests.
};

// Reads requests, handles each complete one with an Exchange and writes its
// response. It keeps reading while a request is handled, to notice that the
// caller disconnected. Used on the event loop's thread only.
//
// Ownership is shared, since the connection has to live until the pending
// operations on its socket have ended.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         public ResponseSink,
                         public BudgetHolder {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket, CallerKind kind,
                   ProxyContext& context);

  void Start();
  // Checks timeouts; called periodically.
  void Tick(TimePoint now);
  // Closes the connection if no request is being read or handled and no
  // response is being sent. It is not read any more: a request that crosses the
  // close is reset, which tells its caller that it was not read. A connection
  // that never had a request is about to have one; it is closed only if
  // `unused_too`.
  void CloseIfIdle(bool unused_too);
  // Ends the request with a true outcome and starts to close the connection,
  // since the process is about to exit. An idle connection stays open, so that
  // a request that is on its way is refused and not lost.
  void Shutdown();
  // Closes the connection and drops its request at once, without a response.
  // Must not be called from within the request's own functions.
  void Terminate();
  // Returns since when the connection has been idle, as far as that is known
  // without a look at the socket; nullopt if it isn't.
  [[nodiscard]] std::optional<TimePoint> IdleSince() const;
  // Closes the connection if it is idle, to make room for others. Returns
  // whether it was.
  bool CloseForRoom();
  // Returns whether a request was read as a whole.
  [[nodiscard]] bool was_used() const { return this->had_request; }
  // Returns the address of the caller; unspecified if it had disconnected.
  [[nodiscard]] const boost::asio::ip::address& origin() const {
    return this->remote_address;
  }
  [[nodiscard]] bool is_closed() const { return this->closed; }
  // Returns whether a request is being handled.
  [[nodiscard]] bool is_busy() const { return this->exchange != nullptr; }

  // ResponseSink
  void Write(std::string bytes) override;
  void Finish(bool keep_open) override;
  void Abort(bool reset) override;
  [[nodiscard]] bool MayHold(const std::string& customer) override;
  [[nodiscard]] std::size_t unsent_bytes() const override {
    return this->outgoing.size() + this->sending.size() - this->sent;
  }

  // BudgetHolder
  [[nodiscard]] bool ExpectsProgress() const override;
  void OnRoomAvailable() override;
  void OnStopped(BudgetCause cause) override;

 private:
  void Read();
  // Reads what the socket has, unless waiting for it failed.
  void ReadAvailable(boost::system::error_code failure);
  void OnBytesRead(std::string_view bytes);
  void ParseReceived();
  // Returns whether the next request waits until the caller has read more of
  // the responses to those before it.
  [[nodiscard]] bool AwaitsCaller() const;
  // Handles a complete head whose body is still to be read.
  void OnHeadRead();
  // Returns whether the budget allows to read the body further. Refuses the
  // request if too many others wait.
  bool MayReadBody();
  // Tells the budget what this connection holds.
  void UpdateHeld();
  void ReportStopped(BudgetCause cause, bool not_executed);
  // Returns the customer whose API key the request has; empty if none.
  [[nodiscard]] std::string CustomerOf(const RequestHead& head) const;
  void StartExchange();
  void Reject(int status);
  // Starts to send `outgoing`, unless a write is pending.
  void Flush();
  // Sends the rest of `sending`.
  void SendPending();
  void OnBytesSent(boost::system::error_code failure, std::size_t count);
  // Records how much of the request its server has taken since the last tick.
  void RecordUpload();
  // Returns whether no request is being read or handled and no response is
  // being sent.
  [[nodiscard]] bool IsIdle();
  // Returns whether the caller has closed or reset the connection, or ended it
  // towards this instance, even if bytes before that were not read yet.
  [[nodiscard]] bool HasCallerLeft();
  // Closes the connection if the caller has left while its request waited to be
  // read. Returns whether it had.
  bool CloseIfCallerLeft();
  // Returns whether bytes have arrived that were not read yet; they may be a
  // request.
  [[nodiscard]] bool HasUnreadBytes();
  // Closes the connection in order: ends it towards the caller once all is
  // sent, and still reads until the caller closes it, since unread bytes would
  // reset it.
  void StartClosing(CloseCause cause);
  // Ends the connection towards the caller once all is sent.
  void EndSending();
  // Handles a caller that disconnected or does not read its response.
  void OnCallerLost(CloseCause cause);
  void Close(CloseCause cause);
  // Reports the request, or the part of one, that was read and has no outcome;
  // only the first call has an effect.
  void ReportUnanswered(CloseCause cause);
  [[nodiscard]] CallerLimits Limits() const;

  boost::asio::ip::tcp::socket socket;
  CallerKind kind;
  ProxyContext& context;
  boost::asio::ip::address remote_address;
  // Nullopt once the connection is closed.
  std::optional<BudgetAccount> account;
  std::string received;
  std::optional<RequestReader> reader;
  std::unique_ptr<Exchange> exchange;
  // Bytes to be sent after the pending write.
  std::string outgoing;
  // Bytes of the pending write, and how many of them were sent.
  std::string sending;
  std::size_t sent = 0;
  // Bytes of the request that its server had not taken at the last tick.
  std::size_t unwritten = 0;
  // When the request began to wait for memory, and how long it did so before.
  TimePoint memory_wait_since;
  Duration memory_wait{};
  // The caller waits for 100 Continue before it sends the body.
  bool continue_is_due = false;
  bool reading = false;
  // The exchange has ended and is about to be destroyed.
  bool finishing = false;
  // Why the connection is being closed: no further request is accepted. Nullopt
  // before.
  std::optional<CloseCause> closing;
  // A request was read as a whole.
  bool had_request = false;
  bool unanswered_reported = false;
  // A closing connection is reset instead of closed in order.
  bool reset_after_flush = false;
  bool closed = false;
  // When the wait for the request that is read now, or for the next one, began.
  TimePoint waiting_since;
  TimePoint last_read;
  TimePoint last_write;
  // How long the caller may take to read a part of the response. A
  // configuration that comes later doesn't change it.
  Duration write_timeout{};
  // Bytes were written that the caller may not have acknowledged yet.
  bool has_unacknowledged = false;
  TimePoint unread_checked_at;
  // When a closing connection is closed, provided that all is sent; nullopt
  // before it closes.
  std::optional<TimePoint> close_at;
};

}  // namespace rosemarycove
