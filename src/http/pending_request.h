// Where a caller's thread, the core and an attempt's thread meet.
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

// Names a request to backend servers and in claims: the process and the
// number, unique over all instances and restarts.
std::string UpstreamId(const std::string& process, RequestId id);

// Stops an attempt that another thread is running.
class AttemptCanceller {
 public:
  virtual ~AttemptCanceller() = default;
  // Makes the attempt end soon; safe from any thread.
  virtual void Cancel() = 0;
};

// What a caller asked for, as it is sent to a backend server.
struct UpstreamRequest {
  std::string path;
  std::string body;
  std::string content_type;
  bool stream = false;
  bool repeatable = true;
  bool is_model = true;
};

// A backend server's whole answer.
struct UpstreamResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

// One caller's request on its way through the instance.
//
// The caller's thread waits here; the others put in parts of the answer and
// the outcome. All calls are safe from any thread.
class PendingRequest {
 public:
  PendingRequest(RequestId id, UpstreamRequest upstream);

  [[nodiscard]] RequestId id() const { return this->request_id; }
  [[nodiscard]] const UpstreamRequest& upstream() const {
    return this->request;
  }

  // Adds a part of a streamed answer. False when the caller reads too slowly
  // or has left.
  bool PushChunk(std::string part);
  // Keeps the whole answer of an attempt, to be given out on success.
  void SetResponse(UpstreamResponse answer);
  // Tells the caller's thread the outcome; the first one counts.
  void Finish(const FinishRequest& finish);
  // Stops taking parts, since the caller has gone.
  void Abandon();

  // What the caller's thread is woken for.
  struct Update {
    std::optional<std::string> chunk;
    bool finished = false;
  };
  // Waits for a part or the outcome; empty when the timeout passes first.
  Update Wait(Duration timeout);

  // The outcome; set once Wait has said that it is finished.
  [[nodiscard]] FinishRequest outcome() const;
  [[nodiscard]] UpstreamResponse response() const;
  // Whether the caller read too slowly.
  [[nodiscard]] bool has_overflowed() const;

  // Notes the backend server that the request was last sent to.
  void SetBackend(const std::string& name);
  [[nodiscard]] std::string backend() const;

  // The attempt to stop when the caller leaves. A cancellation that came
  // before it is carried out at once.
  void SetCanceller(AttemptId attempt, AttemptCanceller* canceller);
  void ClearCanceller();
  void CancelAttempt(AttemptId attempt);

 private:
  RequestId request_id;
  UpstreamRequest request;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::string> parts;
  std::size_t queued_bytes = 0;
  bool abandoned = false;
  bool too_slow = false;
  std::optional<FinishRequest> finish;
  UpstreamResponse whole;
  std::string backend_name;
  AttemptId current_attempt = 0;
  AttemptId cancelled_attempt = 0;
  AttemptCanceller* canceller = nullptr;
};

}  // namespace rosemarycove
