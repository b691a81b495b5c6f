// A stand-in for a model engine that batches continuously.
#pragma once

#include <atomic>
#include <chrono>
#include <string>

#include "standins/standin_server.h"

namespace standins {

// How an engine stand-in behaves without faults.
struct EngineOptions {
  std::string name = "engine";
  // Time between tokens at a batch of n is base + n * per_stream.
  std::chrono::microseconds token_time_base{4000};
  std::chrono::microseconds token_time_per_stream{200};
  // Tokens of an answer when the request sets no max_tokens.
  int default_tokens = 24;
};

// Answers chat completions with numbered tokens.
//
// Faults: slow (factor on token times), stall (streams that stop in the
// middle), crash (streams cut in the middle), wrong_id (answers that name
// another request), garbage (answers that are not what was asked for),
// endless_line, no_final (streams without their final event), busy (answers
// of 503 with X-Ran: no), error (answers of 500), load_lag_ms, token_bytes
// (more text in each token).
class EngineStandin : public StandinServer {
 public:
  explicit EngineStandin(EngineOptions options);
  ~EngineStandin() override;

  // Requests that it began to run.
  [[nodiscard]] int runs() const { return this->started; }
  // Requests running now.
  [[nodiscard]] int running() const { return this->active; }

 private:
  void HandleChat(const httplib::Request& request, httplib::Response& response);
  void HandleLoad(httplib::Response& response);
  bool SendToken(httplib::DataSink& sink, int index, int count,
                 const std::string& id);
  void WaitTokenTime();
  void Stall();

  EngineOptions options;
  std::atomic<int> started = 0;
  std::atomic<int> active = 0;
  std::atomic<bool> stopping = false;
};

}  // namespace standins
