#include "core/node.h"

#include <algorithm>
#include <utility>

namespace rosemarycove {
namespace {

// Maximum number of attempts for one request, the first one included.
constexpr int kMaxAttempts = 3;
// Minimum interval between two progress reports to the instance that granted
// the slot.
constexpr Duration kProgressReportPeriod = std::chrono::seconds(1);

// Returns the first service that offers the model; empty if there is none.
std::string ServiceOfModel(const ResourceSet& resources,
                           const std::string& model) {
  for (const Service& service : resources.services) {
    if (std::find(service.models.begin(), service.models.end(), model) !=
        service.models.end()) {
      return service.name;
    }
  }
  return {};
}

EndCause CauseOf(AttemptResult result) {
  switch (result) {
    case AttemptResult::kCompleted:
      return EndCause::kAnswered;
    case AttemptResult::kNotSent:
    case AttemptResult::kNotExecuted:
      return EndCause::kNoBackend;
    case AttemptResult::kAnsweredError:
      return EndCause::kBackendError;
    case AttemptResult::kLost:
      return EndCause::kAnswerLost;
    case AttemptResult::kMalformed:
      return EndCause::kAnswerMalformed;
    case AttemptResult::kAbandoned:
      return EndCause::kCallerLeft;
    case AttemptResult::kWrongId:
      return EndCause::kWrongAnswerId;
  }
  return EndCause::kAnswerLost;
}

EndCause CauseOf(DropCause cause) {
  switch (cause) {
    case DropCause::kEvicted:
      return EndCause::kEvicted;
    case DropCause::kLate:
      return EndCause::kLate;
    case DropCause::kMaxWait:
      return EndCause::kMaxWait;
  }
  return EndCause::kMaxWait;
}

bool IsCertainlyNotExecuted(AttemptResult result) {
  return result == AttemptResult::kNotSent ||
         result == AttemptResult::kNotExecuted;
}

}  // namespace

Node::Node(NodeOptions options)
    : local_scheduler(std::move(options.data_centre)),
      assignment(std::move(options.instance)),
      retry_budget(0) {}

bool Node::IsReady() const {
  return this->active_resources && !this->is_draining;
}

std::vector<Action> Node::Handle(TimePoint now, const Event& event) {
  this->now = now;
  this->actions.clear();
  std::visit([this](const auto& item) { this->On(item); }, event);
  this->PlaceAll();
  return std::exchange(this->actions, {});
}

std::optional<EndCause> Node::FindRefusalCause(
    const RequestArrived& event, const RequestClass* request_class,
    const Customer* customer) const {
  if (customer == nullptr || request_class == nullptr ||
      std::find(customer->classes.begin(), customer->classes.end(),
                request_class->name) == customer->classes.end()) {
    return EndCause::kClassNotAllowed;
  }
  if (!this->local_scheduler.HasPool(event.service, event.model)) {
    return event.model.empty() ? EndCause::kUnknownService
                               : EndCause::kUnknownModel;
  }
  const auto reached = [](const auto& counts, const std::string& name,
                          int limit) {
    const auto count = counts.find(name);
    return limit > 0 && count != counts.end() && count->second >= limit;
  };
  if (reached(this->in_flight_by_customer, customer->name,
              customer->max_in_flight)) {
    return EndCause::kCustomerLimit;
  }
  if (reached(this->in_flight_by_class, request_class->name,
              request_class->max_in_flight)) {
    return EndCause::kClassLimit;
  }
  return std::nullopt;
}

void Node::On(const RequestArrived& event) {
  ++this->counter_values.arrived;
  Request& request = this->requests[event.id];
  request.arrived = event;
  request.arrival = this->now;
  if (!this->IsReady()) {
    this->Finish(event.id, Outcome::kRefused,
                 this->is_draining ? EndCause::kDraining : EndCause::kNotReady,
                 ExecutionStatus::kNotExecuted, std::chrono::seconds(1));
    return;
  }
  RequestArrived& arrived = request.arrived;
  if (arrived.service.empty()) {
    arrived.service = ServiceOfModel(*this->active_resources, arrived.model);
  }
  const auto customer = this->customers.find(arrived.customer);
  const Customer* definition =
      customer == this->customers.end() ? nullptr : customer->second;
  if (definition != nullptr && arrived.class_name.empty()) {
    arrived.class_name = definition->default_class;
  }
  const RequestClass* request_class =
      FindClass(*this->active_resources, arrived.class_name);
  const std::optional<EndCause> refusal =
      this->FindRefusalCause(arrived, request_class, definition);
  ++this->in_flight_by_customer[arrived.customer];
  ++this->in_flight_by_class[arrived.class_name];
  request.counted_in_flight = true;
  if (refusal) {
    const bool is_limit = *refusal == EndCause::kCustomerLimit ||
                          *refusal == EndCause::kClassLimit;
    this->Finish(event.id, Outcome::kRefused, *refusal,
                 ExecutionStatus::kNotExecuted,
                 is_limit ? Duration(std::chrono::seconds(1)) : Duration{});
    return;
  }
  request.tier = request_class->tier;
  request.target = request_class->target;
  request.repeatable =
      arrived.repeatable && request_class->repeatable &&
      FindService(*this->active_resources, arrived.service)->repeatable;
  request.placement = {.id = event.id,
                       .class_name = arrived.class_name,
                       .customer = arrived.customer,
                       .service = arrived.service,
                       .model = arrived.model,
                       .group = static_cast<std::uint32_t>(
                           event.id % this->local_scheduler.GroupCount(
                                          arrived.service, arrived.model)),
                       .arrival = this->now,
                       .prompt_tokens = arrived.prompt_tokens,
                       .max_tokens = arrived.max_tokens,
                       .prefix_hash = arrived.prefix_hash};
  if (!request.repeatable && !arrived.idempotency_key.empty()) {
    request.phase = Phase::kClaimingKey;
    this->actions.emplace_back(ClaimKey{.id = event.id,
                                        .customer = arrived.customer,
                                        .key = arrived.idempotency_key,
                                        .fingerprint = arrived.fingerprint});
    return;
  }
  this->Enqueue(request);
}

void Node::On(const ClaimAnswered& event) {
  const auto found = this->requests.find(event.id);
  if (found == this->requests.end() ||
      found->second.phase != Phase::kClaimingKey) {
    return;
  }
  switch (event.result) {
    case ClaimResult::kClaimed:
      this->Enqueue(found->second);
      return;
    case ClaimResult::kIdempotencyKeyTaken:
      this->Finish(event.id, Outcome::kRefused, EndCause::kIdempotencyKeyTaken,
                   ExecutionStatus::kNotExecuted);
      return;
    case ClaimResult::kIdempotencyKeyReused:
      this->Finish(event.id, Outcome::kRefused, EndCause::kIdempotencyKeyReused,
                   ExecutionStatus::kNotExecuted);
      return;
    case ClaimResult::kUnavailable:
      this->Finish(event.id, Outcome::kRefused, EndCause::kStoreUnavailable,
                   ExecutionStatus::kNotExecuted, std::chrono::seconds(2));
      return;
  }
}

std::string Node::SchedulerOf(const Request& request) const {
  return this->assignment.SchedulerOf(
      request.placement.service + '/' + request.placement.model,
      request.placement.group);
}

void Node::Enqueue(Request& request) {
  // A change of the resources may have reduced the number of groups.
  request.placement.group %= this->local_scheduler.GroupCount(
      request.placement.service, request.placement.model);
  request.scheduler = this->SchedulerOf(request);
  if (this->IsSelf(request.scheduler)) {
    this->EnqueueLocally(request);
  } else {
    this->RequestSlot(request);
  }
}

void Node::EnqueueLocally(Request& request) {
  request.phase = Phase::kQueuedLocally;
  const EnqueueResult result =
      this->local_scheduler.Enqueue(request.placement, this->now);
  if (result.evicted) {
    this->HandleDropped(*result.evicted);
  }
  if (!result.added) {
    this->EndUnplaced(request.placement.id, EndCause::kQueueFull);
    return;
  }
  for (const BackendIndex backend : request.tried) {
    this->local_scheduler.MarkTried(request.placement.id, backend);
  }
}

void Node::RequestSlot(Request& request) {
  request.phase = Phase::kQueuedRemotely;
  const PlacementRequest& placement = request.placement;
  request.slot_request_id = this->next_slot_request_id++;
  SlotRequest slot_request{.id = placement.id,
                           .slot_request_id = request.slot_request_id,
                           .class_name = placement.class_name,
                           .customer = placement.customer,
                           .service = placement.service,
                           .model = placement.model,
                           .group = placement.group,
                           .wait_time = this->now - request.arrival,
                           .prompt_tokens = placement.prompt_tokens,
                           .max_tokens = placement.max_tokens,
                           .prefix_hash = placement.prefix_hash,
                           .tried = {}};
  for (const BackendIndex backend : request.tried) {
    slot_request.tried.push_back(
        this->local_scheduler.backend(backend).backend().name);
  }
  this->SendMessage(request.scheduler, std::move(slot_request));
}

void Node::SendMessage(const std::string& peer, PeerMessage message) {
  this->actions.emplace_back(
      SendToPeer{.peer = peer, .message = std::move(message)});
}

void Node::HandleDropped(const DroppedRequest& dropped) {
  if (RemoteRequestTable::IsRemote(dropped.id)) {
    this->RefuseRemote(dropped.id, CauseOf(dropped.cause));
    return;
  }
  this->EndUnplaced(dropped.id, CauseOf(dropped.cause));
}

void Node::EndUnplaced(RequestId id, EndCause cause) {
  const Request& request = this->requests.at(id);
  const Duration retry_after = this->local_scheduler.RetryAfter(
      request.placement.service, request.placement.model,
      request.placement.group, request.tier);
  if (request.sent) {
    this->Finish(id, Outcome::kFailed, cause, ExecutionStatus::kExecuted,
                 retry_after);
  } else {
    this->Finish(id, Outcome::kRefused, cause, ExecutionStatus::kNotExecuted,
                 retry_after);
  }
}

void Node::PlaceAll() {
  while (const std::optional<Placement> placement =
             this->local_scheduler.PlaceNext(this->now)) {
    this->StartPlaced(*placement);
  }
}

void Node::BeginAttempt(Request& request, BackendIndex index) {
  const Backend& backend = this->local_scheduler.backend(index).backend();
  request.phase = Phase::kRunning;
  request.attempt = this->next_attempt++;
  request.backend = index;
  request.placed = this->now;
  request.last_progress = this->now;
  request.last_report_time = this->now;
  request.reported_tokens = 0;
  request.tokens = 0;
  ++this->running_requests;
  if (++request.attempts == 1) {
    this->retry_budget.Deposit();
  }
  this->actions.emplace_back(SendAttempt{.id = request.placement.id,
                                         .attempt = request.attempt,
                                         .backend = backend.name,
                                         .address = backend.address,
                                         .priority = request.tier});
}

PlacementDecision Node::Describe(const Placement& placement,
                                 const std::string& customer,
                                 const std::string& class_name) const {
  PlacementDecision decision{
      .placement = placement,
      .customer = customer,
      .class_name = class_name,
      .backend =
          this->local_scheduler.backend(placement.backend).backend().name,
      .skipped = {},
      .requested_by = {}};
  for (const SkippedCandidate& other : placement.skipped) {
    decision.skipped.push_back(
        this->local_scheduler.backend(other.backend).backend().name + ":" +
        std::string(ToString(other.cause)));
  }
  return decision;
}

void Node::StartPlaced(const Placement& placement) {
  if (RemoteRequestTable::IsRemote(placement.id)) {
    this->GrantRemote(placement);
    return;
  }
  Request& request = this->requests.at(placement.id);
  PlacementDecision decision = this->Describe(
      placement, request.placement.customer, request.placement.class_name);
  decision.wait_time = this->now - request.arrival;
  decision.attempt = this->next_attempt;
  this->actions.emplace_back(std::move(decision));
  this->BeginAttempt(request, placement.backend);
}

Node::Request* Node::FindAttempt(RequestId id, AttemptId attempt) {
  const auto found = this->requests.find(id);
  if (found == this->requests.end() || found->second.phase != Phase::kRunning ||
      found->second.attempt != attempt) {
    return nullptr;
  }
  return &found->second;
}

void Node::On(const AttemptProgress& event) {
  Request* request = this->FindAttempt(event.id, event.attempt);
  if (request == nullptr) {
    return;
  }
  if (request->tokens == 0 && event.tokens > 0) {
    request->first_token = this->now;
    request->last_report_time = this->now;
    request->reported_tokens = event.tokens;
  } else if (this->IsSelf(request->scheduler)) {
    this->local_scheduler.ObserveTokens(request->backend,
                                        event.tokens - request->tokens,
                                        this->now - request->last_progress);
  } else if (this->now - request->last_report_time >= kProgressReportPeriod) {
    this->SendMessage(
        request->scheduler,
        SlotProgress{.id = event.id,
                     .slot_request_id = request->slot_request_id,
                     .tokens = event.tokens - request->reported_tokens,
                     .elapsed = this->now - request->last_report_time});
    request->last_report_time = this->now;
    request->reported_tokens = event.tokens;
  }
  request->tokens = event.tokens;
  request->last_progress = this->now;
}

void Node::On(const AttemptEnded& event) {
  Request* request = this->FindAttempt(event.id, event.attempt);
  if (request == nullptr) {
    return;
  }
  --this->running_requests;
  request->phase = Phase::kQueuedLocally;
  request->tokens = event.tokens;
  if (event.result == AttemptResult::kCompleted) {
    request->sent = true;
    this->ReleaseSlot(*request, SlotEnd::kSuccess);
    this->Finish(event.id, Outcome::kCompleted, EndCause::kAnswered,
                 ExecutionStatus::kExecuted);
    return;
  }
  const bool is_neutral = event.result == AttemptResult::kAnsweredError ||
                          event.result == AttemptResult::kAbandoned ||
                          event.result == AttemptResult::kNotExecuted;
  this->ReleaseSlot(*request,
                    is_neutral ? SlotEnd::kNeutral : SlotEnd::kFailure);
  if (event.result == AttemptResult::kAbandoned) {
    this->Finish(event.id, Outcome::kCancelled, EndCause::kCallerLeft,
                 ExecutionStatus::kUnknown);
    return;
  }
  this->HandleFailedAttempt(*request, event);
}

bool Node::MayRetry(const Request& request, const AttemptEnded& event) {
  if (event.forwarded || request.attempts >= kMaxAttempts ||
      event.result == AttemptResult::kAnsweredError) {
    return false;
  }
  if (!request.repeatable && !IsCertainlyNotExecuted(event.result)) {
    return false;
  }
  return this->retry_budget.TryWithdraw();
}

void Node::HandleFailedAttempt(Request& request, const AttemptEnded& event) {
  const bool not_executed = IsCertainlyNotExecuted(event.result);
  request.sent = request.sent || !not_executed;
  if (this->MayRetry(request, event)) {
    this->Requeue(request);
    return;
  }
  const EndCause cause = CauseOf(event.result);
  if (!request.sent) {
    this->Finish(event.id, Outcome::kRefused, cause,
                 ExecutionStatus::kNotExecuted, std::chrono::seconds(1));
  } else if (!request.repeatable &&
             event.result != AttemptResult::kAnsweredError) {
    this->Finish(event.id, Outcome::kUnknown, cause, ExecutionStatus::kUnknown);
  } else {
    this->Finish(event.id, Outcome::kFailed, cause, ExecutionStatus::kExecuted);
  }
}

void Node::Requeue(Request& request) {
  ++this->counter_values.retries;
  request.wasted_tokens += request.tokens;
  request.tokens = 0;
  request.tried.push_back(request.backend);
  this->Enqueue(request);
}

void Node::On(const CallerDisconnected& event) {
  const auto found = this->requests.find(event.id);
  if (found == this->requests.end()) {
    return;
  }
  Request& request = found->second;
  this->Withdraw(request);
  this->Finish(
      event.id, Outcome::kCancelled, EndCause::kCallerLeft,
      request.sent ? ExecutionStatus::kUnknown : ExecutionStatus::kNotExecuted);
}

void Node::Withdraw(Request& request) {
  const RequestId id = request.arrived.id;
  if (request.phase == Phase::kRunning) {
    this->actions.emplace_back(
        CancelAttempt{.id = id, .attempt = request.attempt});
    this->ReleaseSlot(request, SlotEnd::kNeutral);
    --this->running_requests;
    request.phase = Phase::kQueuedLocally;
    request.sent = true;
  } else if (request.phase == Phase::kQueuedRemotely) {
    this->SendMessage(
        request.scheduler,
        SlotRequestWithdrawn{.id = id,
                             .slot_request_id = request.slot_request_id});
  } else {
    this->local_scheduler.Remove(id);
  }
}

void Node::On(const LoadReported& event) {
  this->local_scheduler.ApplyLoadReport(event.backend, event.taken_at,
                                        event.running, this->now);
}

void Node::On(const ResourcesChanged& event) {
  if (this->active_resources &&
      event.resources->revision < this->active_resources->revision) {
    return;
  }
  this->active_resources = event.resources;
  this->retry_budget.set_ratio(event.resources->limits.retry_ratio);
  this->customers.clear();
  for (const Customer& customer : event.resources->customers) {
    this->customers[customer.name] = &customer;
  }
  this->local_scheduler.SetResources(*event.resources, this->now);
  this->RerouteAll();
}

void Node::On(const DrainStarted& /*event*/) {
  this->is_draining = true;
  this->assignment.set_draining();
  this->RerouteAll();
}

void Node::On(const DrainTimedOut& /*event*/) {
  while (!this->requests.empty()) {
    const RequestId id = this->requests.begin()->first;
    Request& request = this->requests.begin()->second;
    this->Withdraw(request);
    if (request.sent) {
      this->Finish(id, Outcome::kUnknown, EndCause::kDraining,
                   ExecutionStatus::kUnknown);
    } else {
      this->Finish(id, Outcome::kRefused, EndCause::kDraining,
                   ExecutionStatus::kNotExecuted, std::chrono::seconds(1));
    }
  }
}

void Node::On(const Tick& /*event*/) {
  this->local_scheduler.Tick(this->now);
  for (const DroppedRequest& dropped :
       this->local_scheduler.Expire(this->now)) {
    this->HandleDropped(dropped);
  }
}

bool Node::MetTarget(const Request& request) const {
  const LatencyTarget& target = request.target;
  if (target.whole && this->now - request.arrival > *target.whole) {
    return false;
  }
  const bool streamed = request.first_token != TimePoint{};
  if (streamed && target.first_token &&
      request.first_token - request.arrival > *target.first_token) {
    return false;
  }
  // For a response without tokens, its end counts as the first token.
  if (!streamed && target.first_token &&
      this->now - request.arrival > *target.first_token) {
    return false;
  }
  if (streamed && target.between_tokens && request.tokens > 1) {
    const Duration mean =
        (this->now - request.first_token) / (request.tokens - 1);
    return mean <= *target.between_tokens;
  }
  return true;
}

void Node::CountOutcome(Outcome outcome) {
  switch (outcome) {
    case Outcome::kCompleted:
      ++this->counter_values.completed;
      return;
    case Outcome::kRefused:
      ++this->counter_values.refused;
      return;
    case Outcome::kFailed:
      ++this->counter_values.failed;
      return;
    case Outcome::kCancelled:
      ++this->counter_values.cancelled;
      return;
    case Outcome::kUnknown:
      ++this->counter_values.unknown;
      return;
  }
}

void Node::Finish(RequestId id, Outcome outcome, EndCause cause,
                  ExecutionStatus execution, Duration retry_after) {
  const auto found = this->requests.find(id);
  Request& request = found->second;
  const auto release = [](auto& counts, const std::string& name) {
    const auto count = counts.find(name);
    if (count != counts.end() && --count->second == 0) {
      counts.erase(count);
    }
  };
  if (request.counted_in_flight) {
    release(this->in_flight_by_customer, request.arrived.customer);
    release(this->in_flight_by_class, request.arrived.class_name);
  }
  const bool completed = outcome == Outcome::kCompleted;
  if (!completed) {
    request.wasted_tokens += request.tokens;
  }
  this->counter_values.wasted_tokens +=
      static_cast<std::uint64_t>(request.wasted_tokens);
  this->CountOutcome(outcome);
  const TimePoint started = request.attempts > 0 ? request.placed : this->now;
  FinishRequest finish{.id = id,
                       .outcome = outcome,
                       .cause = cause,
                       .execution = execution,
                       .retry_after = retry_after,
                       .customer = request.arrived.customer,
                       .class_name = request.arrived.class_name,
                       .tier = request.tier,
                       .on_target = completed && this->MetTarget(request),
                       .wait_time = started - request.arrival,
                       .total_time = this->now - request.arrival,
                       .tokens = request.tokens,
                       .wasted_tokens = request.wasted_tokens,
                       .attempts = request.attempts};
  if (request.first_token != TimePoint{}) {
    finish.time_to_first_token = request.first_token - request.arrival;
  }
  this->requests.erase(found);
  this->actions.emplace_back(std::move(finish));
}

}  // namespace rosemarycove
