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

void BackendConnection::Send(std::string request_bytes, bool request_to_head,
                             AnswerListener& answer_listener) {
  this->listener = &answer_listener;
  this->request = std::move(request_bytes);
  this->written = 0;
  this->to_head = request_to_head;
  this->reader = std::make_unique<ResponseReader>(request_to_head);
  this->head_told = false;
  this->skipping = false;
  if (this->stands) {
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
        if (self->is_closed) {
          return;
        }
        if (failure) {
          self->Break(BrokenWhen::kNotSent, failure.message());
          return;
        }
        self->stands = true;
        self->Write();
        self->Read();
      });
}

void BackendConnection::Write() {
  if (this->writing || this->is_closed ||
      this->written == this->request.size()) {
    return;
  }
  if (this->written == 0 && this->listener != nullptr) {
    this->listener->OnSendBegun();
    if (this->is_closed) {
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
        if (self->is_closed) {
          return;
        }
        if (failure) {
          // What the server answered before it closed may still be unread.
          if (self->written == 0) {
            self->Break(BrokenWhen::kNotSent, failure.message());
          }
          return;
        }
        self->Write();
      });
}

void BackendConnection::Read() {
  if (this->reading || this->paused || this->is_closed) {
    return;
  }
  this->reading = true;
  this->block.resize(kReadBlock);
  this->socket.async_read_some(
      boost::asio::buffer(this->block),
      [self = this->shared_from_this()](error_code failure, std::size_t count) {
        self->reading = false;
        if (self->is_closed) {
          return;
        }
        if (count > 0) {
          self->TakeBytes(count);
          return;
        }
        if (self->listener == nullptr) {
          self->Close();
          return;
        }
        const bool clean = failure == boost::asio::error::eof;
        if (clean && self->head_told && !self->skipping &&
            self->reader->FeedEnd() == ResponseReader::Progress::kWhole) {
          self->single_use = true;
          self->FinishResponse();
          return;
        }
        self->Break(self->BrokenNow(), failure.message());
      });
}

BrokenWhen BackendConnection::BrokenNow() const {
  if (this->head_told) {
    return BrokenWhen::kInAnswer;
  }
  return this->written == 0 ? BrokenWhen::kNotSent : BrokenWhen::kUnanswered;
}

void BackendConnection::TakeBytes(std::size_t count) {
  this->received.append(this->block.data(), count);
  if (this->listener == nullptr) {
    // Bytes behind a whole answer belong to no request.
    this->Close();
    return;
  }
  this->TakeResponse();
  if (!this->is_closed) {
    this->Read();
  }
}

void BackendConnection::TakeResponse() {
  while (this->listener != nullptr && !this->is_closed) {
    const ResponseReader::Progress progress =
        this->reader->Feed(this->received);
    if (progress == ResponseReader::Progress::kMalformed) {
      this->Break(
          this->head_told ? BrokenWhen::kInAnswer : BrokenWhen::kMalformed,
          "bytes that are no response");
      return;
    }
    if (this->reader->head_done() && !this->head_told && !this->skipping) {
      if (this->listener->OnHead(this->reader->head()) == HeadVerdict::kSkip) {
        this->skipping = true;
        this->single_use = true;
      } else {
        this->head_told = true;
      }
      if (this->is_closed) {
        return;
      }
    }
    if (this->head_told) {
      std::string bytes = this->reader->TakeBody();
      if (!bytes.empty()) {
        this->listener->OnBody(std::move(bytes));
      }
      if (this->is_closed) {
        return;
      }
    }
    if (progress == ResponseReader::Progress::kNeedMore) {
      return;
    }
    if (this->skipping) {
      this->skipping = false;
      this->reader = std::make_unique<ResponseReader>(this->to_head);
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
  AnswerListener* told = std::exchange(this->listener, nullptr);
  const bool keeps = this->reader->head().KeepsAlive() && !this->single_use &&
                     this->written == this->request.size() &&
                     this->received.empty();
  this->idle_for = IdleLimitOf(this->reader->head());
  this->idle_from = std::chrono::steady_clock::now();
  if (!keeps) {
    this->Close();
  }
  told->OnWhole();
}

bool BackendConnection::Reusable() const {
  if (!this->stands || this->is_closed || this->listener != nullptr ||
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

void BackendConnection::Break(BrokenWhen when, const std::string& why) {
  AnswerListener* told = std::exchange(this->listener, nullptr);
  this->Close();
  if (told != nullptr) {
    told->OnBroken(when, why);
  }
}

void BackendConnection::Abort() {
  this->listener = nullptr;
  this->Close();
}

void BackendConnection::Close() {
  if (this->is_closed) {
    return;
  }
  this->is_closed = true;
  this->stands = false;
  // Whatever closing reports, the descriptor is released.
  error_code ignored;
  this->socket.close(ignored);
}

void BackendConnection::PauseReading() { this->paused = true; }

void BackendConnection::ResumeReading() {
  this->paused = false;
  if (this->stands) {
    this->Read();
  }
}

}  // namespace rosemarycove
