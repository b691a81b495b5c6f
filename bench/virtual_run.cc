#include "bench/virtual_run.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace rosemarycove::bench {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr Duration kProgressPeriod = std::chrono::milliseconds(250);

}  // namespace

double ClassResult::Attainment() const {
  return this->arrived == 0 ? 1
                            : static_cast<double>(this->on_target) /
                                  static_cast<double>(this->arrived);
}

double RunResult::Goodput() const {
  std::uint64_t on_target = 0;
  for (const auto& [name, item] : this->classes) {
    on_target += item.on_target;
  }
  return static_cast<double>(on_target) / ToSeconds(this->counted);
}

double RunResult::WastedShare() const {
  return this->tokens == 0 ? 0
                           : static_cast<double>(this->wasted_tokens) /
                                 static_cast<double>(this->tokens);
}

double RunResult::TotalAttainment() const {
  ClassResult total;
  for (const auto& [name, item] : this->classes) {
    total.arrived += item.arrived;
    total.on_target += item.on_target;
  }
  return total.Attainment();
}

VirtualRun::VirtualRun(const Mix& mix, RunOptions options,
                       std::vector<std::unique_ptr<Decider>> deciders,
                       std::shared_ptr<const ResourceSet> resources,
                       std::uint32_t seed)
    : options(std::move(options)),
      deciders(std::move(deciders)),
      resources(std::move(resources)),
      random(seed),
      engines(static_cast<std::size_t>(mix.engines), VirtualEngine(mix.engine)),
      start(TimePoint{} + std::chrono::seconds(1000)),
      now(this->start) {
  for (const RequestClass& item : this->resources->classes) {
    this->targets[item.name] = item.target;
  }
}

void VirtualRun::Post(std::size_t decider, const Event& event) {
  const std::vector<Action> actions =
      this->deciders[decider]->Handle(this->now, event);
  for (const Action& action : actions) {
    std::visit([&](const auto& what) { this->Do(decider, what); }, action);
  }
}

void VirtualRun::Do(std::size_t decider, const SendAttempt& action) {
  Request& request = this->requests.at(action.id);
  const int index = std::stoi(action.backend);
  VirtualEngine& engine = this->engines[static_cast<std::size_t>(index)];
  request.attempt = action.attempt;
  request.tokens = 0;
  request.sent = this->now;
  if (engine.down()) {
    this->Post(decider, AttemptEnded{.id = action.id,
                                     .attempt = action.attempt,
                                     .result = AttemptResult::kNotSent});
    return;
  }
  request.engine = index;
  request.stream = this->next_stream++;
  this->request_of[request.stream] = action.id;
  engine.Add(request.stream, request.arrival.prompt_tokens,
             request.arrival.tokens, action.priority, this->now);
}

void VirtualRun::Do(std::size_t /*decider*/, const CancelAttempt& action) {
  const Request& request = this->requests.at(action.id);
  this->engines[static_cast<std::size_t>(request.engine)].Cancel(
      request.stream);
  this->request_of.erase(request.stream);
}

void VirtualRun::Do(std::size_t decider, const SendToPeer& action) {
  ++this->result.messages;
  this->letters.emplace(
      this->now + this->options.link_delay,
      Letter{.to = static_cast<std::size_t>(std::stoi(action.peer)),
             .said = {.peer = std::to_string(decider),
                      .message = action.message}});
}

void VirtualRun::Deliver() {
  const Letter letter = std::move(this->letters.begin()->second);
  this->letters.erase(this->letters.begin());
  this->Post(letter.to, letter.said);
}

bool VirtualRun::Counted(const Request& request) const {
  return request.arrival.at - this->start >= this->options.warm_up;
}

bool VirtualRun::OnTarget(const Request& request) const {
  const LatencyTarget& target = this->targets.at(request.arrival.class_name);
  const TimePoint arrival = request.arrival.at;
  if (target.whole && this->now - arrival > *target.whole) {
    return false;
  }
  if (target.first_token &&
      request.first_token - arrival > *target.first_token) {
    return false;
  }
  if (target.between_tokens && request.tokens > 1) {
    return (this->now - request.first_token) / (request.tokens - 1) <=
           *target.between_tokens;
  }
  return true;
}

void VirtualRun::Do(std::size_t /*decider*/, const FinishRequest& action) {
  const auto found = this->requests.find(action.id);
  const Request request = found->second;
  this->requests.erase(found);
  this->result.wasted_tokens +=
      static_cast<std::uint64_t>(action.wasted_tokens);
  if (!this->Counted(request)) {
    return;
  }
  ClassResult& item = this->result.classes[request.arrival.class_name];
  auto& second = this->result.by_second[(request.arrival.at - this->start) /
                                        std::chrono::seconds(1)];
  ++item.arrived;
  ++second.first;
  const TimePoint waited_until = action.attempts > 0 ? request.sent : this->now;
  item.longest_wait =
      std::max(item.longest_wait, waited_until - request.arrival.at);
  if (action.outcome == Outcome::kCompleted) {
    ++item.completed;
    const bool good = this->OnTarget(request);
    item.on_target += good ? 1 : 0;
    second.second += good ? 1 : 0;
  } else if (action.outcome == Outcome::kRefused) {
    ++item.refused;
  } else {
    ++item.failed;
  }
}

void VirtualRun::Arrive(const Arrival& arrival) {
  const RequestId id = this->next_request++;
  std::uniform_int_distribution<std::size_t> pick(0, this->deciders.size() - 1);
  const std::size_t decider = pick(this->random);
  this->requests[id] = {.arrival = arrival, .decider = decider};
  this->deciders[decider]->Foretell(id, arrival.tokens);
  this->Post(decider, RequestArrived{.id = id,
                                     .customer = arrival.customer,
                                     .class_name = arrival.class_name,
                                     .service = "models",
                                     .model = "m",
                                     .prompt_tokens = arrival.prompt_tokens});
}

