#include "proxy/backend_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <charconv>
#include <functional>
#include <utility>

#include "net/clock.h"
#include "proxy/socket_options.h"

namespace rosemarycove {
namespace {

using boost::system::error_code;

// Maximum bytes per read from the socket.
constexpr std::size_t kReadBufferBytes = std::size_t{16} << 10U;
// A server that leaves bytes of a request unacknowledged for this long is
// considered unreachable. A sound one may be silent for a second or two, and
// two keep-alive probes have to fail.
constexpr Duration kUnacknowledgedTimeout = std::chrono::milliseconds(2500);
// The window of a server takes requests up to this size even if it does not
// read.
constexpr std::size_t kMaxUnwatchedBytes = std::size_t{32} << 10U;
// Interval of the checks of a longer one that is being sent.
constexpr Duration kUnreadWatchInterval = std::chrono::milliseconds(250);
// A response to another request with a larger body counts as endless.
constexpr std::size_t kMaxSkippedBytes = std::size_t{1} << 20U;
// A connection is closed after this many requests, which limits the number of
// ids that it remembers.
constexpr std::size_t kMaxRequests = 500;
// Idle timeout of a connection when the server does not send one.
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(4);
// Subtracted from the server's idle timeout, so that the server does not close
// the connection while a request is in transit.
constexpr Duration kIdleMargin = std::chrono::milliseconds(700);

// Returns the idle timeout that a response states, less the margin.
Duration IdleTimeoutOf(const ResponseHead& head) {
  const auto field = head.fields.Find("keep-alive");
  if (!field) {
    return kDefaultIdleTimeout;
  }
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = field->find(kTimeout);
  int seconds = 0;
  if (at == std::string_view::npos) {
    return kDefaultIdleTimeout;
  }
  const char* begin = field->data() + at + kTimeout.size();
  std::from_chars(begin, field->data() + field->size(), seconds);
  return std::max(Duration{}, std::chrono::seconds(seconds) - kIdleMargin);
}

}  // namespace

BackendConnection::BackendConnection(boost::asio::io_context& io,
                                     boost::asio::ip::tcp::endpoint endpoint)
    : socket(io), unread_watch(io), endpoint(std::move(endpoint)) {}

void BackendConnection::Send(std::string request_bytes, bool head_request,
                             ResponseListener& response_listener,
                             std::shared_ptr<const std::string> request_body) {
  this->listener = &response_listener;
  this->request = std::move(request_bytes);
  this->body = std::move(request_body);
  this->written = 0;
  this->is_head_request = head_request;
  this->reader = std::make_unique<ResponseReader>(head_request);
  this->head_reported = false;
  this->skipping = false;
  this->skipped_bytes = 0;
  if (this->connected) {
    this->Write();
    this->Read();
  } else if (!this->connecting) {
    this->Connect();
  }
}

void BackendConnection::Connect() {
  this->connecting = true;
  this->connect_started_at = MonotonicNow();
  error_code error;
  this->socket.open(boost::asio::ip::tcp::v4(), error);
  if (!error) {
    SetLivenessOptions(this->socket, kUnacknowledgedTimeout);
    LimitKernelBuffers(this->socket);
  }
  this->socket.async_connect(
      this->endpoint, [self = this->shared_from_this()](error_code failure) {
        self->connecting = false;
        if (self->closed) {
          return;
        }
        if (failure) {
          self->Fail(FailureKind::kNotSent, failure.message());
          return;
        }
        self->connected = true;
        self->connect_duration = MonotonicNow() - self->connect_started_at;
        self->Write();
        self->Read();
      });
}

void BackendConnection::Write() {
  if (this->writing || this->closed || this->unwritten_bytes() == 0) {
    return;
  }
  if (this->written == 0 && this->listener != nullptr) {
    this->listener->OnSendStarted();
    if (this->closed) {
      return;
    }
  }
  this->writing = true;
  std::array<boost::asio::const_buffer, 2> buffers{
      boost::asio::buffer(this->request) + this->written};
  if (this->body) {
    const std::size_t written_of_body =
        std::max(this->written, this->request.size()) - this->request.size();
    buffers[1] = boost::asio::buffer(*this->body) + written_of_body;
  }
  this->socket.async_write_some(
      buffers,
      [self = this->shared_from_this()](error_code failure, std::size_t count) {
        self->writing = false;
        self->written += count;
        if (self->closed) {
          return;
        }
        if (failure) {
          // After a partial write the server may have responded before it
          // closed the connection; reading that response reports the result.
          if (self->written == 0) {
            self->Fail(FailureKind::kNotSent, failure.message());
          }
          self->write_failure = failure;
          return;
        }
        self->Write();
        self->WatchUnreadRequest();
      });
}

void BackendConnection::WatchUnreadRequest() {
  if (this->watching_unread || this->closed ||
      this->RequestBytes() <= kMaxUnwatchedBytes) {
    return;
  }
  this->watching_unread = true;
  this->unread_watch.expires_after(kUnreadWatchInterval);
  this->unread_watch.async_wait([self = this->shared_from_this()](
                                    error_code /*failure*/) {
    self->watching_unread = false;
    if (self->closed) {
      return;
    }
    const bool waits = UpdateUserTimeout(self->socket, kUnacknowledgedTimeout);
    if (waits || self->writing) {
      self->WatchUnreadRequest();
    }
  });
}

void BackendConnection::Read() {
  if (this->reading || this->paused || this->closed) {
    return;
  }
  if (this->listener == nullptr) {
    this->WatchIdle();
    return;
  }
  this->reading = true;
  this->read_buffer.resize(kReadBufferBytes);
  this->socket.async_read_some(
      boost::asio::buffer(this->read_buffer),
      [self = this->shared_from_this()](error_code failure, std::size_t count) {
        self->reading = false;
        if (self->closed) {
          return;
        }
        if (count > 0) {
          self->OnBytesRead(count);
          return;
        }
        self->OnConnectionEnded(self->EndCauseOf(failure));
      });
}

void BackendConnection::OnConnectionEnded(error_code cause) {
  if (cause == boost::asio::error::eof && this->head_reported &&
      !this->skipping &&
      this->reader->FeedEof() == ResponseReader::Progress::kComplete) {
    this->must_close = true;
    this->FinishResponse();
    return;
  }
  this->Fail(this->FailureKindOf(cause), cause.message());
}

error_code BackendConnection::EndCauseOf(error_code read_failure) const {
  // The socket reports an error once. A write that gets it leaves an end of
  // stream to the next read. After an orderly end, writes fail with EPIPE.
  const bool write_took_error =
      this->write_failure &&
      this->write_failure != boost::asio::error::broken_pipe;
  return read_failure == boost::asio::error::eof && write_took_error
             ? this->write_failure
             : read_failure;
}

void BackendConnection::WatchIdle() {
  // Bytes stay in the socket's buffer, where IsReusable finds them.
  this->reading = true;
  this->socket.async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [self = this->shared_from_this()](error_code /*failure*/) {
        self->reading = false;
        if (self->closed) {
          return;
        }
        if (self->listener == nullptr && !self->IsReusable()) {
          self->Close();
          return;
        }
        self->Read();
      });
}

