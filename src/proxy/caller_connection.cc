#include "proxy/caller_connection.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <random>
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
// Reading stops once this many bytes of pipelined requests are buffered; fewer
// while memory is short.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} << 10U;
constexpr std::size_t kMaxPipelinedBytesWhenShort = std::size_t{4} << 10U;
// No further pipelined request is handled while more than this many bytes of
// responses wait for the caller; fewer while memory is short.
constexpr std::size_t kMaxPipelinedResponseBytes = std::size_t{256} << 10U;
constexpr std::size_t kMaxPipelinedResponseBytesWhenShort = std::size_t{32}
                                                            << 10U;
// Emptied strings with a larger capacity are released.
constexpr std::size_t kMaxSpareBytes = std::size_t{16} << 10U;
// A caller's connection fails if response bytes stay unacknowledged for this
// long. Longer than for servers, since callers may be slow.
constexpr Duration kUnacknowledgedTimeout = std::chrono::seconds(10);
// Interval of the checks whether a caller that does not read can be reached.
constexpr Duration kUnreadCheckInterval = std::chrono::seconds(1);
// How long a connection is still read after its last response. Closing it with
// unread bytes would reset it, and the caller could lose the response.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// Retry-After of requests that are refused for lack of memory; up to this
// factor longer, so that the callers don't return together.
constexpr Duration kRejectedRetryAfter = std::chrono::seconds(1);
constexpr double kMaxRetryJitter = 2.0;
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

