#include "proxy/caller_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <string_view>
#include <utility>

#include "http/http_status.h"
#include "net/clock.h"
#include "proxy/relay_fields.h"
#include "proxy/socket_options.h"

namespace rosemarycove {
namespace {

using boost::system::error_code;

// Maximum bytes per read from the socket.
constexpr std::size_t kReadBufferBytes = std::size_t{16} << 10U;
// Reading stops once this many bytes of pipelined requests are buffered.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} << 10U;
// A caller's connection fails if response bytes stay unacknowledged for this
// long. Longer than for servers, since callers may be slow.
constexpr Duration kUnacknowledgedTimeout = std::chrono::seconds(10);
// Interval of the checks whether a caller that does not read can be reached.
constexpr Duration kUnreadCheckInterval = std::chrono::seconds(1);
// How long a connection is still read after its last response. Closing it with
// unread bytes would reset it, and the caller could lose the response.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// Retry-After of requests that are rejected while the request bodies in memory
// exceed their maximum size.
constexpr Duration kRejectedRetryAfter = std::chrono::seconds(1);
// Longer than another instance keeps an idle connection, so that a request
// doesn't cross the close.
constexpr Duration kInstanceIdleTimeout = std::chrono::seconds(10);
constexpr std::array<std::string_view, 9> kMethods = {
    "GET ",     "HEAD ",    "POST ",  "PUT ",  "DELETE ",
    "CONNECT ", "OPTIONS ", "TRACE ", "PATCH "};

// Returns whether the bytes may be the start of a request with a standard
// method.
bool MayBeginRequest(std::string_view bytes) {
  return std::any_of(
      kMethods.begin(), kMethods.end(), [bytes](std::string_view method) {
        const std::size_t count = std::min(bytes.size(), method.size());
        return bytes.substr(0, count) == method.substr(0, count);
      });
}

}  // namespace

CallerConnection::CallerConnection(boost::asio::ip::tcp::socket socket,
                                   CallerKind kind, ProxyContext& context)
    : socket(std::move(socket)),
      kind(kind),
      context(context),
      waiting_since(MonotonicNow()),
      last_read(this->waiting_since),
      last_write(this->waiting_since) {
  SetLivenessOptions(this->socket, kUnacknowledgedTimeout);
  error_code ignored;
  this->socket.non_blocking(true, ignored);
}

CallerLimits CallerConnection::Limits() const {
  CallerLimits limits = this->context.configuration
                            ? this->context.configuration->limits
                            : CallerLimits{};
  if (this->kind == CallerKind::kInstance) {
    limits.max_header_bytes += kMaxRelayFieldBytes;
    limits.idle_timeout = std::max(limits.idle_timeout, kInstanceIdleTimeout);
  }
  return limits;
}

void CallerConnection::Start() { this->Read(); }

void CallerConnection::Read() {
  if (this->reading || this->closed ||
      (this->exchange && this->received.size() > kMaxPipelinedBytes)) {
    return;
  }
  this->reading = true;
  // The bytes stay in the socket until they are parsed, so that HasUnreadBytes
  // sees them. async_read_some may take them some time before its handler runs.
  this->socket.async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [self = this->shared_from_this()](error_code failure) {
        self->reading = false;
        if (!self->closed) {
          self->ReadAvailable(failure);
        }
      });
}

void CallerConnection::ReadAvailable(error_code failure) {
  std::size_t count = 0;
  if (!failure) {
    this->read_buffer.resize(kReadBufferBytes);
    count =
        this->socket.read_some(boost::asio::buffer(this->read_buffer), failure);
  }
  if (failure == boost::asio::error::would_block) {
    this->Read();
  } else if (failure) {
    this->OnCallerLost(CloseCause::kCallerClosed);
  } else {
    this->OnBytesRead(count);
  }
}

void CallerConnection::OnBytesRead(std::size_t count) {
  this->last_read = MonotonicNow();
  this->received.append(this->read_buffer.data(), count);
  if (this->closing) {
    // A response that announced the close allows no further request.
    if (*this->closing != CloseCause::kResponseSent) {
      this->ReportUnanswered(*this->closing);
    }
    this->received.clear();
  } else {
    this->ParseReceived();
  }
  this->Read();
}

