// Sends one request to one backend server and reports how it went.
#pragma once

#include <memory>
#include <string>

#include "core/actions.h"
#include "core/events.h"
#include "http/client_pool.h"
#include "http/pending_request.h"

namespace rosemarycove {

// Takes what an attempt observes; the node's host implements it.
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  virtual void OnProgress(const AttemptProgress& progress) = 0;
  virtual void OnEnded(const AttemptEnded& ended) = 0;
};

// Runs attempts, each on the calling thread until it is over.
class AttemptRunner {
 public:
  AttemptRunner(ClientPool& clients, AttemptListener& listener,
                std::string process);

  // Sends the request, passes a streamed answer on as it arrives, and reports
  // exactly one end.
  void Run(PendingRequest& pending, const SendAttempt& attempt);

 private:
  ClientPool& clients;
  AttemptListener& listener;
  std::string process;
};

}  // namespace rosemarycove
