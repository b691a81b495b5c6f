// A simulated model engine with continuous batching on a virtual clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "core/types.h"

namespace rosemarycove::bench {

// Identifies a stream; unique over all engines of a run.
using StreamId = std::uint64_t;

// Speed and size of an engine. In one step, an engine generates a token for
// each running stream whose prompt is processed. With n running streams, the
// step takes token_time_base + n * token_time_per_stream, plus the time to
// process its prompt tokens.
struct VirtualEngineOptions {
  Duration token_time_base = std::chrono::milliseconds(20);
  Duration token_time_per_stream = std::chrono::microseconds(500);
  double prefill_rate = 20000;  // Prompt tokens per second.
  int max_streams = 96;
  // Prompt tokens that one step processes at most (chunked prefill). No stream
  // gets a token meanwhile.
  int max_step_prompt_tokens = 256;
  // Prompts are processed in order of arrival; otherwise by priority.
  bool prefills_in_order = false;
};

// The state of a stream after a step in which it got a token.
struct StreamProgress {
  StreamId id = 0;
  // Tokens generated so far.
  int tokens = 0;
  bool has_ended = false;
};

// Runs streams in steps. The driver owns the clock and calls FinishStep at
// step_end_time.
class VirtualEngine {
 public:
  explicit VirtualEngine(VirtualEngineOptions options);

  // Adds a stream that ends after answer_tokens tokens. It waits while
  // max_streams others run; lower priority numbers are admitted first.
  void AddStream(StreamId id, int prompt_tokens, int answer_tokens,
                 int priority, TimePoint now);
  void Cancel(StreamId id);
  // Removes all streams, running and waiting, and returns their ids.
  std::vector<StreamId> Crash();
  // Ends the current step, returns the progress of its streams and starts the
  // next step.
  std::vector<StreamProgress> FinishStep(TimePoint now);

  // Time at which the current step ends; TimePoint::max() if no stream runs.
  [[nodiscard]] TimePoint step_end_time() const { return this->step_end; }
  [[nodiscard]] int running() const {
    return static_cast<int>(this->streams.size());
  }
  [[nodiscard]] int waiting() const;
  // Returns the time between tokens, in seconds, if one more stream is added.
  [[nodiscard]] double TokenTimeWithOneMoreStream() const;
  // Multiplies the duration of each step, to simulate a slow engine.
  void set_slow_factor(double factor) { this->slow_factor = factor; }
  // True if the engine accepts no connections. The driver checks it before
  // AddStream.
  [[nodiscard]] bool is_down() const { return this->down; }
  void set_down(bool value) { this->down = value; }

 private:
  struct Stream {
    int remaining_prompt_tokens = 0;
    int answer_tokens = 0;
    int tokens = 0;
  };
  // Priority, then age, since ids ascend. Prompts are processed in this order.
  using StreamKey = std::pair<int, StreamId>;
  struct QueuedStream {
    StreamId id = 0;
    int prompt_tokens = 0;
    int answer_tokens = 0;
  };

  // Moves waiting streams into the batch while it has fewer than max_streams.
  void AdmitStreams();
  // Admits streams and sets the end of the step that starts now.
  void BeginStep(TimePoint now);

  VirtualEngineOptions options;
  std::map<StreamKey, Stream> streams;
  // Streams that wait for admission, by priority.
  std::map<int, std::deque<QueuedStream>> queues;
  TimePoint step_end = TimePoint::max();
  // Prompt tokens that the current step processes.
  int step_prompt_tokens = 0;
  double slow_factor = 1;
  bool down = false;
};

}  // namespace rosemarycove::bench
