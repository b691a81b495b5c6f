// A request shared by the caller's thread, the node and the attempt's thread.
#pragma once

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "core/actions.h"
#include "core/types.h"

namespace rosemarycove {

// Returns the id of a request for backend servers and idempotency claims: the
// process and the number, unique across all instances and restarts.
std::string UpstreamId(const std::string& process, RequestId id);

// Cancels an attempt that another thread is running.
class AttemptCanceller {
 public:
  virtual ~AttemptCanceller() = default;
  // Makes the attempt end soon. Thread-safe.
  virtual void Cancel() = 0;
};

// A caller's request as it is sent to a backend server.
struct UpstreamRequest {
  std::string path;
  std::string body;
  std::string content_type;
  bool stream = false;
  bool repeatable = true;
  bool is_model = true;
};

// A complete response of a backend server.
struct UpstreamResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

// One caller's request from submission to its outcome.
//
// The caller's thread blocks in Wait; the node and the attempt's thread supply
// chunks of the response and the outcome. All functions are thread-safe.
class PendingRequest {
 public:
  PendingRequest(RequestId id, UpstreamRequest upstream);

  [[nodiscard]] RequestId id() const { return this->request_id; }
  [[nodiscard]] const UpstreamRequest& upstream() const {
    return this->request;
  }

  // Adds a chunk of a streamed response. Returns false when the caller reads
  // too slowly or has disconnected.
  bool PushChunk(std::string chunk);
  // Stores the complete response of an attempt, success or error.
  void SetResponse(UpstreamResponse response);
  // Sets the outcome and wakes the caller's thread. Only the first call counts.
  void Finish(const FinishRequest& outcome);
  // Makes further chunks be rejected, since the caller has disconnected.
  void Abandon();

  // What Wait returns: a chunk, the end, or neither.
  struct Update {
    std::optional<std::string> chunk;
    bool finished = false;
  };
  // Waits for a chunk or the outcome. The outcome is reported once all chunks
  // were returned. The update is empty after the timeout, or when the caller
  // reads too slowly.
  Update Wait(Duration timeout);

  // The outcome; valid once Wait has returned `finished`.
  [[nodiscard]] FinishRequest outcome() const;
  [[nodiscard]] UpstreamResponse response() const;
  // Returns whether the queue of chunks overflowed: the caller read too slowly.
  [[nodiscard]] bool has_overflowed() const;

  // Sets the backend server that the request was last sent to.
  void SetBackend(const std::string& name);
  [[nodiscard]] std::string backend() const;

  // Sets how to cancel the running attempt. If CancelAttempt was called for
  // this attempt before, it is cancelled at once.
  void SetCanceller(AttemptId attempt, AttemptCanceller* canceller);
  void ClearCanceller();
  void CancelAttempt(AttemptId attempt);

 private:
  RequestId request_id;
  UpstreamRequest request;
  mutable std::mutex mutex;
  std::condition_variable updated;
  std::deque<std::string> chunks;
  std::size_t queued_bytes = 0;
  bool abandoned = false;
  bool queue_overflowed = false;
  std::optional<FinishRequest> final_outcome;
  UpstreamResponse upstream_response;
  std::string backend_name;
  AttemptId current_attempt = 0;
  AttemptId cancelled_attempt = 0;
  AttemptCanceller* canceller = nullptr;
};

}  // namespace rosemarycove