void VirtualRun::TakeProgress(const StreamProgress& progress) {
  const auto found = this->request_of.find(progress.id);
  if (found == this->request_of.end()) {
    return;
  }
  const RequestId id = found->second;
  Request& request = this->requests.at(id);
  request.tokens = progress.tokens;
  ++this->result.tokens;
  if (progress.tokens == 1) {
    request.first_token = this->now;
  }
  if (progress.ended) {
    this->request_of.erase(found);
  }
  if (progress.tokens == 1 || progress.ended ||
      this->now - request.reported >= kProgressPeriod) {
    request.reported = this->now;
    this->Post(request.decider, AttemptProgress{.id = id,
                                                .attempt = request.attempt,
                                                .tokens = progress.tokens,
                                                .forwarded = true});
  }
  if (progress.ended) {
    this->Post(request.decider,
               AttemptEnded{.id = id,
                            .attempt = request.attempt,
                            .result = AttemptResult::kCompleted,
                            .tokens = progress.tokens,
                            .forwarded = true});
  }
}

void VirtualRun::StepEngine(int engine) {
  for (const StreamProgress& progress :
       this->engines[static_cast<std::size_t>(engine)].Step(this->now)) {
    this->TakeProgress(progress);
  }
}

void VirtualRun::Strike(const EngineFault& fault) {
  VirtualEngine& engine = this->engines[static_cast<std::size_t>(fault.engine)];
  switch (fault.kind) {
    case EngineFault::Kind::kSlow:
      engine.set_slow_factor(fault.factor);
      return;
    case EngineFault::Kind::kRestart:
      engine.set_down(false);
      return;
    case EngineFault::Kind::kCrash:
      break;
  }
  engine.set_down(true);
  for (const StreamId stream : engine.Crash()) {
    const RequestId id = this->request_of.at(stream);
    this->request_of.erase(stream);
    const Request& request = this->requests.at(id);
    this->result.crashed_tokens += static_cast<std::uint64_t>(request.tokens);
    this->Post(request.decider, AttemptEnded{.id = id,
                                             .attempt = request.attempt,
                                             .result = AttemptResult::kLost,
                                             .tokens = request.tokens,
                                             .forwarded = request.tokens > 0});
  }
}

void VirtualRun::ReportLoads() {
  std::vector<int> loads;
  for (const VirtualEngine& engine : this->engines) {
    loads.push_back(engine.running() + engine.waiting());
  }
  this->load_samples.emplace_back(this->now, std::move(loads));
  // The youngest sample that is old enough.
  const auto late = [&](const auto& sample) {
    return sample.first <= this->now - this->options.report_lag;
  };
  const auto sample = std::find_if(this->load_samples.rbegin(),
                                   this->load_samples.rend(), late);
  if (sample == this->load_samples.rend()) {
    return;
  }
  for (std::size_t decider = 0; decider < this->deciders.size(); ++decider) {
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      this->Post(decider, LoadReported{.backend = std::to_string(i),
                                       .taken_at = sample->first,
                                       .running = sample->second[i]});
    }
  }
}

RunResult VirtualRun::Run(const std::vector<Arrival>& arrivals) {
  for (std::size_t i = 0; i < this->deciders.size(); ++i) {
    this->Post(i, ResourcesChanged{.resources = this->resources});
  }
  for (std::size_t i = 0; this->options.linked && i < this->deciders.size();
       ++i) {
    for (std::size_t j = 0; j < this->deciders.size(); ++j) {
      if (i != j) {
        this->Post(i, PeerUp{.peer = std::to_string(j)});
      }
    }
  }
  std::size_t next_arrival = 0;
  std::size_t next_fault = 0;
  TimePoint next_tick = this->start;
  TimePoint next_report = this->start;
  const TimePoint last = arrivals.back().at + this->options.drain;
  while (next_arrival < arrivals.size() || !this->requests.empty()) {
    int engine = -1;
    TimePoint at = std::min(next_tick, next_report);
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      if (this->engines[i].next_step() < at) {
        at = this->engines[i].next_step();
        engine = static_cast<int>(i);
      }
    }
    if (!this->letters.empty() && this->letters.begin()->first <= at &&
        (next_arrival >= arrivals.size() ||
         this->letters.begin()->first <= arrivals[next_arrival].at)) {
      this->now = std::max(this->now, this->letters.begin()->first);
      this->Deliver();
      continue;
    }
    if (next_fault < this->options.faults.size() &&
        this->start + this->options.faults[next_fault].at <= at) {
      this->now = std::max(this->now,
                           this->start + this->options.faults[next_fault].at);
      this->Strike(this->options.faults[next_fault++]);
      continue;
    }
    if (next_arrival < arrivals.size() && arrivals[next_arrival].at <= at) {
      this->now = arrivals[next_arrival].at;
      this->Arrive(arrivals[next_arrival++]);
      continue;
    }
    this->now = at;
    if (this->now > last) {
      break;
    }
    if (engine >= 0) {
      this->StepEngine(engine);
    } else if (next_report <= next_tick) {
      next_report += this->options.report_period;
      this->ReportLoads();
    } else {
      next_tick += kTickPeriod;
      for (std::size_t i = 0; i < this->deciders.size(); ++i) {
        this->Post(i, Tick{});
      }
    }
  }
  this->result.counted =
      arrivals.back().at - this->start - this->options.warm_up;
  return std::move(this->result);
}

}  // namespace rosemarycove::bench
