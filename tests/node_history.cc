#include "tests/node_history.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace rosemarycove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An engine whose connection failed gets nothing for at least this long.
constexpr Duration kLeastEjection = seconds(2);
constexpr int kMaxSettleRounds = 2000;

}  // namespace

NodeHistory::NodeHistory(ResourceSet set, std::uint32_t seed)
    : random(seed),
      resources(std::move(set)),
      node(NodeOptions{.instance = "one", .data_centre = "a"}),
      now(TimePoint{} + seconds(1000)) {
  this->Post(ResourcesChanged{
      .resources = std::make_shared<const ResourceSet>(this->resources)});
}

void NodeHistory::Break(const std::string& what) {
  this->broken.push_back(what);
}

int NodeHistory::Draw(int below) {
  return std::uniform_int_distribution<int>(0, below - 1)(this->random);
}

RequestId NodeHistory::DrawRunning() {
  std::vector<RequestId> running;
  for (const auto& [id, request] : this->open) {
    if (request.attempt != 0) {
      running.push_back(id);
    }
  }
  return running.empty() ? 0
                         : running[static_cast<std::size_t>(
                               this->Draw(static_cast<int>(running.size())))];
}

void NodeHistory::Post(const Event& event) {
  for (const Action& action : this->node.Handle(this->now, event)) {
    std::visit([this](const auto& what) { this->Check(what); }, action);
  }
  this->CheckCounters();
}

void NodeHistory::Check(const PlacementDecision& action) {
  Request& request = this->open.at(action.placement.id);
  for (const auto& [id, other] : this->open) {
    if (other.waiting && other.pool == request.pool &&
        other.tier < request.tier &&
        action.placement.dequeue_reason != DequeueReason::kGuaranteedShare) {
      this->Break("tier " + std::to_string(request.tier) +
                  " placed while tier " + std::to_string(other.tier) +
                  " waits");
      break;
    }
  }
  if (action.placement.dequeue_reason == DequeueReason::kGuaranteedShare) {
    this->CheckShare(request, action.placement.cost);
  }
  this->pool_cost[request.pool] += action.placement.cost;
  this->class_cost[request.class_name] += action.placement.cost;
  double& largest = this->largest_cost[request.pool];
  largest = std::max(largest, action.placement.cost);
  const auto leaving = this->leaving_since.find(action.backend);
  if (leaving != this->leaving_since.end()) {
    this->Break(action.backend + " is leaving and got a request");
  }
  const auto ejected = this->ejected_until.find(action.backend);
  if (ejected != this->ejected_until.end() && this->now < ejected->second) {
    this->Break(action.backend + " is ejected and got a request");
  }
}

void NodeHistory::CheckShare(const Request& request, double cost) {
  double& taken = this->share_cost[request.pool][request.class_name];
  taken += cost;
  const RequestClass* definition =
      FindClass(this->resources, request.class_name);
  const double bound =
      definition->guaranteed_share * (this->pool_cost[request.pool] + cost) +
      2 * std::max(cost, this->largest_cost[request.pool]);
  if (taken > bound) {
    this->Break(request.class_name + " took more than its guaranteed share");
  }
}

void NodeHistory::Check(const SendAttempt& action) {
  Request& request = this->open.at(action.id);
  if (!request.waiting) {
    this->Break("sent a request that was not waiting");
  }
  request.waiting = false;
  request.attempt = action.attempt;
  request.backend = action.backend;
  request.tokens = 0;
  ++request.seen_by_engine;
  if (!request.repeatable && request.seen_by_engine > 1) {
    this->Break("a call that may not be repeated was sent twice");
  }
}

void NodeHistory::Check(const CancelAttempt& action) {
  Request& request = this->open.at(action.id);
  if (request.attempt != action.attempt) {
    this->Break("cancelled an attempt that does not run");
  }
  request.attempt = 0;
}

void NodeHistory::Check(const ClaimKey& action) {
  Request& request = this->open.at(action.id);
  request.claiming = true;
  request.waiting = false;
}

void NodeHistory::CheckOverloadRefusal(const Request& request, EndCause cause) {
  if (cause != EndCause::kQueueFull && cause != EndCause::kEvicted) {
    return;
  }
  std::map<std::string, std::size_t> waiting;
  for (const auto& [id, other] : this->open) {
    if (other.waiting && other.pool == request.pool &&
        other.tier > request.tier) {
      ++waiting[other.class_name];
    }
  }
  for (const auto& [class_name, count] : waiting) {
    const RequestClass* definition = FindClass(this->resources, class_name);
    const auto reserved = std::max<std::size_t>(
        1, static_cast<std::size_t>(definition->guaranteed_share *
                                    this->resources.limits.max_waiting));
    if (count > reserved) {
      this->Break("tier " + std::to_string(request.tier) +
                  " refused while tier " + std::to_string(definition->tier) +
                  " waits in the shared places");
    }
  }
}

