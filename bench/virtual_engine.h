// A model engine on a virtual clock, batching continuously.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "core/types.h"

namespace rosemarycove::bench {

// Names one stream on all engines of a run.
using StreamId = std::uint64_t;

// What an engine is like. A step makes one token for each running stream and
// takes base + n * per_stream, and the time of the prompt tokens read in it.
struct VirtualEngineOptions {
  Duration token_time_base = std::chrono::milliseconds(20);
  Duration token_time_per_stream = std::chrono::microseconds(500);
  double prefill_rate = 20000;  // Prompt tokens a second.
  int max_streams = 96;
};

// A stream's progress in one step.
struct StreamProgress {
  StreamId id = 0;
  int tokens = 0;
  bool ended = false;
};

// Runs streams in steps. The driver calls Step when NextStep has come.
class VirtualEngine {
 public:
  explicit VirtualEngine(VirtualEngineOptions options);

  // Takes a stream of `length` tokens. Beyond max_streams it waits, lower
  // priority numbers first.
  void Add(StreamId id, int prompt_tokens, int length, int priority,
           TimePoint now);
  void Cancel(StreamId id);
  // Loses all streams; returns them.
  std::vector<StreamId> Crash();
  // Ends the current step.
  std::vector<StreamProgress> Step(TimePoint now);

  // When the current step ends; TimePoint::max() without streams.
  [[nodiscard]] TimePoint next_step() const { return this->step_end; }
  [[nodiscard]] int running() const {
    return static_cast<int>(this->streams.size());
  }
  [[nodiscard]] int waiting() const;
  // Seconds between tokens with one stream more.
  [[nodiscard]] double TokenTimeWithOneMore() const;
  // Multiplies the time of each step, for stragglers.
  void set_slow_factor(double factor) { this->slow_factor = factor; }
  // Whether it takes connections.
  [[nodiscard]] bool down() const { return this->is_down; }
  void set_down(bool value) { this->is_down = value; }

 private:
  struct Stream {
    int prompt_left = 0;
    int length = 0;
    int tokens = 0;
  };
  // Streams by priority, then age: prompts are read in this order.
  using StreamKey = std::pair<int, StreamId>;
  struct Waiting {
    StreamId id = 0;
    int prompt_tokens = 0;
    int length = 0;
  };

  void Admit();
  void BeginStep(TimePoint now);

  VirtualEngineOptions options;
  std::map<StreamKey, Stream> streams;
  std::map<int, std::deque<Waiting>> queue;
  TimePoint step_end = TimePoint::max();
  int step_prompt = 0;
  double slow_factor = 1;
  bool is_down = false;
};

}  // namespace rosemarycove::bench
