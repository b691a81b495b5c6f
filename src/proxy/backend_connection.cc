#include "proxy/backend_connection.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <charconv>
#include <utility>

#include "proxy/socket_options.h"

namespace rosemarycove {
namespace {

using boost::system::error_code;

// Bytes read at once.
constexpr std::size_t kReadBlock = std::size_t{16} << 10U;
// A server that leaves bytes of a request unacknowledged for this long is
// taken for cut off. Links answer within a few milliseconds; lost packets are
// sent again within a few hundred.
constexpr Duration kUnacknowledged = std::chrono::milliseconds(1500);
// How long an idle connection is kept when the server does not say.
constexpr Duration kUsualIdle = std::chrono::seconds(4);
// Left of the server's own limit, so that a request does not cross its close.
constexpr Duration kIdleMargin = std::chrono::milliseconds(700);

// The idle time that a response states, less a margin.
Duration IdleLimitOf(const ResponseHead& head) {
  const auto field = head.fields.Find("keep-alive");
  if (!field) {
    return kUsualIdle;
  }
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = field->find(kTimeout);
  int seconds = 0;
  if (at == std::string_view::npos) {
    return kUsualIdle;
  }
  const char* begin = field->data() + at + kTimeout.size();
  std::from_chars(begin, field->data() + field->size(), seconds);
  return std::max(Duration{}, std::chrono::seconds(seconds) - kIdleMargin);
}

}  // namespace

BackendConnection::BackendConnection(boost::asio::io_context& io,
                                     boost::asio::ip::tcp::endpoint endpoint)
    : socket(io), endpoint(std::move(endpoint)) {}

void BackendConnection::Send(std::string request_bytes, bool head_request,
                             ResponseListener& answer_listener) {
  this->listener = &answer_listener;
  this->request = std::move(request_bytes);
  this->written = 0;
  this->is_head_request = head_request;
  this->reader = std::make_unique<ResponseReader>(head_request);
  this->head_reported = false;
  this->skipping = false;
  if (this->connected) {
    this->Write();
    this->Read();
  } else if (!this->connecting) {
    this->Connect();
  }
}

void BackendConnection::Connect() {
  this->connecting = true;
  error_code error;
  this->socket.open(boost::asio::ip::tcp::v4(), error);
  if (!error) {
    SetLivenessOptions(this->socket, kUnacknowledged);
  }
  this->socket.async_connect(
      this->endpoint, [self = this->shared_from_this()](error_code failure) {
        self->connecting = false;
        if (self->closed) {
          return;
        }
        if (failure) {
          self->Fail(FailurePhase::kNotSent, failure.message());
          return;
        }
        self->connected = true;
        self->Write();
        self->Read();
      });
}

void BackendConnection::Write() {
  if (this->writing || this->closed || this->written == this->request.size()) {
    return;
  }
  if (this->written == 0 && this->listener != nullptr) {
    this->listener->OnSendStarted();
    if (this->closed) {
      return;
    }
  }
  this->writing = true;
  this->socket.async_write_some(
      boost::asio::buffer(this->request.data() + this->written,
                          this->request.size() - this->written),
      [self = this->shared_from_this()](error_code failure, std::size_t count) {
        self->writing = false;
        self->written += count;
        if (self->closed) {
          return;
        }
        if (failure) {
          // What the server answered before it closed may still be unread.
          if (self->written == 0) {
            self->Fail(FailurePhase::kNotSent, failure.message());
          }
          return;
        }
        self->Write();
      });
}

void BackendConnection::Read() {
  if (this->reading || this->paused || this->closed) {
    return;
  }
  this->reading = true;
  this->block.resize(kReadBlock);
  this->socket.async_read_some(
      boost::asio::buffer(this->block),
      [self = this->shared_from_this()](error_code failure, std::size_t count) {
        self->reading = false;
        if (self->closed) {
          return;
        }
        if (count > 0) {
          self->OnBytesRead(count);
          return;
        }
        if (self->listener == nullptr) {
          self->Close();
          return;
        }
        const bool clean = failure == boost::asio::error::eof;
        if (clean && self->head_reported && !self->skipping &&
            self->reader->FeedEof() == ResponseReader::Progress::kComplete) {
          self->must_close = true;
          self->FinishResponse();
          return;
        }
        self->Fail(self->CurrentPhase(), failure.message());
      });
}

FailurePhase BackendConnection::CurrentPhase() const {
  if (this->head_reported) {
    return FailurePhase::kDuringResponse;
  }
  return this->written == 0 ? FailurePhase::kNotSent
                            : FailurePhase::kNoResponse;
}

void BackendConnection::OnBytesRead(std::size_t count) {
  this->received.append(this->block.data(), count);
  if (this->listener == nullptr) {
    // Bytes behind a whole answer belong to no request.
    this->Close();
    return;
  }
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
      this->Fail(this->head_reported ? FailurePhase::kDuringResponse
                                     : FailurePhase::kMalformedResponse,
                 "bytes that are no response");
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
    if (progress == ResponseReader::Progress::kNeedMore) {
      return;
    }
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
  ResponseListener* ended = std::exchange(this->listener, nullptr);
  const bool keeps = this->reader->head().KeepsAlive() && !this->must_close &&
                     this->written == this->request.size() &&
                     this->received.empty();
  this->idle_limit = IdleLimitOf(this->reader->head());
  this->idle_start = std::chrono::steady_clock::now();
  if (!keeps) {
    this->Close();
  }
  ended->OnComplete();
}

bool BackendConnection::IsReusable() const {
  if (!this->connected || this->closed || this->listener != nullptr ||
      !this->received.empty()) {
    return false;
  }
  // Bytes or an end that arrived and were not read yet.
  char byte = 0;
  const ssize_t waiting = ::recv(
      const_cast<boost::asio::ip::tcp::socket&>(this->socket).native_handle(),
      &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return waiting < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void BackendConnection::Fail(FailurePhase when, const std::string& why) {
  ResponseListener* ended = std::exchange(this->listener, nullptr);
  this->Close();
  if (ended != nullptr) {
    ended->OnFailed(when, why);
  }
}

void BackendConnection::Abort() {
  this->listener = nullptr;
  this->Close();
}

void BackendConnection::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->connected = false;
  // Whatever closing reports, the descriptor is released.
  error_code ignored;
  this->socket.close(ignored);
}

void BackendConnection::PauseReading() { this->paused = true; }

void BackendConnection::ResumeReading() {
  this->paused = false;
  if (this->connected) {
    this->Read();
  }
}

}  // namespace rosemarycove
