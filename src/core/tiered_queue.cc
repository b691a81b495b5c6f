#include "core/tiered_queue.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// A class serves one late request after this many others of it.
constexpr int kOthersPerLateRequest = 8;
// Minimum number of queue positions that are reserved for each class; a
// guaranteed share reserves that fraction of `max_waiting` if it is more.
constexpr std::size_t kMinReservedPlaces = 1;
// Maximum lead of a customer's virtual clock.
constexpr Duration kMaxFlowLead = std::chrono::seconds(30);

}  // namespace

std::size_t TieredQueue::ClassQueue::size() const {
  return this->on_time.size() + this->late.size();
}

bool TieredQueue::ClassQueue::IsLateNext() const {
  if (this->late.empty()) {
    return false;
  }
  return this->on_time.empty() ||
         this->dequeued_since_late >= kOthersPerLateRequest;
}

TieredQueue::OrderKey TieredQueue::ClassQueue::Next() const {
  return this->IsLateNext() ? *this->late.begin() : *this->on_time.begin();
}

void TieredQueue::SetClasses(const std::vector<RequestClass>& classes,
                             int max_waiting) {
  this->shared_capacity = static_cast<std::size_t>(max_waiting);
  std::vector<ClassQueue> old = std::move(this->queues);
  std::vector<ClassQueue> next;
  for (const RequestClass& definition : classes) {
    ClassQueue queue;
    if (const auto known = this->queue_by_class.find(definition.name);
        known != this->queue_by_class.end()) {
      queue = std::move(old[known->second]);
      old[known->second].definition.name.clear();
    }
    queue.definition = definition;
    queue.reserved = std::max(
        kMinReservedPlaces,
        static_cast<std::size_t>(definition.guaranteed_share * max_waiting));
    next.push_back(std::move(queue));
  }
  for (ClassQueue& removed : old) {
    if (!removed.definition.name.empty() && removed.size() > 0) {
      next.push_back(std::move(removed));
    }
  }
  std::stable_sort(next.begin(), next.end(), [](const auto& a, const auto& b) {
    return a.definition.tier < b.definition.tier;
  });
  this->queues = std::move(next);
  this->queue_by_class.clear();
  for (std::size_t i = 0; i < this->queues.size(); ++i) {
    this->queue_by_class[this->queues[i].definition.name] = i;
  }
  for (auto& [id, request] : this->requests) {
    request.queue_index = this->queue_by_class.at(request.entry.class_name);
  }
}

void TieredQueue::SetRate(double tokens_per_second) {
  this->tokens_per_second = std::max(1.0, tokens_per_second);
}

std::size_t TieredQueue::SharedWaiting() const {
  std::size_t count = 0;
  for (const ClassQueue& queue : this->queues) {
    count += queue.size() - std::min(queue.size(), queue.reserved);
  }
  return count;
}

std::optional<RequestId> TieredQueue::FindVictim(int tier) const {
  for (auto queue = this->queues.rbegin(); queue != this->queues.rend();
       ++queue) {
    if (queue->definition.tier <= tier) {
      return std::nullopt;
    }
    if (queue->size() > queue->reserved) {
      return queue->late.empty() ? queue->on_time.rbegin()->second
                                 : queue->late.rbegin()->second;
    }
  }
  return std::nullopt;
}

TimePoint TieredQueue::AdvanceFlow(const QueueEntry& entry, TimePoint now) {
  Flow& flow = this->flows[entry.customer];
  if (flow.waiting == 0) {
    flow.virtual_time = now;
  }
  const Duration ahead =
      flow.virtual_time > now ? flow.virtual_time - now : Duration{};
  const double flow_rate = this->tokens_per_second * entry.customer_weight /
                           static_cast<double>(this->flows.size());
  flow.virtual_time = std::min(
      std::max(flow.virtual_time, now) + FromSeconds(entry.cost / flow_rate),
      now + kMaxFlowLead);
  ++flow.waiting;
  return entry.latest_start + ahead;
}

TimePoint TieredQueue::ExpiryOf(const QueuedRequest& request) const {
  const RequestClass& definition = this->queues[request.queue_index].definition;
  const TimePoint max_wait_end = request.entry.arrival + definition.max_wait;
  return request.is_late ? max_wait_end
                         : std::min(max_wait_end, request.entry.latest_start);
}

EnqueueResult TieredQueue::Enqueue(const QueueEntry& entry, TimePoint now) {
  const std::size_t index = this->queue_by_class.at(entry.class_name);
  ClassQueue& queue = this->queues[index];
  EnqueueResult result;
  if (queue.size() >= queue.reserved &&
      this->SharedWaiting() >= this->shared_capacity) {
    const std::optional<RequestId> victim =
        this->FindVictim(queue.definition.tier);
    if (!victim) {
      return result;
    }
    this->Erase(*victim);
    result.evicted =
        DroppedRequest{.id = *victim, .cause = DropCause::kEvicted};
  }
  QueuedRequest request{
      .entry = entry, .queue_index = index, .key = {}, .expiry = {}};
  request.key = {this->AdvanceFlow(entry, now), entry.id};
  request.expiry = this->ExpiryOf(request);
  queue.on_time.insert(request.key);
  queue.cost += entry.cost;
  this->expiries.emplace(request.expiry, entry.id);
  this->requests.emplace(entry.id, std::move(request));
  result.added = true;
  return result;
}

