// The part of Node that shares the backend servers with other instances.
#include <utility>

#include "core/node.h"

namespace rosemarycove {

void Node::ReleaseSlot(Request& request, SlotEnd end) {
  if (!this->IsSelf(request.scheduler)) {
    this->SendMessage(request.scheduler,
                      SlotReleased{.id = request.placement.id,
                                   .slot_request_id = request.slot_request_id,
                                   .end = end,
                                   .tokens = request.tokens});
    return;
  }
  switch (end) {
    case SlotEnd::kSuccess:
      this->local_scheduler.ReleaseAfterSuccess(
          request.backend, request.placement.class_name,
          request.placement.customer, request.tokens, this->now);
      return;
    case SlotEnd::kFailure:
      this->local_scheduler.ReleaseAfterFailure(request.backend, this->now);
      return;
    case SlotEnd::kNeutral:
      this->local_scheduler.Release(request.backend, this->now);
      return;
  }
}

void Node::On(const PeerUp& event) {
  this->assignment.AddPeer(event.peer);
  this->RerouteAll();
}

void Node::On(const PeerDraining& event) {
  this->assignment.RemovePeer(event.peer);
  this->RerouteAll();
}

void Node::On(const PeerDown& event) {
  this->assignment.RemovePeer(event.peer);
  for (const RequestId local_id :
       this->remote_requests.LocalIdsOfPeer(event.peer)) {
    this->DropRemote(local_id);
  }
  this->RerouteAll();
}

void Node::On(const PeerMessageReceived& event) {
  if (!this->active_resources) {
    return;
  }
  std::visit([&](const auto& message) { this->OnMessage(event.peer, message); },
             event.message);
}

std::vector<Backend> Node::ScheduledBackends() const {
  std::vector<Backend> scheduled;
  if (!this->active_resources) {
    return scheduled;
  }
  for (const Service& service : this->active_resources->services) {
    std::vector<std::string> models = service.models;
    if (service.kind == ServiceKind::kPlain) {
      models = {""};
    }
    for (const std::string& model : models) {
      const std::uint32_t groups =
          this->local_scheduler.GroupCount(service.name, model);
      for (std::uint32_t group = 0; group < groups; ++group) {
        if (!this->IsSelf(this->assignment.SchedulerOf(
                service.name + '/' + model, group))) {
          continue;
        }
        for (const BackendIndex index :
             this->local_scheduler.NearestMembers(service.name, model, group)) {
          scheduled.push_back(this->local_scheduler.backend(index).backend());
        }
      }
    }
  }
  return scheduled;
}

void Node::RerouteAll() {
  // Rerouting can end requests, so their ids are collected first.
  std::vector<RequestId> ids;
  for (const auto& [id, request] : this->requests) {
    ids.push_back(id);
  }
  for (const RequestId id : ids) {
    const auto found = this->requests.find(id);
    if (found != this->requests.end()) {
      this->Reroute(found->second);
    }
  }
}

void Node::Reroute(Request& request) {
  if (request.phase == Phase::kClaimingKey) {
    return;
  }
  const std::string next = this->SchedulerOf(request);
  // A change of the resources may have reduced the number of groups.
  const bool group_is_gone =
      request.placement.group >=
      this->local_scheduler.GroupCount(request.placement.service,
                                       request.placement.model);
  if (next == request.scheduler &&
      (!group_is_gone || request.phase == Phase::kRunning)) {
    return;
  }
  switch (request.phase) {
    case Phase::kClaimingKey:
      return;
    case Phase::kQueuedLocally:
      this->local_scheduler.Remove(request.placement.id);
      this->Enqueue(request);
      return;
    case Phase::kQueuedRemotely:
      this->SendMessage(
          request.scheduler,
          SlotRequestWithdrawn{.id = request.placement.id,
                               .slot_request_id = request.slot_request_id});
      this->Enqueue(request);
      return;
    case Phase::kRunning:
      this->ReleaseSlot(request, SlotEnd::kNeutral);
      request.scheduler = next;
      if (this->IsSelf(next)) {
        this->local_scheduler.AdoptRunning(request.backend, this->now);
      } else {
        request.slot_request_id = this->next_slot_request_id++;
        this->SendMessage(
            next,
            SlotHeld{.id = request.placement.id,
                     .slot_request_id = request.slot_request_id,
                     .backend = this->local_scheduler.backend(request.backend)
                                    .backend()
                                    .name,
                     .class_name = request.placement.class_name,
                     .customer = request.placement.customer});
      }
      return;
  }
}

void Node::OnMessage(const std::string& peer, const SlotRequest& message) {
  if (const auto earlier =
          this->remote_requests.FindLocalId(peer, message.id)) {
    this->DropRemote(*earlier);
  }
  const RequestClass* request_class =
      FindClass(*this->active_resources, message.class_name);
  if (request_class == nullptr ||
      !this->local_scheduler.HasPool(message.service, message.model)) {
    // The peer has a newer or older configuration than this instance.
    this->SendMessage(peer,
                      SlotRefused{.id = message.id,
                                  .slot_request_id = message.slot_request_id,
                                  .cause = EndCause::kNotReady,
                                  .retry_after = std::chrono::seconds(1)});
    return;
  }
  const std::uint32_t group =
      message.group %
      this->local_scheduler.GroupCount(message.service, message.model);
  const RequestId local_id =
      this->remote_requests.Add({.peer = peer,
                                 .id = message.id,
                                 .slot_request_id = message.slot_request_id,
                                 .class_name = message.class_name,
                                 .customer = message.customer,
                                 .service = message.service,
                                 .model = message.model,
                                 .group = group,
                                 .tier = request_class->tier,
                                 .arrival = this->now - message.wait_time});
  const EnqueueResult result =
      this->local_scheduler.Enqueue({.id = local_id,
                                     .class_name = message.class_name,
                                     .customer = message.customer,
                                     .service = message.service,
                                     .model = message.model,
                                     .group = group,
                                     .arrival = this->now - message.wait_time,
                                     .prompt_tokens = message.prompt_tokens,
                                     .max_tokens = message.max_tokens,
                                     .prefix_hash = message.prefix_hash},
                                    this->now);
  if (result.evicted) {
    this->HandleDropped(*result.evicted);
  }
  if (!result.added) {
    this->RefuseRemote(local_id, EndCause::kQueueFull);
    return;
  }
  for (const std::string& name : message.tried) {
    if (const auto backend = this->local_scheduler.Find(name)) {
      this->local_scheduler.MarkTried(local_id, *backend);
    }
  }
}

void Node::OnMessage(const std::string& peer,
                     const SlotRequestWithdrawn& message) {
  if (const auto local_id = this->remote_requests.FindLocalIdOfSlotRequest(
          peer, message.id, message.slot_request_id)) {
    this->DropRemote(*local_id);
  }
}

void Node::OnMessage(const std::string& peer, const SlotGranted& message) {
  const auto found = this->requests.find(message.id);
  const auto backend = this->local_scheduler.Find(message.backend);
  const bool awaited = found != this->requests.end() &&
                       found->second.phase == Phase::kQueuedRemotely &&
                       found->second.scheduler == peer &&
                       found->second.slot_request_id == message.slot_request_id;
  if (!awaited || !backend) {
    this->SendMessage(peer,
                      SlotReleased{.id = message.id,
                                   .slot_request_id = message.slot_request_id});
    if (awaited) {
      // This instance's configuration does not contain the server yet. The
      // request is queued again.
      this->Enqueue(found->second);
    }
    return;
  }
  this->actions.emplace_back(
      SlotAccepted{.id = message.id,
                   .attempt = this->next_attempt,
                   .scheduler = peer,
                   .backend = message.backend,
                   .wait_time = this->now - found->second.arrival});
  this->BeginAttempt(found->second, *backend);
}

void Node::OnMessage(const std::string& peer, const SlotRefused& message) {
  const auto found = this->requests.find(message.id);
  if (found == this->requests.end() ||
      found->second.phase != Phase::kQueuedRemotely ||
      found->second.scheduler != peer ||
      found->second.slot_request_id != message.slot_request_id) {
    return;
  }
  const bool sent = found->second.sent;
  this->Finish(
      message.id, sent ? Outcome::kFailed : Outcome::kRefused, message.cause,
      sent ? ExecutionStatus::kExecuted : ExecutionStatus::kNotExecuted,
      message.retry_after);
}

void Node::OnMessage(const std::string& peer, const SlotProgress& message) {
  const auto local_id = this->remote_requests.FindLocalIdOfSlotRequest(
      peer, message.id, message.slot_request_id);
  const RemoteRequest* request =
      local_id ? this->remote_requests.Find(*local_id) : nullptr;
  if (request != nullptr && request->backend) {
    this->local_scheduler.ObserveTokens(*request->backend, message.tokens,
                                        message.elapsed);
  }
}

void Node::OnMessage(const std::string& peer, const SlotReleased& message) {
  const auto local_id = this->remote_requests.FindLocalIdOfSlotRequest(
      peer, message.id, message.slot_request_id);
  RemoteRequest* request =
      local_id ? this->remote_requests.Find(*local_id) : nullptr;
  if (request == nullptr || !request->backend) {
    return;
  }
  switch (message.end) {
    case SlotEnd::kSuccess:
      this->local_scheduler.ReleaseAfterSuccess(
          *request->backend, request->class_name, request->customer,
          message.tokens, this->now);
      break;
    case SlotEnd::kFailure:
      this->local_scheduler.ReleaseAfterFailure(*request->backend, this->now);
      break;
    case SlotEnd::kNeutral:
      this->local_scheduler.Release(*request->backend, this->now);
      break;
  }
  this->remote_requests.Remove(*local_id);
}

void Node::OnMessage(const std::string& peer, const SlotHeld& message) {
  const auto backend = this->local_scheduler.Find(message.backend);
  if (!backend) {
    return;
  }
  if (const auto earlier =
          this->remote_requests.FindLocalId(peer, message.id)) {
    this->DropRemote(*earlier);
  }
  this->remote_requests.Add({.peer = peer,
                             .id = message.id,
                             .slot_request_id = message.slot_request_id,
                             .class_name = message.class_name,
                             .customer = message.customer,
                             .backend = *backend});
  this->local_scheduler.AdoptRunning(*backend, this->now);
}

void Node::DropRemote(RequestId local_id) {
  const RemoteRequest* request = this->remote_requests.Find(local_id);
  if (request->backend) {
    this->local_scheduler.Release(*request->backend, this->now);
  } else {
    this->local_scheduler.Remove(local_id);
  }
  this->remote_requests.Remove(local_id);
}

void Node::RefuseRemote(RequestId local_id, EndCause cause) {
  const RemoteRequest* request = this->remote_requests.Find(local_id);
  this->SendMessage(request->peer,
                    SlotRefused{.id = request->id,
                                .slot_request_id = request->slot_request_id,
                                .cause = cause,
                                .retry_after = this->local_scheduler.RetryAfter(
                                    request->service, request->model,
                                    request->group, request->tier)});
  this->remote_requests.Remove(local_id);
}

void Node::GrantRemote(const Placement& placement) {
  RemoteRequest* request = this->remote_requests.Find(placement.id);
  request->backend = placement.backend;
  PlacementDecision decision =
      this->Describe(placement, request->customer, request->class_name);
  decision.placement.id = request->id;
  decision.requested_by = request->peer;
  decision.wait_time = this->now - request->arrival;
  this->SendMessage(request->peer,
                    SlotGranted{.id = request->id,
                                .slot_request_id = request->slot_request_id,
                                .backend = decision.backend});
  this->actions.emplace_back(std::move(decision));
}

}  // namespace rosemarycove
