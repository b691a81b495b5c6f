#include "tests/node_history.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace rosemarycove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Minimum time without new requests for an engine after a failed attempt.
constexpr Duration kMinEjection = seconds(2);
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

void NodeHistory::AddViolation(const std::string& what) {
  this->found_violations.push_back(what);
}

int NodeHistory::RandomBelow(int below) {
  return std::uniform_int_distribution<int>(0, below - 1)(this->random);
}

RequestId NodeHistory::RandomRunning() {
  std::vector<RequestId> running;
  for (const auto& [id, request] : this->open_requests) {
    if (request.attempt != 0) {
      running.push_back(id);
    }
  }
  return running.empty() ? 0
                         : running[static_cast<std::size_t>(this->RandomBelow(
                               static_cast<int>(running.size())))];
}

void NodeHistory::Post(const Event& event) {
  for (const Action& action : this->node.Handle(this->now, event)) {
    std::visit([this](const auto& what) { this->Check(what); }, action);
  }
  this->CheckCounters();
}

void NodeHistory::Check(const PlacementDecision& action) {
  Request& request = this->open_requests.at(action.placement.id);
  for (const auto& [id, other] : this->open_requests) {
    if (other.is_waiting && other.pool == request.pool &&
        other.tier < request.tier &&
        action.placement.dequeue_reason != DequeueReason::kGuaranteedShare) {
      this->AddViolation("tier " + std::to_string(request.tier) +
                         " placed while tier " + std::to_string(other.tier) +
                         " waits");
      break;
    }
  }
  if (action.placement.dequeue_reason == DequeueReason::kGuaranteedShare) {
    this->CheckShare(request, action.placement.expected_tokens);
  }
  this->pool_cost[request.pool] += action.placement.expected_tokens;
  this->class_cost[request.class_name] += action.placement.expected_tokens;
  double& largest = this->largest_cost[request.pool];
  largest = std::max(largest, action.placement.expected_tokens);
  const auto draining = this->draining_backends.find(action.backend);
  if (draining != this->draining_backends.end()) {
    this->AddViolation(action.backend + " is draining but got a request");
  }
  const auto ejected = this->ejected_until.find(action.backend);
  if (ejected != this->ejected_until.end() && this->now < ejected->second) {
    this->AddViolation(action.backend + " is ejected but got a request");
  }
}

void NodeHistory::CheckShare(const Request& request, double cost) {
  double& dispatched = this->guaranteed_cost[request.pool][request.class_name];
  dispatched += cost;
  const RequestClass* definition =
      FindClass(this->resources, request.class_name);
  const double bound =
      definition->guaranteed_share * (this->pool_cost[request.pool] + cost) +
      2 * std::max(cost, this->largest_cost[request.pool]);
  if (dispatched > bound) {
    this->AddViolation(request.class_name +
                       " got more than its guaranteed share");
  }
}

void NodeHistory::Check(const SendAttempt& action) {
  Request& request = this->open_requests.at(action.id);
  if (!request.is_waiting) {
    this->AddViolation("a request was sent that was not waiting");
  }
  request.is_waiting = false;
  request.attempt = action.attempt;
  request.backend = action.backend;
  request.tokens = 0;
  ++request.executions;
  if (!request.repeatable && request.executions > 1) {
    this->AddViolation("a request that must not be repeated was sent twice");
  }
}

void NodeHistory::Check(const CancelAttempt& action) {
  Request& request = this->open_requests.at(action.id);
  if (request.attempt != action.attempt) {
    this->AddViolation("an attempt was cancelled that is not running");
  }
  request.attempt = 0;
}

void NodeHistory::Check(const ClaimKey& action) {
  Request& request = this->open_requests.at(action.id);
  request.is_claiming = true;
  request.is_waiting = false;
}

void NodeHistory::CheckQueueFullRefusal(const Request& request,
                                        EndCause cause) {
  if (cause != EndCause::kQueueFull && cause != EndCause::kEvicted) {
    return;
  }
  std::map<std::string, std::size_t> waiting;
  for (const auto& [id, other] : this->open_requests) {
    if (other.is_waiting && other.pool == request.pool &&
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
      this->AddViolation(
          "tier " + std::to_string(request.tier) + " refused while tier " +
          std::to_string(definition->tier) + " waits in the shared places");
    }
  }
}

