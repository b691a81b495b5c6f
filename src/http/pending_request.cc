#include "http/pending_request.h"

#include <utility>

namespace rosemarycove {
namespace {

// Parts that wait for a slow caller, in bytes.
constexpr std::size_t kMaxQueued = 1 << 20;

}  // namespace

std::string UpstreamId(const std::string& process, RequestId id) {
  return process + "-" + std::to_string(id);
}

PendingRequest::PendingRequest(RequestId id, UpstreamRequest upstream)
    : request_id(id), request(std::move(upstream)) {}

bool PendingRequest::PushChunk(std::string part) {
  const std::lock_guard lock(this->mutex);
  if (this->abandoned || this->too_slow) {
    return false;
  }
  if (this->queued_bytes + part.size() > kMaxQueued) {
    this->too_slow = true;
    this->changed.notify_one();
    return false;
  }
  this->queued_bytes += part.size();
  this->parts.push_back(std::move(part));
  this->changed.notify_one();
  return true;
}

void PendingRequest::SetResponse(UpstreamResponse answer) {
  const std::lock_guard lock(this->mutex);
  this->whole = std::move(answer);
}

void PendingRequest::Finish(const FinishRequest& outcome) {
  const std::lock_guard lock(this->mutex);
  if (!this->finish) {
    this->finish = outcome;
    this->changed.notify_one();
  }
}

void PendingRequest::Abandon() {
  const std::lock_guard lock(this->mutex);
  this->abandoned = true;
}

PendingRequest::Update PendingRequest::Wait(Duration timeout) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, timeout, [this] {
    return !this->parts.empty() || this->finish || this->too_slow;
  });
  Update update;
  if (!this->parts.empty()) {
    update.chunk = std::move(this->parts.front());
    this->parts.pop_front();
    this->queued_bytes -= update.chunk->size();
  } else {
    update.finished = this->finish.has_value();
  }
  return update;
}

FinishRequest PendingRequest::outcome() const {
  const std::lock_guard lock(this->mutex);
  return this->finish.value_or(FinishRequest{});
}

UpstreamResponse PendingRequest::response() const {
  const std::lock_guard lock(this->mutex);
  return this->whole;
}

bool PendingRequest::has_overflowed() const {
  const std::lock_guard lock(this->mutex);
  return this->too_slow;
}

void PendingRequest::SetBackend(const std::string& name) {
  const std::lock_guard lock(this->mutex);
  this->backend_name = name;
}

std::string PendingRequest::backend() const {
  const std::lock_guard lock(this->mutex);
  return this->backend_name;
}

void PendingRequest::SetCanceller(AttemptId attempt, AttemptCanceller* target) {
  const std::lock_guard lock(this->mutex);
  this->current_attempt = attempt;
  this->canceller = target;
  if (this->cancelled_attempt == attempt) {
    target->Cancel();
  }
}

void PendingRequest::ClearCanceller() {
  const std::lock_guard lock(this->mutex);
  this->canceller = nullptr;
}

void PendingRequest::CancelAttempt(AttemptId attempt) {
  const std::lock_guard lock(this->mutex);
  this->cancelled_attempt = attempt;
  if (this->canceller != nullptr && this->current_attempt == attempt) {
    this->canceller->Cancel();
  }
}

}  // namespace rosemarycove
