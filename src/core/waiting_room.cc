#include "core/waiting_room.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// A class serves one late request after this many others.
constexpr int kOthersPerLate = 8;
// Part of the waiting places that is kept for a class, beside its share.
constexpr std::size_t kMinReserved = 1;
// A customer's clock runs ahead by no more than this.
constexpr Duration kMaxAhead = std::chrono::seconds(30);

}  // namespace

std::size_t WaitingRoom::ClassQueue::size() const {
  return this->on_time.size() + this->late.size();
}

bool WaitingRoom::ClassQueue::LateTurn() const {
  if (this->late.empty()) {
    return false;
  }
  return this->on_time.empty() || this->since_late >= kOthersPerLate;
}

WaitingRoom::OrderKey WaitingRoom::ClassQueue::Head() const {
  return this->LateTurn() ? *this->late.begin() : *this->on_time.begin();
}

void WaitingRoom::SetClasses(const std::vector<RequestClass>& classes,
                             int max_waiting) {
  this->shared_places = static_cast<std::size_t>(max_waiting);
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
        kMinReserved,
        static_cast<std::size_t>(definition.guaranteed_share * max_waiting));
    next.push_back(std::move(queue));
  }
  for (ClassQueue& gone : old) {
    if (!gone.definition.name.empty() && gone.size() > 0) {
      next.push_back(std::move(gone));
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
  for (auto& [id, slot] : this->slots) {
    slot.queue = this->queue_by_class.at(slot.entry.class_name);
  }
}

void WaitingRoom::SetRate(double tokens_per_second) {
  this->tokens_per_second = std::max(1.0, tokens_per_second);
}

std::size_t WaitingRoom::SharedWaiting() const {
  std::size_t count = 0;
  for (const ClassQueue& queue : this->queues) {
    count += queue.size() - std::min(queue.size(), queue.reserved);
  }
  return count;
}

std::optional<RequestId> WaitingRoom::Victim(int tier) const {
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

TimePoint WaitingRoom::AdvanceFlow(const WaitingEntry& entry, TimePoint now) {
  Flow& flow = this->flows[entry.customer];
  if (flow.waiting == 0) {
    flow.clock = now;
  }
  const Duration ahead = flow.clock > now ? flow.clock - now : Duration{};
  const double flow_rate = this->tokens_per_second * entry.customer_weight /
                           static_cast<double>(this->flows.size());
  flow.clock =
      std::min(std::max(flow.clock, now) + FromSeconds(entry.cost / flow_rate),
               now + kMaxAhead);
  ++flow.waiting;
  return entry.latest_start + ahead;
}

TimePoint WaitingRoom::GiveUpAt(const Slot& slot) const {
  const RequestClass& definition = this->queues[slot.queue].definition;
  const TimePoint longest = slot.entry.arrival + definition.max_wait;
  return slot.late ? longest : std::min(longest, slot.entry.latest_start);
}

AddResult WaitingRoom::Add(const WaitingEntry& entry, TimePoint now) {
  const std::size_t index = this->queue_by_class.at(entry.class_name);
  ClassQueue& queue = this->queues[index];
  AddResult result;
  if (queue.size() >= queue.reserved &&
      this->SharedWaiting() >= this->shared_places) {
    const std::optional<RequestId> victim = this->Victim(queue.definition.tier);
    if (!victim) {
      return result;
    }
    this->Erase(*victim);
    result.evicted =
        Dismissal{.id = *victim, .cause = Dismissal::Cause::kEvicted};
  }
  Slot slot{.entry = entry, .queue = index, .key = {}, .expiry = {}};
  slot.key = {this->AdvanceFlow(entry, now), entry.id};
  slot.expiry = this->GiveUpAt(slot);
  queue.on_time.insert(slot.key);
  queue.cost += entry.cost;
  this->expiries.emplace(slot.expiry, entry.id);
  this->slots.emplace(entry.id, std::move(slot));
  result.added = true;
  return result;
}

WaitingRoom::Slot WaitingRoom::Erase(RequestId id) {
  const auto found = this->slots.find(id);
  Slot slot = std::move(found->second);
  this->slots.erase(found);
  ClassQueue& queue = this->queues[slot.queue];
  (slot.late ? queue.late : queue.on_time).erase(slot.key);
  queue.cost -= slot.entry.cost;
  if (queue.size() == 0) {
    queue.credit = 0;
    queue.cost = 0;
  }
  this->expiries.erase({slot.expiry, id});
  const auto flow = this->flows.find(slot.entry.customer);
  if (--flow->second.waiting == 0) {
    this->flows.erase(flow);
  }
  return slot;
}

std::vector<Dismissal> WaitingRoom::Expire(TimePoint now) {
  std::vector<Dismissal> dismissals;
  while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
    const RequestId id = this->expiries.begin()->second;
    Slot& slot = this->slots.at(id);
    ClassQueue& queue = this->queues[slot.queue];
    const bool waited_out =
        slot.entry.arrival + queue.definition.max_wait <= now;
    if (waited_out || queue.definition.when_late == WhenLate::kRefuse) {
      dismissals.push_back({.id = id,
                            .cause = waited_out ? Dismissal::Cause::kMaxWait
                                                : Dismissal::Cause::kLate});
      this->Erase(id);
      continue;
    }
    queue.on_time.erase(slot.key);
    this->expiries.erase({slot.expiry, id});
    slot.late = true;
    slot.key = {slot.entry.arrival, id};
    slot.expiry = this->GiveUpAt(slot);
    queue.late.insert(slot.key);
    this->expiries.emplace(slot.expiry, id);
  }
  return dismissals;
}

std::optional<NextRequest> WaitingRoom::NextByShare() const {
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
    const RequestId id = queue.Head().second;
    if (queue.credit >= this->slots.at(id).entry.cost) {
      return NextRequest{.id = id,
                         .dequeue_reason = DequeueReason::kGuaranteedShare,
                         .tier = tier,
                         .late = this->slots.at(id).late};
    }
  }
  return std::nullopt;
}