void NodeHistory::Check(const FinishRequest& action) {
  if (!this->ended.insert(action.id).second) {
    this->Break("a second outcome");
    return;
  }
  const auto found = this->open.find(action.id);
  if (found == this->open.end()) {
    this->Break("an outcome for a request that never arrived");
    return;
  }
  const Request request = found->second;
  this->open.erase(found);
  ++this->outcomes[std::string(ToString(action.outcome))];
  if (action.outcome == Outcome::kRefused && request.seen_by_engine > 0) {
    this->Break("refused, although an engine saw it");
  }
  if (action.outcome == Outcome::kRefused &&
      action.execution != ExecutionStatus::kNotExecuted) {
    this->Break("refused, but not said to be not run");
  }
  this->CheckOverloadRefusal(request, action.cause);
}

void NodeHistory::CheckCounters() {
  const NodeCounters& counters = this->node.counters();
  const std::uint64_t ended_count = counters.completed + counters.refused +
                                    counters.failed + counters.cancelled +
                                    counters.unknown;
  if (counters.arrived !=
      ended_count + this->node.running_count() + this->node.waiting_count()) {
    this->Break("counters do not balance");
  }
  const auto running =
      std::count_if(this->open.begin(), this->open.end(),
                    [](const auto& item) { return item.second.attempt != 0; });
  if (this->node.running_count() != static_cast<std::size_t>(running)) {
    this->Break("the count of running requests is wrong");
  }
  if (ended_count != this->ended.size() ||
      this->node.running_count() + this->node.waiting_count() !=
          this->open.size()) {
    this->Break("counters differ from what was seen");
  }
}

void NodeHistory::ArriveAs(const std::string& class_name) {
  const RequestId id = this->next_id++;
  const RequestClass* definition = FindClass(this->resources, class_name);
  const bool plain = class_name == "order";
  const bool marked = this->Draw(10) == 0;
  this->open[id] = {.class_name = class_name,
                    .pool = plain ? "orders" : "models",
                    .tier = definition->tier,
                    .repeatable = definition->repeatable && !marked,
                    .waiting = true};
  this->Post(
      RequestArrived{.id = id,
                     .customer = plain || this->Draw(3) > 0 ? "alice" : "bob",
                     .class_name = class_name,
                     .service = plain ? "orders" : "",
                     .model = plain ? "" : "m",
                     .prompt_tokens = this->Draw(2000),
                     .max_tokens = this->Draw(2) == 0 ? 0 : 1 + this->Draw(500),
                     .prefix_hash = static_cast<std::uint64_t>(this->Draw(5)),
                     .repeatable = !marked});
}

void NodeHistory::Arrive() {
  const std::size_t index = static_cast<std::size_t>(
      this->Draw(static_cast<int>(this->resources.classes.size())));
  this->ArriveAs(this->resources.classes[index].name);
}

void NodeHistory::Progress() {
  const RequestId id = this->DrawRunning();
  if (id == 0) {
    return;
  }
  Request& request = this->open.at(id);
  request.tokens += 1 + this->Draw(10);
  this->Post(AttemptProgress{.id = id,
                             .attempt = request.attempt,
                             .tokens = request.tokens,
                             .forwarded = true});
}

void NodeHistory::End(RequestId id, AttemptResult result) {
  Request& request = this->open.at(id);
  const AttemptId attempt = request.attempt;
  const int tokens = request.tokens;
  this->old_attempts.emplace_back(id, attempt);
  request.attempt = 0;
  if (result == AttemptResult::kNotSent || result == AttemptResult::kNotRun) {
    --request.seen_by_engine;
  }
  const bool fails = result != AttemptResult::kCompleted &&
                     result != AttemptResult::kNotRun &&
                     result != AttemptResult::kAnsweredError;
  if (fails) {
    this->ejected_until[request.backend] = this->now + kLeastEjection;
  }
  // It waits again unless the node ends it.
  request.waiting = true;
  this->Post(AttemptEnded{.id = id,
                          .attempt = attempt,
                          .result = result,
                          .tokens = tokens,
                          .forwarded = tokens > 0});
}

void NodeHistory::EndOne() {
  const RequestId id = this->DrawRunning();
  if (id == 0) {
    return;
  }
  static constexpr AttemptResult kResults[] = {
      AttemptResult::kCompleted, AttemptResult::kCompleted,
      AttemptResult::kCompleted, AttemptResult::kCompleted,
      AttemptResult::kNotSent,   AttemptResult::kNotRun,
      AttemptResult::kLost,      AttemptResult::kMalformed,
      AttemptResult::kWrongId,   AttemptResult::kAnsweredError};
  this->End(id, kResults[this->Draw(std::size(kResults))]);
}