FailureKind BackendConnection::FailureKindOf(error_code failure) const {
  if (this->written == 0 && !this->head_reported) {
    return FailureKind::kNotSent;
  }
  const bool ended_by_server = failure == boost::asio::error::eof ||
                               failure == boost::asio::error::connection_reset;
  if (!ended_by_server) {
    return FailureKind::kTimedOut;
  }
  return this->head_reported ? FailureKind::kDuringResponse
                             : FailureKind::kNoResponse;
}

void BackendConnection::OnBytesRead(std::size_t count) {
  this->received.append(this->read_buffer.data(), count);
  this->ProcessReceived();
  if (!this->closed) {
    this->Read();
  }
}

void BackendConnection::ProcessReceived() {
  while (this->listener != nullptr && !this->closed) {
    const ResponseReader::Progress progress =
        this->reader->Feed(this->received);
    if (progress == ResponseReader::Progress::kMalformed) {
      this->Fail(FailureKind::kMalformedResponse, "malformed response");
      return;
    }
    if (this->reader->has_head() && !this->head_reported && !this->skipping) {
      if (this->listener->OnHead(this->reader->head()) == HeadDecision::kSkip) {
        this->skipping = true;
        this->must_close = true;
      } else {
        this->head_reported = true;
      }
      if (this->closed) {
        return;
      }
    }
    if (this->head_reported) {
      std::string bytes = this->reader->TakeBody();
      if (!bytes.empty()) {
        this->listener->OnBody(std::move(bytes));
      }
      if (this->closed) {
        return;
      }
    }
    if (this->skipping) {
      this->skipped_bytes += this->reader->TakeBody().size();
      if (this->skipped_bytes > kMaxSkippedBytes) {
        this->Fail(FailureKind::kNoResponse,
                   "endless response to another request");
        return;
      }
    }
    if (progress == ResponseReader::Progress::kNeedMore) {
      return;
    }
    this->response_received = true;
    if (this->skipping) {
      this->skipping = false;
      this->reader = std::make_unique<ResponseReader>(this->is_head_request);
      if (this->received.empty()) {
        return;
      }
      continue;
    }
    this->FinishResponse();
    return;
  }
}

