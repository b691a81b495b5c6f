#include "bench/baseline_policies.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace rosemarycove::bench {
namespace {

constexpr int kMaxAttempts = 3;
// Fraction of the strictest target for the time between tokens up to which the
// oracle loads an engine; the rest is left for reading prompts. The best of the
// values from 0.7 to 1, tried in steps of 0.05.
constexpr double kMaxTokenTimeFraction = 0.8;

}  // namespace

void BaselinePolicy::SetAnswerLength(RequestId id, int answer_tokens) {
  this->answer_lengths[id] = answer_tokens;
}

void BaselinePolicy::ApplyResources(const ResourceSet& resources) {
  for (const RequestClass& item : resources.classes) {
    this->classes[item.name] = item;
  }
  for (const Backend& backend : resources.backends) {
    this->engines.push_back(
        {.name = backend.name,
         .max_streams = backend.max_streams,
         .token_time_base = ToSeconds(backend.token_time_base),
         .token_time_per_stream = ToSeconds(backend.token_time_per_stream),
         .running = {}});
  }
}

std::vector<Action> BaselinePolicy::Handle(TimePoint time, const Event& event) {
  this->now = time;
  this->actions.clear();
  if (const auto* changed = std::get_if<ResourcesChanged>(&event)) {
    this->ApplyResources(*changed->resources);
  } else if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
    const RequestClass& request_class = this->classes.at(arrived->class_name);
    this->queues[this->QueueNumber(request_class.tier)].push_back(
        {.id = arrived->id,
         .tier = request_class.tier,
         .arrival = time,
         .answer_tokens = this->answer_lengths[arrived->id],
         .target = request_class.target,
         .latest_start = time + request_class.max_wait});
  } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
    this->OnAttemptEnded(*ended);
  } else if (const auto* load = std::get_if<LoadReported>(&event)) {
    this->engines[static_cast<std::size_t>(std::stoi(load->backend))]
        .reported_running = load->running;
  }
  this->RefuseExpired();
  this->PlaceRequests();
  return std::exchange(this->actions, {});
}

void BaselinePolicy::Refuse(RequestId id) {
  this->actions.emplace_back(FinishRequest{
      .id = id, .outcome = Outcome::kRefused, .cause = EndCause::kMaxWait});
}

void BaselinePolicy::RefuseExpired() {
  for (auto& [number, queue] : this->queues) {
    while (!queue.empty() && queue.front().latest_start <= this->now) {
      this->Refuse(queue.front().id);
      queue.pop_front();
    }
  }
}

void BaselinePolicy::PlaceRequests() {
  for (auto& [number, queue] : this->queues) {
    while (!queue.empty()) {
      const auto selected = this->SelectRequest(queue);
      if (selected == queue.end()) {
        break;
      }
      const int chosen = this->ChooseEngine(*selected);
      if (chosen < 0) {
        return;
      }
      const WaitingRequest request = *selected;
      queue.erase(selected);
      Engine& engine = this->engines[static_cast<std::size_t>(chosen)];
      ++engine.own_running;
      engine.running.insert(request.id);
      RunningRequest& run = this->running[request.id];
      run.request = request;
      run.engine = chosen;
      run.attempt = this->next_attempt++;
      ++run.attempts;
      this->actions.emplace_back(SendAttempt{.id = request.id,
                                             .attempt = run.attempt,
                                             .backend = engine.name,
                                             .priority = request.tier});
    }
  }
}

void BaselinePolicy::OnAttemptEnded(const AttemptEnded& event) {
  RunningRequest& run = this->running.at(event.id);
  Engine& engine = this->engines[static_cast<std::size_t>(run.engine)];
  --engine.own_running;
  engine.running.erase(event.id);
  const bool completed = event.result == AttemptResult::kCompleted;
  engine.last_attempt_failed = !completed;
  if (!completed && !event.forwarded && run.attempts < kMaxAttempts) {
    this->queues[this->QueueNumber(run.request.tier)].push_front(run.request);
    return;
  }
  this->actions.emplace_back(FinishRequest{
      .id = event.id,
      .outcome = completed ? Outcome::kCompleted : Outcome::kFailed,
      .tokens = event.tokens,
      .wasted_tokens = completed ? 0 : event.tokens,
      .attempts = run.attempts});
  this->running.erase(event.id);
}

