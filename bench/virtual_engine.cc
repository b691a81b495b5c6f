#include "bench/virtual_engine.h"

#include <algorithm>

namespace rosemarycove::bench {
VirtualEngine::VirtualEngine(VirtualEngineOptions options) : options(options) {}

void VirtualEngine::AddStream(StreamId id, int prompt_tokens, int answer_tokens,
                              int priority, TimePoint now) {
  this->queues[priority].push_back({.id = id,
                                    .prompt_tokens = prompt_tokens,
                                    .answer_tokens = answer_tokens});
  if (this->step_end == TimePoint::max()) {
    this->BeginStep(now);
  }
}

void VirtualEngine::Cancel(StreamId id) {
  std::erase_if(this->streams,
                [id](const auto& item) { return item.first.second == id; });
  for (auto& [priority, waiting] : this->queues) {
    std::erase_if(waiting,
                  [id](const QueuedStream& item) { return item.id == id; });
  }
}

std::vector<StreamId> VirtualEngine::Crash() {
  std::vector<StreamId> lost;
  for (const auto& [key, stream] : this->streams) {
    lost.push_back(key.second);
  }
  for (const auto& [priority, waiting] : this->queues) {
    for (const QueuedStream& item : waiting) {
      lost.push_back(item.id);
    }
  }
  this->streams.clear();
  this->queues.clear();
  this->step_end = TimePoint::max();
  return lost;
}

int VirtualEngine::waiting() const {
  std::size_t count = 0;
  for (const auto& [priority, waiting] : this->queues) {
    count += waiting.size();
  }
  return static_cast<int>(count);
}

double VirtualEngine::TokenTimeWithOneMoreStream() const {
  return this->slow_factor *
         (ToSeconds(this->options.token_time_base) +
          (this->running() + this->waiting() + 1) *
              ToSeconds(this->options.token_time_per_stream));
}

void VirtualEngine::AdmitStreams() {
  for (auto& [priority, waiting] : this->queues) {
    while (!waiting.empty() && this->running() < this->options.max_streams) {
      const QueuedStream& next = waiting.front();
      this->streams[{priority, next.id}] = {
          .remaining_prompt_tokens = next.prompt_tokens,
          .answer_tokens = next.answer_tokens};
      waiting.pop_front();
    }
  }
}

void VirtualEngine::BeginStep(TimePoint now) {
  this->AdmitStreams();
  if (this->streams.empty()) {
    this->step_end = TimePoint::max();
    return;
  }
  int prompt_tokens = 0;
  for (const auto& [key, stream] : this->streams) {
    prompt_tokens += stream.remaining_prompt_tokens;
  }
  this->step_prompt_tokens =
      std::min(prompt_tokens, this->options.max_step_prompt_tokens);
  const double seconds =
      ToSeconds(this->options.token_time_base) +
      this->running() * ToSeconds(this->options.token_time_per_stream) +
      this->step_prompt_tokens / this->options.prefill_rate;
  this->step_end = now + FromSeconds(seconds * this->slow_factor);
}

std::vector<StreamProgress> VirtualEngine::FinishStep(TimePoint now) {
  std::vector<StreamProgress> progress;
  int step_budget = this->step_prompt_tokens;
  for (auto stream = this->streams.begin(); stream != this->streams.end();) {
    Stream& state = stream->second;
    const int processed = std::min(step_budget, state.remaining_prompt_tokens);
    state.remaining_prompt_tokens -= processed;
    step_budget -= processed;
    if (state.remaining_prompt_tokens > 0) {
      ++stream;
      continue;
    }
    ++state.tokens;
    const bool has_ended = state.tokens >= state.answer_tokens;
    progress.push_back({.id = stream->first.second,
                        .tokens = state.tokens,
                        .has_ended = has_ended});
    stream = has_ended ? this->streams.erase(stream) : std::next(stream);
  }
  this->BeginStep(now);
  return progress;
}

}  // namespace rosemarycove::bench