// Empties the text and releases its memory if there is much.
void Release(std::string& text) {
  if (text.capacity() > kMaxSpareBytes) {
    std::string().swap(text);
  }
  text.clear();
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
  this->account.emplace(context.body_budget, *this, this->waiting_since);
  SetLivenessOptions(this->socket, kUnacknowledgedTimeout);
  LimitKernelBuffers(this->socket);
  error_code ignored;
  this->socket.non_blocking(true, ignored);
  this->remote_address = this->socket.remote_endpoint(ignored).address();
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
  const std::size_t max_pipelined = this->context.body_budget.is_calm()
                                        ? kMaxPipelinedBytes
                                        : kMaxPipelinedBytesWhenShort;
  const bool is_held_up = this->exchange || this->AwaitsCaller();
  if (this->reading || this->closed ||
      (is_held_up && this->received.size() > max_pipelined) ||
      !this->MayReadBody()) {
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

bool CallerConnection::AwaitsCaller() const {
  return !this->reader &&
         this->unsent_bytes() > (this->context.body_budget.is_calm()
                                     ? kMaxPipelinedResponseBytes
                                     : kMaxPipelinedResponseBytesWhenShort);
}

void CallerConnection::ReadAvailable(error_code failure) {
  std::array<char, kReadBufferBytes> buffer;  // NOLINT: not initialised.
  std::size_t count = 0;
  if (!failure) {
    count = this->socket.read_some(boost::asio::buffer(buffer), failure);
  }
  if (failure == boost::asio::error::would_block) {
    this->Read();
  } else if (failure) {
    this->OnCallerLost(CloseCause::kCallerClosed);
  } else {
    this->OnBytesRead(std::string_view(buffer.data(), count));
  }
}

void CallerConnection::OnBytesRead(std::string_view bytes) {
  this->last_read = MonotonicNow();
  this->received.append(bytes);
  this->account->RecordProgress(bytes.size());
  if (this->closing) {
    // A response that announced the close allows no further request.
    if (*this->closing != CloseCause::kResponseSent) {
      this->ReportUnanswered(*this->closing);
    }
    this->received.clear();
  } else {
    this->ParseReceived();
  }
  if (this->received.empty()) {
    Release(this->received);
  }
  this->UpdateHeld();
  this->Read();
}

void CallerConnection::UpdateHeld() {
  if (this->account) {
    this->account->SetHeld(this->received.size() + this->unsent_bytes() +
                           (this->reader ? this->reader->HeldBytes() : 0) +
                           (this->exchange ? this->exchange->HeldBytes() : 0));
  }
}

bool CallerConnection::MayHold(const std::string& customer) {
  this->UpdateHeld();
  return this->account->MayStart(customer);
}

std::string CallerConnection::CustomerOf(const RequestHead& head) const {
  const auto& configuration = this->context.configuration;
  const auto key = this->context.dialect.ReadRequest(head).api_key;
  if (!configuration || !key) {
    return "";
  }
  const auto found = configuration->holder_by_key.find(*key);
  return found == configuration->holder_by_key.end() ? ""
                                                     : found->second.customer;
}

void CallerConnection::OnHeadRead() {
  this->continue_is_due = this->reader->ExpectsContinue();
  // Applies to 100 Continue.
  this->write_timeout = this->Limits().idle_timeout;
  this->account->BeginBody(this->CustomerOf(this->reader->head()),
                           this->reader->MaxBodyBytes() + kReadBufferBytes +
                               this->Limits().max_header_bytes,
                           MonotonicNow());
}

bool CallerConnection::MayReadBody() {
  if (!this->reader || !this->reader->has_head() || this->exchange ||
      this->closing) {
    return true;
  }
  switch (this->account->MayRead(MonotonicNow())) {
    case ReadDecision::kWait:
      this->memory_wait_since = MonotonicNow();
      return false;
    case ReadDecision::kRefuse:
      this->OnStopped(BudgetCause::kTooManyWaiting);
      return false;
    case ReadDecision::kRead:
      break;
  }
  if (std::exchange(this->continue_is_due, false)) {
    this->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return true;
}

bool CallerConnection::ExpectsProgress() const {
  return this->reader || this->unsent_bytes() > 0 ||
         (this->exchange && this->exchange->UnwrittenBytes() > 0);
}

void CallerConnection::OnRoomAvailable() {
  // The caller was not idle but not read.
  this->last_read = MonotonicNow();
  this->memory_wait += this->last_read - this->memory_wait_since;
  if (!this->CloseIfCallerLeft()) {
    this->Read();
  }
}

void CallerConnection::OnStopped(BudgetCause cause) {
  if (this->closed) {
    return;
  }
  if (this->reader && !this->closing) {
    this->ReportStopped(cause, true);
    this->Reject(cause == BudgetCause::kNoProgress
                     ? http_status::kRequestTimeout
                     : http_status::kUnavailable);
  } else if (this->exchange && !this->finishing && this->unsent_bytes() == 0) {
    this->ReportStopped(cause, false);
    this->exchange->StopUnread();
  } else {
    this->ReportStopped(cause, false);
    this->OnCallerLost(CloseCause::kNoProgress);
  }
}

void CallerConnection::ReportStopped(BudgetCause cause, bool not_executed) {
  const BodyBudget& budget = this->context.body_budget;
  std::string request_id;
  if (this->exchange) {
    request_id = this->exchange->request_id();
  } else if (this->reader && this->reader->has_head()) {
    request_id =
        this->context.dialect.ReadRequest(this->reader->head()).request_id;
  }
  this->context.observer.OnStopped(
      {.request_id = request_id,
       .cause = cause,
       .not_executed = not_executed,
       .held_bytes = this->account ? this->account->held_bytes() : 0,
       .held_by_all = budget.held_bytes(),
       .waiting = budget.waiting_count()});
}

void CallerConnection::ParseReceived() {
  if (this->exchange || this->closing || this->closed ||
      this->received.empty() || this->AwaitsCaller()) {
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
  if (!this->reader->has_head() && !this->account->MayReadHead()) {
    this->OnStopped(BudgetCause::kExhausted);
    return;
  }
  switch (this->reader->Feed(this->received)) {
    case RequestReader::Progress::kNeedMore:
      return;
    case RequestReader::Progress::kHead:
      this->OnHeadRead();
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
  if (this->CloseIfCallerLeft()) {
    return;
  }
  this->had_request = true;
  this->write_timeout = this->Limits().idle_timeout;
  this->context.observer.OnRequestRead();
  RequestHead head = this->reader->TakeHead();
  std::string body = this->reader->TakeBody();
  this->reader.reset();
  this->account->EndBody();
  this->exchange = std::make_unique<Exchange>(
      this->context, std::move(head), std::move(body), *this,
      MonotonicNow() - std::exchange(this->memory_wait, {}),
      this->kind == CallerKind::kInstance);
  this->exchange->Start();
}

void CallerConnection::Reject(int status) {
  this->write_timeout = this->Limits().idle_timeout;
  std::optional<Duration> retry;
  if (status == http_status::kUnavailable) {
    std::uniform_real_distribution<double> jitter(1.0, kMaxRetryJitter);
    retry = FromSeconds(ToSeconds(kRejectedRetryAfter) *
                        jitter(this->context.random));
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
  this->account->EndBody();
  // What follows belongs to the rejected request.
  Release(this->received);
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
  this->UpdateHeld();
}

void CallerConnection::Flush() {
  if (!this->sending.empty() || this->outgoing.empty() || this->closed) {
    return;
  }
  this->sending.swap(this->outgoing);
  this->last_write = MonotonicNow();
  this->has_unacknowledged = true;
  this->SendPending();
}

void CallerConnection::SendPending() {
  this->socket.async_write_some(
      boost::asio::buffer(this->sending) + this->sent,
      [self = this->shared_from_this()](error_code failure, std::size_t count) {
        if (!self->closed) {
          self->OnBytesSent(failure, count);
        }
      });
}

void CallerConnection::OnBytesSent(error_code failure, std::size_t count) {
  if (failure) {
    this->OnCallerLost(CloseCause::kCallerClosed);
    return;
  }
  this->sent += count;
  this->account->RecordProgress(count);
  if (this->sent < this->sending.size()) {
    this->UpdateHeld();
    this->SendPending();
    return;
  }
  this->sent = 0;
  Release(this->sending);
  this->Flush();
  if (this->exchange && !this->finishing) {
    this->exchange->OnOutputSent();
  }
  this->UpdateHeld();
  if (this->closing && this->unsent_bytes() == 0) {
    this->EndSending();
  }
  if (!this->exchange && !this->reader && !this->closing) {
    // Pipelined requests may have waited for the caller to read.
    this->ParseReceived();
    this->Read();
  }
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
                      self->UpdateHeld();
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
  Release(this->received);
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
  this->RecordUpload();
  this->UpdateHeld();
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
  // The response before the next request may still be on its way.
  if (!this->sending.empty() && now - this->last_write > this->write_timeout) {
    this->OnCallerLost(CloseCause::kCallerNotReading);
    return;
  }
  // The budget limits how long a request waits for memory.
  if (this->account->is_waiting()) {
    this->CloseIfCallerLeft();
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

void CallerConnection::RecordUpload() {
  const std::size_t now_unwritten =
      this->exchange ? this->exchange->UnwrittenBytes() : 0;
  if (now_unwritten < this->unwritten) {
    this->account->RecordProgress(this->unwritten - now_unwritten);
  }
  this->unwritten = now_unwritten;
}

std::optional<TimePoint> CallerConnection::IdleSince() const {
  const bool is_idle = !this->exchange && !this->reader && !this->closing &&
                       !this->closed && this->received.empty() &&
                       this->unsent_bytes() == 0;
  return is_idle ? std::optional(this->last_read) : std::nullopt;
}

bool CallerConnection::IsIdle() {
  return this->IdleSince() && !this->HasUnreadBytes();
}

bool CallerConnection::CloseForRoom() {
  if (!this->IsIdle()) {
    return false;
  }
  this->Close(CloseCause::kRoomNeeded);
  return true;
}

bool CallerConnection::HasCallerLeft() {
  pollfd state{.fd = this->socket.native_handle(), .events = POLLRDHUP};
  return ::poll(&state, 1, 0) > 0;
}

bool CallerConnection::CloseIfCallerLeft() {
  if (!this->HasCallerLeft()) {
    return false;
  }
  this->context.observer.OnCallerGone();
  this->Close(CloseCause::kCallerClosed);
  return true;
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
  this->account.reset();
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
