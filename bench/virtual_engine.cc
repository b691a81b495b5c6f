#include "bench/virtual_engine.h"

#include <algorithm>

namespace rosemarycove::bench {
namespace {

// Prompt tokens that one step reads at most.
constexpr int kPromptChunk = 256;

}  // namespace

VirtualEngine::VirtualEngine(VirtualEngineOptions options) : options(options) {}

void VirtualEngine::Add(StreamId id, int prompt_tokens, int length,
                        int priority, TimePoint now) {
  this->queue[priority].push_back(
      {.id = id, .prompt_tokens = prompt_tokens, .length = length});
  if (this->step_end == TimePoint::max()) {
    this->BeginStep(now);
  }
}

void VirtualEngine::Cancel(StreamId id) {
  std::erase_if(this->streams,
                [id](const auto& item) { return item.first.second == id; });
  for (auto& [priority, waiting] : this->queue) {
    std::erase_if(waiting, [id](const Waiting& item) { return item.id == id; });
  }
}

std::vector<StreamId> VirtualEngine::Crash() {
  std::vector<StreamId> lost;
  for (const auto& [key, stream] : this->streams) {
    lost.push_back(key.second);
  }
  for (const auto& [priority, waiting] : this->queue) {
    for (const Waiting& item : waiting) {
      lost.push_back(item.id);
    }
  }
  this->streams.clear();
  this->queue.clear();
  this->step_end = TimePoint::max();
  return lost;
}

int VirtualEngine::waiting() const {
  std::size_t count = 0;
  for (const auto& [priority, waiting] : this->queue) {
    count += waiting.size();
  }
  return static_cast<int>(count);
}

double VirtualEngine::TokenTimeWithOneMore() const {
  return this->slow_factor *
         (ToSeconds(this->options.token_time_base) +
          (this->running() + this->waiting() + 1) *
              ToSeconds(this->options.token_time_per_stream));
}

void VirtualEngine::Admit() {
  for (auto& [priority, waiting] : this->queue) {
    while (!waiting.empty() && this->running() < this->options.max_streams) {
      const Waiting& next = waiting.front();
      this->streams[{priority, next.id}] = {.prompt_left = next.prompt_tokens,
                                            .length = next.length};
      waiting.pop_front();
    }
  }
}

void VirtualEngine::BeginStep(TimePoint now) {
  this->Admit();
  if (this->streams.empty()) {
    this->step_end = TimePoint::max();
    return;
  }
  int prompt = 0;
  for (const auto& [key, stream] : this->streams) {
    prompt += stream.prompt_left;
  }
  this->step_prompt = std::min(prompt, kPromptChunk);
  const double seconds =
      ToSeconds(this->options.token_time_base) +
      this->running() * ToSeconds(this->options.token_time_per_stream) +
      this->step_prompt / this->options.prefill_rate;
  this->step_end = now + FromSeconds(seconds * this->slow_factor);
}

std::vector<StreamProgress> VirtualEngine::Step(TimePoint now) {
  std::vector<StreamProgress> progress;
  int prompt = this->step_prompt;
  for (auto stream = this->streams.begin(); stream != this->streams.end();) {
    Stream& state = stream->second;
    const int read = std::min(prompt, state.prompt_left);
    state.prompt_left -= read;
    prompt -= read;
    if (state.prompt_left > 0) {
      ++stream;
      continue;
    }
    ++state.tokens;
    const bool ended = state.tokens >= state.length;
    progress.push_back(
        {.id = stream->first.second, .tokens = state.tokens, .ended = ended});
    stream = ended ? this->streams.erase(stream) : std::next(stream);
  }
  this->BeginStep(now);
  return progress;
}

}  // namespace rosemarycove::bench
