// Sends one request to one backend server and reports the result.
#pragma once

#include <memory>
#include <string>

#include "core/actions.h"
#include "core/events.h"
#include "http/client_pool.h"
#include "http/pending_request.h"

namespace rosemarycove {

// Receives the progress and the result of attempts, on the thread that runs the
// attempt. Implemented by the node's host.
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  virtual void OnProgress(const AttemptProgress& progress) = 0;
  virtual void OnEnded(const AttemptEnded& ended) = 0;
};

// Runs attempts. Run blocks the calling thread until the attempt has ended and
// may be called from several threads at once.
class AttemptRunner {
 public:
  AttemptRunner(ClientPool& clients, AttemptListener& listener,
                std::string process);

  // Sends the request, forwards a streamed response to the pending request as
  // it arrives, and calls OnEnded exactly once.
  void Run(PendingRequest& pending, const SendAttempt& attempt);

 private:
  ClientPool& clients;
  AttemptListener& listener;
  // Unique per process start; part of the request ids sent to backend servers.
  std::string process;
};

}  // namespace rosemarycove