int RoundRobinPolicy::ChooseEngine(const WaitingRequest& /*request*/) {
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    const std::size_t index = this->next_engine++ % this->engines.size();
    if (this->engines[index].own_running < this->engines[index].max_streams) {
      return static_cast<int>(index);
    }
  }
  return -1;
}

int LeastReportedLoadPolicy::ChooseEngine(const WaitingRequest& /*request*/) {
  int best = -1;
  int min_running = std::numeric_limits<int>::max();
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    const Engine& engine = this->engines[i];
    if (engine.own_running < engine.max_streams &&
        !engine.last_attempt_failed && engine.reported_running < min_running) {
      min_running = engine.reported_running;
      best = static_cast<int>(i);
    }
  }
  return best;
}

int TwoChoicesPolicy::ChooseEngine(const WaitingRequest& /*request*/) {
  std::uniform_int_distribution<std::size_t> pick(0, this->engines.size() - 1);
  const std::size_t first = pick(this->random);
  const std::size_t second = pick(this->random);
  const Engine& a = this->engines[first];
  const Engine& b = this->engines[second];
  const std::size_t better = std::max(a.reported_running, a.own_running) <=
                                     std::max(b.reported_running, b.own_running)
                                 ? first
                                 : second;
  const Engine& chosen = this->engines[better];
  return chosen.own_running < chosen.max_streams ? static_cast<int>(better)
                                                 : -1;
}

double OraclePolicy::StrictestTokenTime() const {
  double strictest = std::numeric_limits<double>::infinity();
  for (const auto& [name, item] : this->classes) {
    if (item.target.between_tokens) {
      strictest = std::min(strictest, ToSeconds(*item.target.between_tokens));
    }
  }
  return strictest;
}

int OraclePolicy::LeastLoadedEngine() const {
  int best = -1;
  int min_running = std::numeric_limits<int>::max();
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    if (!this->engines[i].last_attempt_failed &&
        this->engines[i].own_running < min_running) {
      min_running = this->engines[i].own_running;
      best = static_cast<int>(i);
    }
  }
  return best;
}

bool OraclePolicy::CanMeetTarget(const WaitingRequest& request) const {
  const int index = this->LeastLoadedEngine();
  if (index < 0) {
    return false;
  }
  const Engine& engine = this->engines[static_cast<std::size_t>(index)];
  const double token_time =
      engine.token_time_base +
      (engine.own_running + 1) * engine.token_time_per_stream;
  const Duration waited = this->now - request.arrival;
  if (request.target.first_token &&
      waited + FromSeconds(2 * token_time) > *request.target.first_token) {
    return false;
  }
  return !request.target.whole ||
         waited + FromSeconds(request.answer_tokens * token_time) <=
             *request.target.whole;
}

std::deque<BaselinePolicy::WaitingRequest>::iterator
OraclePolicy::SelectRequest(std::deque<WaitingRequest>& queue) {
  auto best = queue.end();
  for (auto request = queue.begin(); request != queue.end();) {
    if (!this->CanMeetTarget(*request)) {
      const std::ptrdiff_t offset =
          best == queue.end() ? -1 : best - queue.begin();
      this->Refuse(request->id);
      request = queue.erase(request);
      best = offset < 0 ? queue.end() : queue.begin() + offset;
      continue;
    }
    if (best == queue.end() || request->answer_tokens < best->answer_tokens) {
      best = request;
    }
    ++request;
  }
  return best;
}

int OraclePolicy::ChooseEngine(const WaitingRequest& /*request*/) {
  const int index = this->LeastLoadedEngine();
  if (index < 0) {
    return -1;
  }
  const Engine& engine = this->engines[static_cast<std::size_t>(index)];
  const double token_time =
      engine.token_time_base +
      (engine.own_running + 1) * engine.token_time_per_stream;
  return token_time <= kMaxTokenTimeFraction * this->StrictestTokenTime()
             ? index
             : -1;
}

}  // namespace rosemarycove::bench
