#include "bench/baseline_deciders.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace rosemarycove::bench {
namespace {

constexpr int kMaxAttempts = 3;
// Part of the strictest token time that the oracle fills: prompts need the
// rest. Found by trying 0.7 to 1 in steps of 0.05.
constexpr double kTokenTimePart = 0.8;

}  // namespace

void BaselineDecider::Foretell(RequestId id, int tokens) {
  this->lengths[id] = tokens;
}

void BaselineDecider::TakeResources(const ResourceSet& resources) {
  for (const RequestClass& item : resources.classes) {
    this->classes[item.name] = item;
  }
  for (const Backend& backend : resources.backends) {
    this->engines.push_back(
        {.name = backend.name,
         .max_streams = backend.max_streams,
         .base = ToSeconds(backend.token_time_base),
         .per_stream = ToSeconds(backend.token_time_per_stream),
         .running = {}});
  }
}

std::vector<Action> BaselineDecider::Handle(TimePoint time,
                                            const Event& event) {
  this->now = time;
  this->actions.clear();
  if (const auto* changed = std::get_if<ResourcesChanged>(&event)) {
    this->TakeResources(*changed->resources);
  } else if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
    const RequestClass& item = this->classes.at(arrived->class_name);
    this->queues[this->QueueOf(item.tier)].push_back(
        {.id = arrived->id,
         .tier = item.tier,
         .arrival = time,
         .tokens = this->lengths[arrived->id],
         .target = item.target,
         .give_up = time + item.max_wait});
  } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
    this->End(*ended);
  } else if (const auto* load = std::get_if<LoadReported>(&event)) {
    this->engines[static_cast<std::size_t>(std::stoi(load->backend))].reported =
        load->running;
  }
  this->Expire();
  this->PlaceAll();
  return std::exchange(this->actions, {});
}

void BaselineDecider::Refuse(RequestId id) {
  this->actions.emplace_back(FinishRequest{
      .id = id, .outcome = Outcome::kRefused, .cause = EndCause::kMaxWait});
}

void BaselineDecider::Expire() {
  for (auto& [number, queue] : this->queues) {
    while (!queue.empty() && queue.front().give_up <= this->now) {
      this->Refuse(queue.front().id);
      queue.pop_front();
    }
  }
}

void BaselineDecider::PlaceAll() {
  for (auto& [number, queue] : this->queues) {
    while (!queue.empty()) {
      const auto picked = this->Pick(queue);
      if (picked == queue.end()) {
        break;
      }
      const int chosen = this->Choose(*picked);
      if (chosen < 0) {
        return;
      }
      const Waiting request = *picked;
      queue.erase(picked);
      Engine& engine = this->engines[static_cast<std::size_t>(chosen)];
      ++engine.own;
      engine.running.insert(request.id);
      Running& run = this->running[request.id];
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

void BaselineDecider::End(const AttemptEnded& event) {
  Running& run = this->running.at(event.id);
  Engine& engine = this->engines[static_cast<std::size_t>(run.engine)];
  --engine.own;
  engine.running.erase(event.id);
  const bool completed = event.result == AttemptResult::kCompleted;
  engine.failed = !completed;
  if (!completed && !event.forwarded && run.attempts < kMaxAttempts) {
    this->queues[this->QueueOf(run.request.tier)].push_front(run.request);
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

int RoundRobinDecider::Choose(const Waiting& /*request*/) {
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    const std::size_t index = this->next++ % this->engines.size();
    if (this->engines[index].own < this->engines[index].max_streams) {
      return static_cast<int>(index);
    }
  }
  return -1;
}

int LeastReportedDecider::Choose(const Waiting& /*request*/) {
  int best = -1;
  int least = std::numeric_limits<int>::max();
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    const Engine& engine = this->engines[i];
    if (engine.own < engine.max_streams && !engine.failed &&
        engine.reported < least) {
      least = engine.reported;
      best = static_cast<int>(i);
    }
  }
  return best;
}

int TwoChoicesDecider::Choose(const Waiting& /*request*/) {
  std::uniform_int_distribution<std::size_t> pick(0, this->engines.size() - 1);
  const std::size_t first = pick(this->random);
  const std::size_t second = pick(this->random);
  const Engine& a = this->engines[first];
  const Engine& b = this->engines[second];
  const std::size_t better =
      std::max(a.reported, a.own) <= std::max(b.reported, b.own) ? first
                                                                 : second;
  const Engine& chosen = this->engines[better];
  return chosen.own < chosen.max_streams ? static_cast<int>(better) : -1;
}

double OracleDecider::StrictestTokenTime() const {
  double strictest = std::numeric_limits<double>::infinity();
  for (const auto& [name, item] : this->classes) {
    if (item.target.between_tokens) {
      strictest = std::min(strictest, ToSeconds(*item.target.between_tokens));
    }
  }
  return strictest;
}

int OracleDecider::LeastLoaded() const {
  int best = -1;
  int least = std::numeric_limits<int>::max();
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    if (!this->engines[i].failed && this->engines[i].own < least) {
      least = this->engines[i].own;
      best = static_cast<int>(i);
    }
  }
  return best;
}

bool OracleDecider::Feasible(const Waiting& request) const {
  const int index = this->LeastLoaded();
  if (index < 0) {
    return false;
  }
  const Engine& engine = this->engines[static_cast<std::size_t>(index)];
  const double token_time = engine.base + (engine.own + 1) * engine.per_stream;
  const Duration waited = this->now - request.arrival;
  if (request.target.first_token &&
      waited + FromSeconds(2 * token_time) > *request.target.first_token) {
    return false;
  }
  return !request.target.whole ||
         waited + FromSeconds(request.tokens * token_time) <=
             *request.target.whole;
}

std::deque<BaselineDecider::Waiting>::iterator OracleDecider::Pick(
    std::deque<Waiting>& queue) {
  auto best = queue.end();
  for (auto request = queue.begin(); request != queue.end();) {
    if (!this->Feasible(*request)) {
      const std::ptrdiff_t offset =
          best == queue.end() ? -1 : best - queue.begin();
      this->Refuse(request->id);
      request = queue.erase(request);
      best = offset < 0 ? queue.end() : queue.begin() + offset;
      continue;
    }
    if (best == queue.end() || request->tokens < best->tokens) {
      best = request;
    }
    ++request;
  }
  return best;
}

int OracleDecider::Choose(const Waiting& /*request*/) {
  const int index = this->LeastLoaded();
  if (index < 0) {
    return -1;
  }
  const Engine& engine = this->engines[static_cast<std::size_t>(index)];
  const double token_time = engine.base + (engine.own + 1) * engine.per_stream;
  return token_time <= kTokenTimePart * this->StrictestTokenTime() ? index : -1;
}

}  // namespace rosemarycove::bench
