#include "app/node_host.h"

#include <chrono>
#include <utility>
#include <variant>

#include "app/event_fields.h"
#include "net/clock.h"

namespace rosemarycove {
namespace {

constexpr auto kTickPeriod = std::chrono::milliseconds(20);
constexpr std::size_t kMaxClaimThreads = 8;

}  // namespace

NodeHost::NodeHost(NodeHostOptions options, EventLog& log, Metrics& metrics,
                   ClaimStore& claims)
    : options(std::move(options)),
      log(log),
      metrics(metrics),
      claims(claims),
      clients(this->options.clients),
      runner(this->clients, *this, this->options.process_name),
      node(NodeOptions{.instance = this->options.instance,
                       .data_centre = this->options.data_centre}),
      attempt_threads(this->options.max_attempts),
      claim_threads(kMaxClaimThreads),
      ticker([this] { this->RunTicks(); }) {}

NodeHost::~NodeHost() {
  this->stopping = true;
  this->ticker.join();
  this->attempt_threads.Shutdown();
  this->claim_threads.Shutdown();
}

void NodeHost::RunTicks() {
  while (!this->stopping) {
    std::this_thread::sleep_for(kTickPeriod);
    this->Post(Tick{});
  }
}

void NodeHost::set_peer_sender(PeerSender sender) {
  const std::lock_guard lock(this->mutex);
  this->peer_sender = std::move(sender);
}

void NodeHost::Post(const Event& event) {
  const std::lock_guard lock(this->mutex);
  this->HandleLocked(event);
}

void NodeHost::HandleLocked(const Event& event) {
  if (const auto* changed = std::get_if<ResourcesChanged>(&event)) {
    if (!this->node.resources()) {
      this->log.Write(LogEvent::kReady,
                      {{"revision", changed->resources->revision}});
    }
    this->customer_by_key_hash.clear();
    for (const Customer& customer : changed->resources->customers) {
      this->customer_by_key_hash[customer.key_hash] = customer.name;
    }
  }
  const TimePoint now = MonotonicNow();
  for (const Action& action : this->node.Handle(now, event)) {
    std::visit([this](const auto& item) { this->Execute(item); }, action);
  }
}

void NodeHost::Submit(RequestArrived arrived,
                      const std::shared_ptr<PendingRequest>& pending) {
  const std::lock_guard lock(this->mutex);
  this->pending_requests[arrived.id] = pending;
  this->HandleLocked(std::move(arrived));
}

void NodeHost::OnCallerDisconnected(RequestId id) {
  this->Post(CallerDisconnected{.id = id});
}

void NodeHost::OnProgress(const AttemptProgress& progress) {
  this->Post(progress);
}

void NodeHost::OnEnded(const AttemptEnded& ended) {
  if (ended.result != AttemptResult::kCompleted) {
    this->log.Write(LogEvent::kAttemptBroken,
                    {{"request", ended.id},
                     {"attempt", ended.attempt},
                     {"result", ToString(ended.result)},
                     {"tokens", ended.tokens}});
  }
  this->Post(ended);
}

void NodeHost::Execute(const SendAttempt& action) {
  const auto found = this->pending_requests.find(action.id);
  if (found == this->pending_requests.end()) {
    return;
  }
  found->second->SetBackend(action.backend);
  this->attempt_threads.Run([this, pending = found->second, action] {
    this->runner.Run(*pending, action);
  });
}

void NodeHost::Execute(const CancelAttempt& action) {
  const auto found = this->pending_requests.find(action.id);
  if (found != this->pending_requests.end()) {
    found->second->CancelAttempt(action.attempt);
  }
}

void NodeHost::Execute(const ClaimKey& action) {
  this->claim_threads.Run([this, action] {
    const ClaimResult result = this->claims.Claim(
        {.customer = action.customer,
         .key = action.key,
         .fingerprint = action.fingerprint,
         .owner = UpstreamId(this->options.process_name, action.id)});
    this->Post(ClaimAnswered{.id = action.id, .result = result});
  });
}

void NodeHost::Execute(const FinishRequest& action) {
  this->metrics.Observe(action, MonotonicNow());
  this->log.Write(LogEvent::kRequestEnded, ToLogFields(action));
  const auto found = this->pending_requests.find(action.id);
  if (found != this->pending_requests.end()) {
    found->second->Finish(action);
    this->pending_requests.erase(found);
  }
}

void NodeHost::Execute(const PlacementDecision& action) {
  this->log.Write(LogEvent::kPlaced, ToLogFields(action));
}

void NodeHost::Execute(const SlotAccepted& action) {
  this->log.Write(LogEvent::kSlotTaken,
                  {{"request", action.id},
                   {"attempt", action.attempt},
                   {"scheduler", action.scheduler},
                   {"backend", action.backend},
                   {"waited_ms", ToSeconds(action.wait_time) * 1000}});
}

void NodeHost::Execute(const SendToPeer& action) {
  if (this->peer_sender) {
    this->peer_sender(action.peer, action.message);
  }
}

std::shared_ptr<const ResourceSet> NodeHost::resources() const {
  const std::lock_guard lock(this->mutex);
  return this->node.resources();
}

std::optional<std::string> NodeHost::FindCustomerByKeyHash(
    const std::string& hash) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->customer_by_key_hash.find(hash);
  if (found == this->customer_by_key_hash.end()) {
    return std::nullopt;
  }
  return found->second;
}

void NodeHost::Inspect(const std::function<void(const Node&)>& inspect) const {
  const std::lock_guard lock(this->mutex);
  inspect(this->node);
}

bool NodeHost::ready() const {
  const std::lock_guard lock(this->mutex);
  return this->node.IsReady();
}

bool NodeHost::draining() const {
  const std::lock_guard lock(this->mutex);
  return this->node.IsDraining();
}

std::size_t NodeHost::open_requests() const {
  const std::lock_guard lock(this->mutex);
  return this->pending_requests.size();
}

}  // namespace rosemarycove