void BackendConnection::FinishResponse() {
  ResponseListener* receiver = std::exchange(this->listener, nullptr);
  this->paused = false;
  const bool keep_open = this->reader->head().KeepsAlive() &&
                         !this->must_close && this->unwritten_bytes() == 0 &&
                         this->received.empty() &&
                         this->request_id_hashes.size() < kMaxRequests;
  this->idle_limit = IdleTimeoutOf(this->reader->head());
  this->idle_start = MonotonicNow();
  if (!keep_open) {
    this->Close();
  } else {
    this->ReleaseRequest();
  }
  receiver->OnComplete();
}

void BackendConnection::ReleaseRequest() {
  std::string().swap(this->request);
  std::string().swap(this->received);
  this->body.reset();
  this->written = 0;
}

bool BackendConnection::ReserveFor(const std::string& request_id) {
  const std::size_t hash = std::hash<std::string>()(request_id);
  if (std::find(this->request_id_hashes.begin(), this->request_id_hashes.end(),
                hash) != this->request_id_hashes.end()) {
    return false;
  }
  this->request_id_hashes.push_back(hash);
  return true;
}

bool BackendConnection::IsReusable() const {
  if (!this->connected || this->closed || this->listener != nullptr ||
      !this->received.empty()) {
    return false;
  }
  // Unread bytes or an end of stream make the connection unusable.
  char byte = 0;
  const ssize_t waiting = ::recv(
      const_cast<boost::asio::ip::tcp::socket&>(this->socket).native_handle(),
      &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return waiting < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void BackendConnection::Fail(FailureKind kind, const std::string& reason) {
  ResponseListener* receiver = std::exchange(this->listener, nullptr);
  this->Close();
  if (receiver != nullptr) {
    receiver->OnFailed(kind, reason);
  }
}

void BackendConnection::Abort() {
  if (std::exchange(this->listener, nullptr) != nullptr && this->connected) {
    error_code ignored;
    this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }
  this->Close();
}

void BackendConnection::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->connected = false;
  // The descriptor is released even if close reports an error.
  error_code ignored;
  this->socket.close(ignored);
  this->unread_watch.cancel();
}

void BackendConnection::PauseReading() { this->paused = true; }

void BackendConnection::ResumeReading() {
  this->paused = false;
  if (this->connected) {
    this->Read();
  }
}

}  // namespace rosemarycove