void NodeHistory::Check(const FinishRequest& action) {
  if (!this->ended.insert(action.id).second) {
    this->AddViolation("a request got a second outcome");
    return;
  }
  const auto found = this->open_requests.find(action.id);
  if (found == this->open_requests.end()) {
    this->AddViolation("an unknown request got an outcome");
    return;
  }
  const Request request = found->second;
  this->open_requests.erase(found);
  ++this->outcomes[std::string(ToString(action.outcome))];
  if (action.outcome == Outcome::kRefused && request.executions > 0) {
    this->AddViolation(
        "a request was refused after an engine may have executed it");
  }
  if (action.outcome == Outcome::kRefused &&
      action.execution != ExecutionStatus::kNotExecuted) {
    this->AddViolation("a refused request was not reported as not executed");
  }
  this->CheckQueueFullRefusal(request, action.cause);
}

void NodeHistory::CheckCounters() {
  const NodeCounters& counters = this->node.counters();
  const std::uint64_t ended_count = counters.completed + counters.refused +
                                    counters.failed + counters.cancelled +
                                    counters.unknown;
  if (counters.arrived !=
      ended_count + this->node.running_count() + this->node.waiting_count()) {
    this->AddViolation(
        "the arrived requests differ from the ended and open ones");
  }
  const auto running =
      std::count_if(this->open_requests.begin(), this->open_requests.end(),
                    [](const auto& item) { return item.second.attempt != 0; });
  if (this->node.running_count() != static_cast<std::size_t>(running)) {
    this->AddViolation("the number of running requests is wrong");
  }
  if (ended_count != this->ended.size() ||
      this->node.running_count() + this->node.waiting_count() !=
          this->open_requests.size()) {
    this->AddViolation("the counters differ from the model");
  }
}

void NodeHistory::ArriveAs(const std::string& class_name) {
  const RequestId id = this->next_id++;
  const RequestClass* definition = FindClass(this->resources, class_name);
  const bool plain = class_name == "order";
  const bool marked_not_repeatable = this->RandomBelow(10) == 0;
  this->open_requests[id] = {
      .class_name = class_name,
      .pool = plain ? "orders" : "models",
      .tier = definition->tier,
      .repeatable = definition->repeatable && !marked_not_repeatable,
      .is_waiting = true};
  this->Post(RequestArrived{
      .id = id,
      .customer = plain || this->RandomBelow(3) > 0 ? "alice" : "bob",
      .class_name = class_name,
      .service = plain ? "orders" : "",
      .model = plain ? "" : "m",
      .prompt_tokens = this->RandomBelow(2000),
      .max_tokens = this->RandomBelow(2) == 0 ? 0 : 1 + this->RandomBelow(500),
      .prefix_hash = static_cast<std::uint64_t>(this->RandomBelow(5)),
      .repeatable = !marked_not_repeatable});
}

void NodeHistory::Arrive() {
  const std::size_t index = static_cast<std::size_t>(
      this->RandomBelow(static_cast<int>(this->resources.classes.size())));
  this->ArriveAs(this->resources.classes[index].name);
}

void NodeHistory::Progress() {
  const RequestId id = this->RandomRunning();
  if (id == 0) {
    return;
  }
  Request& request = this->open_requests.at(id);
  request.tokens += 1 + this->RandomBelow(10);
  this->Post(AttemptProgress{.id = id,
                             .attempt = request.attempt,
                             .tokens = request.tokens,
                             .forwarded = true});
}

void NodeHistory::End(RequestId id, AttemptResult result) {
  Request& request = this->open_requests.at(id);
  const AttemptId attempt = request.attempt;
  const int tokens = request.tokens;
  this->ended_attempts.emplace_back(id, attempt);
  request.attempt = 0;
  if (result == AttemptResult::kNotSent ||
      result == AttemptResult::kNotExecuted) {
    --request.executions;
  }
  const bool fails = result != AttemptResult::kCompleted &&
                     result != AttemptResult::kNotExecuted &&
                     result != AttemptResult::kAnsweredError;
  if (fails) {
    this->ejected_until[request.backend] = this->now + kMinEjection;
  }
  // The request waits again unless the node ends it.
  request.is_waiting = true;
  this->Post(AttemptEnded{.id = id,
                          .attempt = attempt,
                          .result = result,
                          .tokens = tokens,
                          .forwarded = tokens > 0});
}

void NodeHistory::EndOne() {
  const RequestId id = this->RandomRunning();
  if (id == 0) {
    return;
  }
  static constexpr AttemptResult kResults[] = {
      AttemptResult::kCompleted, AttemptResult::kCompleted,
      AttemptResult::kCompleted, AttemptResult::kCompleted,
      AttemptResult::kNotSent,   AttemptResult::kNotExecuted,
      AttemptResult::kLost,      AttemptResult::kMalformed,
      AttemptResult::kWrongId,   AttemptResult::kAnsweredError};
  this->End(id, kResults[this->RandomBelow(std::size(kResults))]);
}