void NodeHistory::Crash() {
  const RequestId chosen = this->DrawRunning();
  if (chosen == 0) {
    return;
  }
  const std::string backend = this->open.at(chosen).backend;
  std::vector<RequestId> lost;
  for (const auto& [id, request] : this->open) {
    if (request.attempt != 0 && request.backend == backend) {
      lost.push_back(id);
    }
  }
  for (const RequestId id : lost) {
    // An earlier loss may have moved it to another engine.
    const auto found = this->open.find(id);
    if (found != this->open.end() && found->second.attempt != 0 &&
        found->second.backend == backend) {
      this->End(id, AttemptResult::kLost);
    }
  }
}

void NodeHistory::Leave() {
  if (this->open.empty()) {
    return;
  }
  auto chosen = this->open.begin();
  std::advance(chosen, this->Draw(static_cast<int>(this->open.size())));
  this->Post(CallerDisconnected{.id = chosen->first});
}

void NodeHistory::ReportLoad() {
  const auto& backend = this->resources.backends[static_cast<std::size_t>(
      this->Draw(static_cast<int>(this->resources.backends.size())))];
  this->Post(
      LoadReported{.backend = backend.name,
                   .taken_at = this->now - milliseconds(this->Draw(6000)),
                   .running = this->Draw(40)});
}

void NodeHistory::ReplayStaleEnd() {
  if (this->old_attempts.empty()) {
    return;
  }
  const auto& [id, attempt] = this->old_attempts[static_cast<std::size_t>(
      this->Draw(static_cast<int>(this->old_attempts.size())))];
  const std::size_t before = this->ended.size();
  this->Post(AttemptEnded{.id = id,
                          .attempt = attempt,
                          .result = AttemptResult::kCompleted,
                          .tokens = 7});
  if (this->ended.size() != before) {
    this->Break("a late answer of an old attempt ended a request");
  }
}

void NodeHistory::ChangeResources() {
  Backend& backend = this->resources.backends[static_cast<std::size_t>(
      this->Draw(static_cast<int>(this->resources.backends.size())))];
  backend.leaving = !backend.leaving;
  if (backend.leaving) {
    this->leaving_since[backend.name] = this->now;
  } else {
    this->leaving_since.erase(backend.name);
  }
  ++this->resources.revision;
  this->Post(ResourcesChanged{
      .resources = std::make_shared<const ResourceSet>(this->resources)});
}

void NodeHistory::Advance(Duration time) {
  this->now += time;
  this->Post(Tick{});
}

void NodeHistory::Step() {
  const int what = this->Draw(100);
  if (what < 40) {
    this->Arrive();
  } else if (what < 55) {
    this->EndOne();
  } else if (what < 70) {
    this->Progress();
  } else if (what < 75) {
    this->Leave();
  } else if (what < 82) {
    this->ReportLoad();
  } else if (what < 85) {
    this->ReplayStaleEnd();
  } else if (what < 86) {
    this->ChangeResources();
  } else if (what < 87) {
    this->Crash();
  } else {
    this->Advance(milliseconds(this->Draw(500)));
  }
}

void NodeHistory::Settle() {
  for (Backend& backend : this->resources.backends) {
    backend.leaving = false;
  }
  this->leaving_since.clear();
  ++this->resources.revision;
  this->Post(ResourcesChanged{
      .resources = std::make_shared<const ResourceSet>(this->resources)});
  for (int round = 0; round < kMaxSettleRounds && !this->open.empty();
       ++round) {
    const RequestId id = this->DrawRunning();
    if (id != 0) {
      this->End(id, AttemptResult::kCompleted);
    } else {
      this->Advance(milliseconds(200));
    }
  }
  if (!this->open.empty()) {
    this->Break(std::to_string(this->open.size()) + " requests never ended");
  }
}

void NodeHistory::Overload(int steps) {
  for (int i = 0; i < steps; ++i) {
    this->ArriveAs("fast");
    this->ArriveAs("fast");
    this->ArriveAs("slow");
    this->Advance(milliseconds(5));
    const RequestId id = this->DrawRunning();
    if (id != 0) {
      this->End(id, AttemptResult::kCompleted);
    }
  }
  const double total = this->pool_cost["models"];
  const double taken = this->class_cost["slow"];
  const RequestClass* definition = FindClass(this->resources, "slow");
  if (taken <
      definition->guaranteed_share * total - 2 * this->largest_cost["models"]) {
    this->Break("a lower class got less than its share under overload");
  }
}

}  // namespace rosemarycove