TieredQueue::QueuedRequest TieredQueue::Erase(RequestId id) {
  const auto found = this->requests.find(id);
  QueuedRequest request = std::move(found->second);
  this->requests.erase(found);
  ClassQueue& queue = this->queues[request.queue_index];
  (request.is_late ? queue.late : queue.on_time).erase(request.key);
  queue.cost -= request.entry.cost;
  if (queue.size() == 0) {
    queue.credit = 0;
    queue.cost = 0;
  }
  this->expiries.erase({request.expiry, id});
  const auto flow = this->flows.find(request.entry.customer);
  if (--flow->second.waiting == 0) {
    this->flows.erase(flow);
  }
  return request;
}

std::vector<DroppedRequest> TieredQueue::Expire(TimePoint now) {
  std::vector<DroppedRequest> dropped;
  while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
    const RequestId id = this->expiries.begin()->second;
    QueuedRequest& request = this->requests.at(id);
    ClassQueue& queue = this->queues[request.queue_index];
    const bool max_wait_reached =
        request.entry.arrival + queue.definition.max_wait <= now;
    if (max_wait_reached ||
        queue.definition.late_policy == LatePolicy::kRefuse) {
      dropped.push_back(
          {.id = id,
           .cause = max_wait_reached ? DropCause::kMaxWait : DropCause::kLate});
      this->Erase(id);
      continue;
    }
    queue.on_time.erase(request.key);
    this->expiries.erase({request.expiry, id});
    request.is_late = true;
    request.key = {request.entry.arrival, id};
    request.expiry = this->ExpiryOf(request);
    queue.late.insert(request.key);
    this->expiries.emplace(request.expiry, id);
  }
  return dropped;
}

std::optional<NextRequest> TieredQueue::NextByShare() const {
  std::size_t waiting_above = 0;
  int tier = 0;
  std::size_t waiting_in_tier = 0;
  for (const ClassQueue& queue : this->queues) {
    if (queue.definition.tier != tier) {
      waiting_above += waiting_in_tier;
      waiting_in_tier = 0;
      tier = queue.definition.tier;
    }
    waiting_in_tier += queue.size();
    if (queue.size() == 0 || waiting_above == 0) {
      continue;
    }
    const RequestId id = queue.Next().second;
    if (queue.credit >= this->requests.at(id).entry.cost) {
      return NextRequest{.id = id,
                         .dequeue_reason = DequeueReason::kGuaranteedShare,
                         .tier = tier,
                         .is_late = this->requests.at(id).is_late};
    }
  }
  return std::nullopt;
}

std::optional<NextRequest> TieredQueue::NextByTier() const {
  std::optional<NextRequest> best;
  OrderKey best_key;
  for (const ClassQueue& queue : this->queues) {
    if (queue.size() == 0) {
      continue;
    }
    if (best && best->tier != queue.definition.tier) {
      break;
    }
    const OrderKey key = queue.Next();
    const bool late = this->requests.at(key.second).is_late;
    const bool yields =
        late && queue.dequeued_since_late < kOthersPerLateRequest;
    // Within the tier, requests of any class that are on time precede late
    // ones. During the search, `best->is_late` says whether `best` yields to
    // requests on time; afterwards it is set to its meaning.
    const bool goes_first =
        !best || (best->is_late != yields ? best->is_late : key < best_key);
    if (goes_first) {
      best = NextRequest{.id = key.second,
                         .dequeue_reason = DequeueReason::kTier,
                         .tier = queue.definition.tier,
                         .is_late = yields};
      best_key = key;
    }
  }
  if (best) {
    best->is_late = this->requests.at(best->id).is_late;
  }
  return best;
}

std::optional<NextRequest> TieredQueue::Next(bool by_share) const {
  if (by_share) {
    if (const std::optional<NextRequest> next = this->NextByShare()) {
      return next;
    }
  }
  return this->NextByTier();
}

void TieredQueue::AddCredit(double cost) {
  for (ClassQueue& queue : this->queues) {
    if (queue.size() == 0) {
      continue;
    }
    const double next_cost = this->requests.at(queue.Next().second).entry.cost;
    queue.credit = std::min(
        queue.credit + queue.definition.guaranteed_share * cost, 2 * next_cost);
  }
}

void TieredQueue::Dequeue(const NextRequest& next) {
  const QueuedRequest& request = this->requests.at(next.id);
  const std::size_t index = request.queue_index;
  const double cost = request.entry.cost;
  const bool late = request.is_late;
  this->AddCredit(cost);
  this->Erase(next.id);
  ClassQueue& queue = this->queues[index];
  queue.credit = std::max(0.0, queue.credit - cost);
  queue.dequeued_since_late = late ? 0 : queue.dequeued_since_late + 1;
}

bool TieredQueue::Remove(RequestId id) {
  if (!this->requests.contains(id)) {
    return false;
  }
  this->Erase(id);
  return true;
}

std::size_t TieredQueue::WaitingAbove(int tier) const {
  std::size_t count = 0;
  for (const ClassQueue& queue : this->queues) {
    if (queue.definition.tier < tier) {
      count += queue.size();
    }
  }
  return count;
}

double TieredQueue::WaitingCost(int tier) const {
  double cost = 0;
  for (const ClassQueue& queue : this->queues) {
    if (queue.definition.tier <= tier) {
      cost += queue.cost;
    }
  }
  return cost;
}

}  // namespace rosemarycove