void CallerConnection::ParseReceived() {
  if (this->exchange || this->closing || this->closed ||
      this->received.empty()) {
    return;
  }
  if (!this->reader) {
    // Empty lines before a request are ignored, as HTTP recommends.
    this->received.erase(0, this->received.find_first_not_of("\r\n"));
    if (this->received.empty()) {
      return;
    }
    const CallerLimits limits = this->Limits();
    this->reader.emplace(
        RequestLimits{.max_header_bytes = limits.max_header_bytes,
                      .max_body_bytes = limits.max_body_bytes});
    this->waiting_since = MonotonicNow();
  }
  // The rest of a body that is longer than stated would become part of the next
  // request, and an answer to it would be taken for that request's.
  if (this->had_request && !this->reader->has_head() &&
      !MayBeginRequest(this->received)) {
    this->reader.reset();
    this->received.clear();
    this->StartClosing(CloseCause::kResponseSent);
    return;
  }
  switch (this->reader->Feed(this->received)) {
    case RequestReader::Progress::kNeedMore:
      return;
    case RequestReader::Progress::kHead:
      if (this->context.buffered_body_bytes >
          this->context.max_buffered_body_bytes) {
        this->Reject(http_status::kUnavailable);
      } else if (this->reader->ExpectsContinue()) {
        this->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return;
    case RequestReader::Progress::kComplete:
      this->StartExchange();
      return;
    case RequestReader::Progress::kRejected:
      this->Reject(this->reader->rejection_status());
      return;
  }
}

void CallerConnection::StartExchange() {
  this->had_request = true;
  this->write_timeout = this->Limits().idle_timeout;
  this->context.observer.OnRequestRead();
  RequestHead head = this->reader->head();
  std::string body = this->reader->TakeBody();
  this->reader.reset();
  this->exchange = std::make_unique<Exchange>(
      this->context, std::move(head), std::move(body), *this, MonotonicNow(),
      this->kind == CallerKind::kInstance);
  this->exchange->Start();
}

void CallerConnection::Reject(int status) {
  this->write_timeout = this->Limits().idle_timeout;
  std::optional<Duration> retry;
  if (status == http_status::kUnavailable) {
    retry = kRejectedRetryAfter;
  }
  LocalResponse response{.status = status,
                         .retry_after = retry,
                         .body = std::string(ReasonPhrase(status)) + "\n",
                         .close = true};
  if (this->kind == CallerKind::kInstance) {
    response.fields = RelayedEndingFields(
        {.cause = EndCause::kNotReady, .not_executed = true});
  }
  this->Write(WriteLocalResponse(response));
  this->reader.reset();
  // What follows belongs to the rejected request.
  this->received.clear();
  this->StartClosing(CloseCause::kResponseSent);
}

void CallerConnection::Write(std::string bytes) {
  if (this->closed) {
    return;
  }
  if (this->outgoing.empty()) {
    this->outgoing = std::move(bytes);
  } else {
    this->outgoing.append(bytes);
  }
  this->Flush();
}

void CallerConnection::Flush() {
  if (!this->sending.empty() || this->outgoing.empty() || this->closed) {
    return;
  }
  this->sending.swap(this->outgoing);
  this->last_write = MonotonicNow();
  this->has_unacknowledged = true;
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->sending),
      [self = this->shared_from_this()](error_code failure, std::size_t) {
        self->sending.clear();
        if (self->closed) {
          return;
        }
        if (failure) {
          self->OnCallerLost(CloseCause::kCallerClosed);
          return;
        }
        self->Flush();
        if (self->exchange && !self->finishing) {
          self->exchange->OnOutputSent();
        }
        if (self->closing && self->unsent_bytes() == 0) {
          self->EndSending();
        }
      });
}

void CallerConnection::Finish(bool keep_open) {
  if (this->closed || this->finishing) {
    return;
  }
  this->finishing = true;
  // The exchange calls this function, so it can only be destroyed afterwards.
  boost::asio::post(this->context.io,
                    [self = this->shared_from_this(), keep_open] {
                      self->finishing = false;
                      self->exchange.reset();
                      if (self->closed) {
                        return;
                      }
                      self->waiting_since = MonotonicNow();
                      self->last_read = self->waiting_since;
                      if (!keep_open) {
                        self->StartClosing(CloseCause::kResponseSent);
                        return;
                      }
                      self->ParseReceived();
                      self->Read();
                    });
}

void CallerConnection::StartClosing(CloseCause cause) {
  this->ReportUnanswered(cause);
  this->closing = cause;
  this->received.clear();
  this->close_at = MonotonicNow() + kLingerTime;
  if (this->unsent_bytes() == 0) {
    this->EndSending();
  }
  this->Read();
}

