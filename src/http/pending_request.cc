#include "http/pending_request.h"

#include <utility>

namespace rosemarycove {
namespace {

// Maximum size in bytes of the chunks that wait for a slow caller.
constexpr std::size_t kMaxQueuedBytes = 1 << 20;

}  // namespace

std::string UpstreamId(const std::string& process, RequestId id) {
  return process + "-" + std::to_string(id);
}

PendingRequest::PendingRequest(RequestId id, UpstreamRequest upstream)
    : request_id(id), request(std::move(upstream)) {}

bool PendingRequest::PushChunk(std::string chunk) {
  const std::lock_guard lock(this->mutex);
  if (this->abandoned || this->queue_overflowed) {
    return false;
  }
  if (this->queued_bytes + chunk.size() > kMaxQueuedBytes) {
    this->queue_overflowed = true;
    this->updated.notify_one();
    return false;
  }
  this->queued_bytes += chunk.size();
  this->chunks.push_back(std::move(chunk));
  this->updated.notify_one();
  return true;
}

void PendingRequest::SetResponse(UpstreamResponse response) {
  const std::lock_guard lock(this->mutex);
  this->upstream_response = std::move(response);
}

void PendingRequest::Finish(const FinishRequest& outcome) {
  const std::lock_guard lock(this->mutex);
  if (!this->final_outcome) {
    this->final_outcome = outcome;
    this->updated.notify_one();
  }
}

void PendingRequest::Abandon() {
  const std::lock_guard lock(this->mutex);
  this->abandoned = true;
}

PendingRequest::Update PendingRequest::Wait(Duration timeout) {
  std::unique_lock lock(this->mutex);
  this->updated.wait_for(lock, timeout, [this] {
    return !this->chunks.empty() || this->final_outcome ||
           this->queue_overflowed;
  });
  Update update;
  if (!this->chunks.empty()) {
    update.chunk = std::move(this->chunks.front());
    this->chunks.pop_front();
    this->queued_bytes -= update.chunk->size();
  } else {
    update.finished = this->final_outcome.has_value();
  }
  return update;
}

FinishRequest PendingRequest::outcome() const {
  const std::lock_guard lock(this->mutex);
  return this->final_outcome.value_or(FinishRequest{});
}

UpstreamResponse PendingRequest::response() const {
  const std::lock_guard lock(this->mutex);
  return this->upstream_response;
}

bool PendingRequest::has_overflowed() const {
  const std::lock_guard lock(this->mutex);
  return this->queue_overflowed;
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
