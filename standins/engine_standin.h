// A stand-in for a model engine with continuous batching.
#pragma once

#include <atomic>
#include <chrono>
#include <string>

#include "standins/standin_server.h"

namespace standins {

struct EngineOptions {
  std::string name = "engine";
  // With a batch of n requests, the time between two tokens is
  // token_time_base + n * token_time_per_stream.
  std::chrono::microseconds token_time_base{4000};
  std::chrono::microseconds token_time_per_stream{200};
  // The number of tokens in a response to a request without max_tokens.
  int default_tokens = 24;
};

// Serves chat completions that consist of numbered tokens.
//
// Faults with a count: stall (a stream stops in the middle), crash (a
// connection is cut, for a stream in the middle), wrong_id (a response has the
// id of another request), garbage (a malformed event or body), endless_line (a
// line of a megabyte without an end), no_final (a stream lacks its final
// event), busy (status 503 with X-Ran: no), error (status 500). Values: slow
// (factor on token times), load_lag_ms (reported age of the load), token_bytes
// (padding in each token).
class EngineStandin : public StandinServer {
 public:
  explicit EngineStandin(EngineOptions options);
  ~EngineStandin() override;

  // The number of requests that have started to run.
  [[nodiscard]] int runs() const { return this->started_count; }
  // The number of requests that are running now.
  [[nodiscard]] int running() const { return this->running_count; }

 private:
  void HandleChat(const httplib::Request& request, httplib::Response& response);
  void HandleLoad(httplib::Response& response);
  // Sends one event of a stream, or triggers a fault in the middle of it.
  // Returns false to end the connection.
  bool SendToken(httplib::DataSink& sink, int index, int count,
                 const std::string& id);
  void WaitTokenTime();
  // Blocks until the stand-in stops.
  void Stall();

  EngineOptions options;
  std::atomic<int> started_count = 0;
  std::atomic<int> running_count = 0;
  std::atomic<bool> is_stopping = false;
};

}  // namespace standins