std::optional<NextRequest> WaitingRoom::NextByTier() const {
  std::optional<NextRequest> best;
  OrderKey best_key;
  for (const ClassQueue& queue : this->queues) {
    if (queue.size() == 0) {
      continue;
    }
    if (best && best->tier != queue.definition.tier) {
      break;
    }
    const OrderKey key = queue.Head();
    const bool late = this->slots.at(key.second).late;
    const bool yields = late && queue.since_late < kOthersPerLate;
    // Within the tier a late request yields to any class's on-time one.
    const bool before =
        !best || (best->late != yields ? best->late : key < best_key);
    if (before) {
      best = NextRequest{.id = key.second,
                         .dequeue_reason = DequeueReason::kTier,
                         .tier = queue.definition.tier,
                         .late = yields};
      best_key = key;
    }
  }
  if (best) {
    best->late = this->slots.at(best->id).late;
  }
  return best;
}

std::optional<NextRequest> WaitingRoom::Next(bool by_share) const {
  if (by_share) {
    if (const std::optional<NextRequest> next = this->NextByShare()) {
      return next;
    }
  }
  return this->NextByTier();
}

void WaitingRoom::AddCredit(double cost) {
  for (ClassQueue& queue : this->queues) {
    if (queue.size() == 0) {
      continue;
    }
    const double head = this->slots.at(queue.Head().second).entry.cost;
    queue.credit = std::min(
        queue.credit + queue.definition.guaranteed_share * cost, 2 * head);
  }
}

void WaitingRoom::Take(const NextRequest& next) {
  const Slot& slot = this->slots.at(next.id);
  const std::size_t index = slot.queue;
  const double cost = slot.entry.cost;
  const bool late = slot.late;
  this->AddCredit(cost);
  this->Erase(next.id);
  ClassQueue& queue = this->queues[index];
  queue.credit = std::max(0.0, queue.credit - cost);
  queue.since_late = late ? 0 : queue.since_late + 1;
}

bool WaitingRoom::Remove(RequestId id) {
  if (!this->slots.contains(id)) {
    return false;
  }
  this->Erase(id);
  return true;
}

std::size_t WaitingRoom::WaitingAbove(int tier) const {
  std::size_t count = 0;
  for (const ClassQueue& queue : this->queues) {
    if (queue.definition.tier < tier) {
      count += queue.size();
    }
  }
  return count;
}

double WaitingRoom::WaitingCost(int tier) const {
  double cost = 0;
  for (const ClassQueue& queue : this->queues) {
    if (queue.definition.tier <= tier) {
      cost += queue.cost;
    }
  }
  return cost;
}

}  // namespace rosemarycove
