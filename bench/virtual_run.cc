#include "bench/virtual_run.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace rosemarycove::bench {
namespace {

// Interval of Tick events.
constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
// Minimum time between two AttemptProgress events of a request. The first and
// the last token are reported at once.
constexpr Duration kMinProgressInterval = std::chrono::milliseconds(250);

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
  return static_cast<double>(on_target) / ToSeconds(this->counted_time);
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

VirtualRun::VirtualRun(const Workload& workload, RunOptions options,
                       std::vector<std::unique_ptr<SchedulingPolicy>> instances,
                       std::shared_ptr<const ResourceSet> resources,
                       std::uint32_t seed)
    : options(std::move(options)),
      instances(std::move(instances)),
      resources(std::move(resources)),
      random(seed),
      engines(static_cast<std::size_t>(workload.engines),
              VirtualEngine(workload.engine)),
      start(TimePoint{} + std::chrono::seconds(1000)),
      now(this->start) {
  for (const RequestClass& item : this->resources->classes) {
    this->targets[item.name] = item.target;
  }
}

void VirtualRun::HandleEvent(std::size_t instance, const Event& event) {
  const std::vector<Action> actions =
      this->instances[instance]->Handle(this->now, event);
  for (const Action& action : actions) {
    std::visit([&](const auto& item) { this->Execute(instance, item); },
               action);
  }
}

void VirtualRun::Execute(std::size_t instance, const SendAttempt& action) {
  Request& request = this->requests.at(action.id);
  const int index = std::stoi(action.backend);
  VirtualEngine& engine = this->engines[static_cast<std::size_t>(index)];
  request.attempt = action.attempt;
  request.tokens = 0;
  request.sent = this->now;
  if (engine.is_down()) {
    this->HandleEvent(instance,
                      AttemptEnded{.id = action.id,
                                   .attempt = action.attempt,
                                   .result = AttemptResult::kNotSent});
    return;
  }
  request.engine = index;
  request.stream = this->next_stream++;
  this->request_ids[request.stream] = action.id;
  engine.AddStream(request.stream, request.arrival.prompt_tokens,
                   request.arrival.answer_tokens, action.priority, this->now);
}

void VirtualRun::Execute(std::size_t /*instance*/,
                         const CancelAttempt& action) {
  const Request& request = this->requests.at(action.id);
  this->engines[static_cast<std::size_t>(request.engine)].Cancel(
      request.stream);
  this->request_ids.erase(request.stream);
}

void VirtualRun::Execute(std::size_t instance, const SendToPeer& action) {
  ++this->result.messages;
  this->peer_deliveries.emplace(
      this->now + this->options.peer_message_delay,
      PeerDelivery{.receiver = static_cast<std::size_t>(std::stoi(action.peer)),
                   .event = {.peer = std::to_string(instance),
                             .message = action.message}});
}

void VirtualRun::DeliverPeerMessage() {
  const PeerDelivery delivery =
      std::move(this->peer_deliveries.begin()->second);
  this->peer_deliveries.erase(this->peer_deliveries.begin());
  this->HandleEvent(delivery.receiver, delivery.event);
}

bool VirtualRun::IsCounted(const Request& request) const {
  return request.arrival.at - this->start >= this->options.warm_up;
}

bool VirtualRun::MeetsTarget(const Request& request) const {
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

void VirtualRun::Execute(std::size_t /*instance*/,
                         const FinishRequest& action) {
  const auto found = this->requests.find(action.id);
  const Request request = found->second;
  this->requests.erase(found);
  this->result.wasted_tokens +=
      static_cast<std::uint64_t>(action.wasted_tokens);
  if (!this->IsCounted(request)) {
    return;
  }
  ClassResult& class_result = this->result.classes[request.arrival.class_name];
  auto& second_counts =
      this->result.by_second[(request.arrival.at - this->start) /
                             std::chrono::seconds(1)];
  ++class_result.arrived;
  ++second_counts.first;
  const TimePoint waited_until = action.attempts > 0 ? request.sent : this->now;
  class_result.longest_wait =
      std::max(class_result.longest_wait, waited_until - request.arrival.at);
  if (action.outcome == Outcome::kCompleted) {
    ++class_result.completed;
    const bool meets_target = this->MeetsTarget(request);
    class_result.on_target += meets_target ? 1 : 0;
    second_counts.second += meets_target ? 1 : 0;
  } else if (action.outcome == Outcome::kRefused) {
    ++class_result.refused;
  } else {
    ++class_result.failed;
  }
}

void VirtualRun::AcceptArrival(const Arrival& arrival) {
  const RequestId id = this->next_request++;
  std::uniform_int_distribution<std::size_t> pick(0,
                                                  this->instances.size() - 1);
  const std::size_t instance = pick(this->random);
  this->requests[id] = {.arrival = arrival, .instance = instance};
  this->instances[instance]->SetAnswerLength(id, arrival.answer_tokens);
  this->HandleEvent(instance,
                    RequestArrived{.id = id,
                                   .customer = arrival.customer,
                                   .class_name = arrival.class_name,
                                   .service = "models",
                                   .model = "m",
                                   .prompt_tokens = arrival.prompt_tokens});
}

void VirtualRun::HandleProgress(const StreamProgress& progress) {
  const auto found = this->request_ids.find(progress.id);
  if (found == this->request_ids.end()) {
    return;
  }
  const RequestId id = found->second;
  Request& request = this->requests.at(id);
  request.tokens = progress.tokens;
  ++this->result.tokens;
  if (progress.tokens == 1) {
    request.first_token = this->now;
  }
  if (progress.has_ended) {
    this->request_ids.erase(found);
  }
  if (progress.tokens == 1 || progress.has_ended ||
      this->now - request.last_progress_at >= kMinProgressInterval) {
    request.last_progress_at = this->now;
    this->HandleEvent(request.instance,
                      AttemptProgress{.id = id,
                                      .attempt = request.attempt,
                                      .tokens = progress.tokens,
                                      .forwarded = true});
  }
  if (progress.has_ended) {
    this->HandleEvent(request.instance,
                      AttemptEnded{.id = id,
                                   .attempt = request.attempt,
                                   .result = AttemptResult::kCompleted,
                                   .tokens = progress.tokens,
                                   .forwarded = true});
  }
}

void VirtualRun::FinishEngineStep(int engine) {
  for (const StreamProgress& progress :
       this->engines[static_cast<std::size_t>(engine)].FinishStep(this->now)) {
    this->HandleProgress(progress);
  }
}

void VirtualRun::ApplyFault(const EngineFault& fault) {
  VirtualEngine& engine = this->engines[static_cast<std::size_t>(fault.engine)];
  switch (fault.kind) {
    case EngineFault::Kind::kSlow:
      engine.set_slow_factor(fault.slowdown_factor);
      return;
    case EngineFault::Kind::kRestart:
      engine.set_down(false);
      return;
    case EngineFault::Kind::kCrash:
      break;
  }
  engine.set_down(true);
  for (const StreamId stream : engine.Crash()) {
    const RequestId id = this->request_ids.at(stream);
    this->request_ids.erase(stream);
    const Request& request = this->requests.at(id);
    this->result.crashed_tokens += static_cast<std::uint64_t>(request.tokens);
    this->HandleEvent(request.instance,
                      AttemptEnded{.id = id,
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
  // The latest sample that is at least report_lag old.
  const auto is_old_enough = [&](const auto& sample) {
    return sample.first <= this->now - this->options.report_lag;
  };
  const auto sample = std::find_if(this->load_samples.rbegin(),
                                   this->load_samples.rend(), is_old_enough);
  if (sample == this->load_samples.rend()) {
    return;
  }
  for (std::size_t instance = 0; instance < this->instances.size();
       ++instance) {
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      this->HandleEvent(instance, LoadReported{.backend = std::to_string(i),
                                               .taken_at = sample->first,
                                               .running = sample->second[i]});
    }
  }
}

RunResult VirtualRun::Run(const std::vector<Arrival>& arrivals) {
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    this->HandleEvent(i, ResourcesChanged{.resources = this->resources});
  }
  for (std::size_t i = 0;
       this->options.has_peer_links && i < this->instances.size(); ++i) {
    for (std::size_t j = 0; j < this->instances.size(); ++j) {
      if (i != j) {
        this->HandleEvent(i, PeerUp{.peer = std::to_string(j)});
      }
    }
  }
  std::size_t next_arrival = 0;
  std::size_t next_fault = 0;
  TimePoint next_tick = this->start;
  TimePoint next_report = this->start;
  const TimePoint run_end = arrivals.back().at + this->options.drain_timeout;
  while (next_arrival < arrivals.size() || !this->requests.empty()) {
    int engine = -1;
    TimePoint at = std::min(next_tick, next_report);
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      if (this->engines[i].step_end_time() < at) {
        at = this->engines[i].step_end_time();
        engine = static_cast<int>(i);
      }
    }
    if (!this->peer_deliveries.empty() &&
        this->peer_deliveries.begin()->first <= at &&
        (next_arrival >= arrivals.size() ||
         this->peer_deliveries.begin()->first <= arrivals[next_arrival].at)) {
      this->now = std::max(this->now, this->peer_deliveries.begin()->first);
      this->DeliverPeerMessage();
      continue;
    }
    if (next_fault < this->options.faults.size() &&
        this->start + this->options.faults[next_fault].at <= at) {
      this->now = std::max(this->now,
                           this->start + this->options.faults[next_fault].at);
      this->ApplyFault(this->options.faults[next_fault++]);
      continue;
    }
    if (next_arrival < arrivals.size() && arrivals[next_arrival].at <= at) {
      this->now = arrivals[next_arrival].at;
      this->AcceptArrival(arrivals[next_arrival++]);
      continue;
    }
    this->now = at;
    if (this->now > run_end) {
      break;
    }
    if (engine >= 0) {
      this->FinishEngineStep(engine);
    } else if (next_report <= next_tick) {
      next_report += this->options.report_period;
      this->ReportLoads();
    } else {
      next_tick += kTickPeriod;
      for (std::size_t i = 0; i < this->instances.size(); ++i) {
        this->HandleEvent(i, Tick{});
      }
    }
  }
  this->result.counted_time =
      arrivals.back().at - this->start - this->options.warm_up;
  return std::move(this->result);
}

}  // namespace rosemarycove::bench