void CallerConnection::Abort(bool reset) {
  this->reset_after_flush = reset;
  this->Finish(false);
}

void CallerConnection::Tick(TimePoint now) {
  if (this->closed) {
    return;
  }
  if (this->has_unacknowledged &&
      now - this->unread_checked_at >= kUnreadCheckInterval) {
    this->unread_checked_at = now;
    this->has_unacknowledged =
        UpdateUserTimeout(this->socket, kUnacknowledgedTimeout) ||
        !this->sending.empty();
  }
  if (this->exchange) {
    if (!this->finishing) {
      this->exchange->Tick(now);
    }
    if (!this->sending.empty() &&
        now - this->last_write > this->write_timeout) {
      this->OnCallerLost(CloseCause::kCallerNotReading);
    }
    return;
  }
  if (this->closing) {
    const bool write_timed_out = now - this->last_write > this->write_timeout;
    if (this->unsent_bytes() == 0 ? now >= *this->close_at : write_timed_out) {
      this->Close(*this->closing);
    }
    return;
  }
  const CallerLimits limits = this->Limits();
  if (this->reader && !this->reader->has_head()) {
    if (now - this->waiting_since > limits.header_timeout) {
      this->Reject(http_status::kRequestTimeout);
    }
    return;
  }
  if (now - this->last_read > limits.idle_timeout) {
    if (this->reader) {
      this->Reject(http_status::kRequestTimeout);
    } else if (this->IsIdle()) {
      this->Close(CloseCause::kIdleTimeout);
    }
  }
}

bool CallerConnection::IsIdle() {
  return !this->exchange && !this->reader && !this->closing && !this->closed &&
         this->received.empty() && this->unsent_bytes() == 0 &&
         !this->HasUnreadBytes();
}

bool CallerConnection::HasUnreadBytes() {
  char byte = 0;
  return ::recv(this->socket.native_handle(), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

void CallerConnection::CloseIfIdle(bool unused_too) {
  if (this->IsIdle() && (this->had_request || unused_too)) {
    this->Close(CloseCause::kIdleAtShutdown);
  }
}

void CallerConnection::Shutdown() {
  if (this->exchange) {
    this->exchange->CutOff();
  } else if (this->reader && !this->closing) {
    this->Reject(http_status::kUnavailable);
  }
}

void CallerConnection::EndSending() {
  // Errors are ignored: the caller may have disconnected meanwhile.
  error_code ignored;
  if (this->reset_after_flush) {
    this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    this->Close(CloseCause::kResponseSent);
    return;
  }
  this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
}

void CallerConnection::OnCallerLost(CloseCause cause) {
  if (this->exchange) {
    this->exchange->OnCallerDisconnected();
  }
  this->Close(cause);
}

void CallerConnection::ReportUnanswered(CloseCause cause) {
  if (cause == CloseCause::kCallerClosed ||
      cause == CloseCause::kCallerNotReading || this->unanswered_reported) {
    return;
  }
  const TimePoint now = MonotonicNow();
  if (this->exchange && !this->exchange->has_ended()) {
    this->unanswered_reported = true;
    this->context.observer.OnUnanswered(
        {.request_id = this->exchange->request_id(),
         .cause = cause,
         .is_whole = true,
         .age = now - this->exchange->arrived_at()});
  } else if (this->reader || !this->received.empty()) {
    this->unanswered_reported = true;
    this->context.observer.OnUnanswered(
        {.request_id =
             this->reader && this->reader->has_head()
                 ? this->context.dialect.ReadRequest(this->reader->head())
                       .request_id
                 : std::string(),
         .cause = cause,
         .age = now - this->waiting_since});
  }
}

void CallerConnection::Close(CloseCause cause) {
  if (this->closed) {
    return;
  }
  this->ReportUnanswered(cause);
  this->closed = true;
  // The descriptor is released even if close reports an error.
  error_code ignored;
  this->socket.close(ignored);
  if (!this->finishing && this->exchange) {
    this->finishing = true;
    boost::asio::post(this->context.io, [self = this->shared_from_this()] {
      self->exchange.reset();
    });
  }
}

void CallerConnection::Terminate() {
  this->finishing = true;
  this->Close(CloseCause::kProcessEnds);
  this->exchange.reset();
}

}  // namespace rosemarycove