void NodeHistory::CrashBackend() {
  const RequestId chosen = this->RandomRunning();
  if (chosen == 0) {
    return;
  }
  const std::string backend = this->open_requests.at(chosen).backend;
  std::vector<RequestId> lost;
  for (const auto& [id, request] : this->open_requests) {
    if (request.attempt != 0 && request.backend == backend) {
      lost.push_back(id);
    }
  }
  for (const RequestId id : lost) {
    // An earlier failure in this loop may have moved it to another engine.
    const auto found = this->open_requests.find(id);
    if (found != this->open_requests.end() && found->second.attempt != 0 &&
        found->second.backend == backend) {
      this->End(id, AttemptResult::kLost);
    }
  }
}

void NodeHistory::DisconnectCaller() {
  if (this->open_requests.empty()) {
    return;
  }
  auto chosen = this->open_requests.begin();
  std::advance(chosen,
               this->RandomBelow(static_cast<int>(this->open_requests.size())));
  this->Post(CallerDisconnected{.id = chosen->first});
}

void NodeHistory::ReportLoad() {
  const auto& backend = this->resources.backends[static_cast<std::size_t>(
      this->RandomBelow(static_cast<int>(this->resources.backends.size())))];
  this->Post(LoadReported{
      .backend = backend.name,
      .taken_at = this->now - milliseconds(this->RandomBelow(6000)),
      .running = this->RandomBelow(40)});
}

void NodeHistory::ReplayEndedAttempt() {
  if (this->ended_attempts.empty()) {
    return;
  }
  const auto& [id, attempt] = this->ended_attempts[static_cast<std::size_t>(
      this->RandomBelow(static_cast<int>(this->ended_attempts.size())))];
  const std::size_t before = this->ended.size();
  this->Post(AttemptEnded{.id = id,
                          .attempt = attempt,
                          .result = AttemptResult::kCompleted,
                          .tokens = 7});
  if (this->ended.size() != before) {
    this->AddViolation("the end of an old attempt ended a request");
  }
}

void NodeHistory::ChangeResources() {
  Backend& backend = this->resources.backends[static_cast<std::size_t>(
      this->RandomBelow(static_cast<int>(this->resources.backends.size())))];
  backend.is_draining = !backend.is_draining;
  if (backend.is_draining) {
    this->draining_backends[backend.name] = this->now;
  } else {
    this->draining_backends.erase(backend.name);
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
  const int what = this->RandomBelow(100);
  if (what < 40) {
    this->Arrive();
  } else if (what < 55) {
    this->EndOne();
  } else if (what < 70) {
    this->Progress();
  } else if (what < 75) {
    this->DisconnectCaller();
  } else if (what < 82) {
    this->ReportLoad();
  } else if (what < 85) {
    this->ReplayEndedAttempt();
  } else if (what < 86) {
    this->ChangeResources();
  } else if (what < 87) {
    this->CrashBackend();
  } else {
    this->Advance(milliseconds(this->RandomBelow(500)));
  }
}

void NodeHistory::Settle() {
  for (Backend& backend : this->resources.backends) {
    backend.is_draining = false;
  }
  this->draining_backends.clear();
  ++this->resources.revision;
  this->Post(ResourcesChanged{
      .resources = std::make_shared<const ResourceSet>(this->resources)});
  for (int round = 0; round < kMaxSettleRounds && !this->open_requests.empty();
       ++round) {
    const RequestId id = this->RandomRunning();
    if (id != 0) {
      this->End(id, AttemptResult::kCompleted);
    } else {
      this->Advance(milliseconds(200));
    }
  }
  if (!this->open_requests.empty()) {
    this->AddViolation(std::to_string(this->open_requests.size()) +
                       " requests did not end");
  }
}

void NodeHistory::Overload(int steps) {
  for (int i = 0; i < steps; ++i) {
    this->ArriveAs("fast");
    this->ArriveAs("fast");
    this->ArriveAs("slow");
    this->Advance(milliseconds(5));
    const RequestId id = this->RandomRunning();
    if (id != 0) {
      this->End(id, AttemptResult::kCompleted);
    }
  }
  const double total = this->pool_cost["models"];
  const double dispatched = this->class_cost["slow"];
  const RequestClass* definition = FindClass(this->resources, "slow");
  if (dispatched <
      definition->guaranteed_share * total - 2 * this->largest_cost["models"]) {
    this->AddViolation(
        "a lower class got less than its guaranteed share under overload");
  }
}

}  // namespace rosemarycove
