#include "core/scheduler.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rosemarycove {
namespace {

// Maximum number of servers considered for one placement, besides those tried
// before.
constexpr int kMaxCandidates = 4;
// A server with the prompt's prefix is preferred if its token time is at most
// this many times that of the best server.
constexpr double kMaxPrefixSlowdown = 1.2;
// Maximum number of prompt prefixes whose last server is recorded.
constexpr std::size_t kMaxPrefixes = 8192;
// Fraction of the target for the complete response that its generation may
// take.
constexpr double kGenerationFraction = 0.9;
// A target for the complete response does not lower the token time limit below
// this many times the base token time.
constexpr double kMinTokenTimeFactor = 1.5;
// Typical token time as a multiple of the base token time.
constexpr double kTypicalTokenTimeFactor = 3;
// A server is a straggler if its slowness exceeds this many times the pool's
// median.
constexpr double kStragglerFactor = 2;
// A trial succeeds at a slowness of up to this many times the pool's median.
constexpr double kRecoveryFactor = 1.5;
// Minimum number of periods with observed tokens before a server's speed is
// evaluated.
constexpr int kMinSpeedSamples = 4;
// Margin subtracted from token time limits at attainment weight 1, as a
// fraction.
constexpr double kMaxTokenTimeMargin = 0.1;
constexpr Duration kSpeedCheckPeriod = std::chrono::milliseconds(250);
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

}  // namespace

std::string_view ToString(PlacementReason reason) {
  switch (reason) {
    case PlacementReason::kLeastLoaded:
      return "least_loaded";
    case PlacementReason::kPrefixAffinity:
      return "prefix";
    case PlacementReason::kTrial:
      return "trial";
    case PlacementReason::kOtherDataCentre:
      return "other_data_centre";
  }
  return "invalid";
}

std::string_view ToString(SkipCause cause) {
  switch (cause) {
    case SkipCause::kSlowerThanTarget:
      return "slower_than_target";
    case SkipCause::kTriedBefore:
      return "tried_before";
    case SkipCause::kPrefixPreferred:
      return "more_loaded";
  }
  return "invalid";
}

std::string_view ToString(DequeueReason reason) {
  return reason == DequeueReason::kTier ? "tier" : "guaranteed_share";
}

Scheduler::Scheduler(std::string data_centre)
    : data_centre(std::move(data_centre)) {}

void Scheduler::SetResources(const ResourceSet& resources, TimePoint now) {
  this->classes.clear();
  for (const RequestClass& definition : resources.classes) {
    this->classes[definition.name] = definition;
  }
  this->customer_weights.clear();
  for (const Customer& customer : resources.customers) {
    this->customer_weights[customer.name] = customer.weight;
  }
  this->token_time_limit_factor =
      1 - kMaxTokenTimeMargin * resources.limits.attainment_weight;
  for (BackendEntry& entry : this->backends) {
    entry.is_removed = true;
  }
  for (const Backend& backend : resources.backends) {
    const auto [known, is_new] = this->backend_by_name.try_emplace(
        backend.name, static_cast<BackendIndex>(this->backends.size()));
    if (is_new) {
      this->backends.push_back({.state = BackendState(backend), .pools = {}});
    }
    BackendEntry& entry = this->entry(known->second);
    entry.state.UpdateDefinition(backend);
    entry.is_remote = backend.data_centre != this->data_centre;
    entry.is_removed = false;
  }
  this->RebuildPools(resources);
  this->Tick(now);
}

void Scheduler::UpdateOrder(BackendIndex index) {
  BackendEntry& entry = this->entry(index);
  for (const std::string& name : entry.pools) {
    this->pools.at(name).UpdateOrder(index, entry.is_remote, entry.state);
    this->changed_pools.insert(name);
  }
}

bool Scheduler::HasPool(const std::string& service,
                        const std::string& model) const {
  const auto pool = this->pools.find(GroupName(service, model, 0));
  return pool != this->pools.end() && !pool->second.members().empty();
}

QueueEntry Scheduler::MakeEntry(const PlacementRequest& request,
                                BackendPool& pool, TimePoint now) {
  const RequestClass& definition = this->classes.at(request.class_name);
  const LengthEstimate length = this->predictor.Estimate(
      request.class_name, request.customer, request.max_tokens);
  double base_token_time = 0;
  double prefill_time = 0;
  if (!request.model.empty() && !pool.members().empty()) {
    const Backend& backend =
        this->entry(pool.members().front()).state.backend();
    base_token_time = ToSeconds(backend.token_time_base);
    prefill_time = request.prompt_tokens / backend.prefill_rate;
  }
  double token_time_limit = std::numeric_limits<double>::infinity();
  if (definition.target.between_tokens) {
    token_time_limit = ToSeconds(*definition.target.between_tokens);
  }
  Duration slack = Duration::max();
  if (definition.target.whole) {
    const double total = ToSeconds(*definition.target.whole);
    const double allowed_token_time =
        std::max(kMinTokenTimeFactor * base_token_time,
                 kGenerationFraction * total / length.p95);
    token_time_limit = std::min(token_time_limit, allowed_token_time);
    slack = FromSeconds(
        total - prefill_time -
        length.mean * std::min(allowed_token_time,
                               kTypicalTokenTimeFactor * base_token_time));
  }
  if (definition.target.first_token) {
    slack = std::min(slack, *definition.target.first_token -
                                FromSeconds(prefill_time + base_token_time));
  }
  if (slack == Duration::max()) {
    slack = definition.max_wait;
  }
  if (!request.model.empty()) {
    pool.limits.Observe(request.class_name, definition.tier,
                        token_time_limit * this->token_time_limit_factor, now);
  }
  const auto weight = this->customer_weights.find(request.customer);
  return {.id = request.id,
          .class_name = request.class_name,
          .customer = request.customer,
          .customer_weight =
              weight == this->customer_weights.end() ? 1 : weight->second,
          .arrival = request.arrival,
          .latest_start = request.arrival + std::max(slack, Duration{}),
          .cost = request.model.empty() ? 1 : length.mean};
}

EnqueueResult Scheduler::Enqueue(const PlacementRequest& request,
                                 TimePoint now) {
  const std::string name =
      GroupName(request.service, request.model, request.group);
  BackendPool& pool = this->pools.at(name);
  const QueueEntry entry = this->MakeEntry(request, pool, now);
  const EnqueueResult result = pool.queue.Enqueue(entry, now);
  if (result.evicted) {
    this->waiting_requests.erase(result.evicted->id);
  }
  if (result.added) {
    this->waiting_requests[request.id] = {
        .request = request, .pool = name, .cost = entry.cost, .tried = {}};
    this->changed_pools.insert(name);
  }
  return result;
}

bool Scheduler::Remove(RequestId id) {
  const auto waiting = this->waiting_requests.find(id);
  if (waiting == this->waiting_requests.end()) {
    return false;
  }
  this->pools.at(waiting->second.pool).queue.Remove(id);
  this->changed_pools.insert(waiting->second.pool);
  this->waiting_requests.erase(waiting);
  return true;
}

void Scheduler::MarkTried(RequestId id, BackendIndex backend) {
  const auto waiting = this->waiting_requests.find(id);
  if (waiting != this->waiting_requests.end()) {
    waiting->second.tried.insert(backend);
  }
}

std::vector<DroppedRequest> Scheduler::Expire(TimePoint now) {
  std::vector<DroppedRequest> all_dropped;
  for (auto& [name, pool] : this->pools) {
    for (const DroppedRequest& dropped : pool.queue.Expire(now)) {
      this->waiting_requests.erase(dropped.id);
      all_dropped.push_back(dropped);
      this->changed_pools.insert(name);
    }
  }
  return all_dropped;
}

bool Scheduler::MeetsTokenTimeLimit(const BackendPool& pool, BackendIndex index,
                                    const WaitingRequest& waiting, int tier,
                                    TimePoint now) const {
  const BackendState& state = this->backend(index);
  const int batch = state.EstimatedRunning() + 1;
  if (batch == 1 || waiting.request.model.empty()) {
    return true;
  }
  return state.TokenTime(batch) <= pool.limits.MaxTokenTime(tier, now);
}

std::optional<Placement> Scheduler::ChooseBackend(BackendPool& pool,
                                                  const NextRequest& next,
                                                  TimePoint now) {
  const WaitingRequest& waiting = this->waiting_requests.at(next.id);
  Placement placement{.id = next.id,
                      .dequeue_reason = next.dequeue_reason,
                      .tier = next.tier,
                      .is_late = next.is_late,
                      .waiting_above = pool.queue.WaitingAbove(next.tier),
                      .expected_tokens = waiting.cost,
                      .skipped = {}};
  std::optional<BackendIndex> chosen;
  std::optional<BackendIndex> tried_fallback;
  double best_key = 0;
  int candidates = 0;
  for (const auto& [key, index] : pool.order()) {
    if (candidates++ >=
        kMaxCandidates + static_cast<int>(waiting.tried.size())) {
      break;
    }
    if (waiting.tried.contains(index)) {
      placement.skipped.push_back(
          {.backend = index, .cause = SkipCause::kTriedBefore});
      tried_fallback = tried_fallback.value_or(index);
      continue;
    }
    if (!this->MeetsTokenTimeLimit(pool, index, waiting, next.tier, now)) {
      placement.skipped.push_back(
          {.backend = index, .cause = SkipCause::kSlowerThanTarget});
      continue;
    }
    chosen = index;
    best_key = key;
    break;
  }
  // Only servers tried before have capacity: the best of them is tried again.
  if (!chosen && candidates == static_cast<int>(waiting.tried.size())) {
    chosen = tried_fallback;
  }
  if (!chosen) {
    return std::nullopt;
  }
  placement.reason = this->entry(*chosen).is_remote
                         ? PlacementReason::kOtherDataCentre
                         : PlacementReason::kLeastLoaded;
  const auto cached = this->backend_by_prefix.find(waiting.request.prefix_hash);
  if (waiting.request.prefix_hash != 0 &&
      cached != this->backend_by_prefix.end() && cached->second != *chosen) {
    const BackendState& state = this->backend(cached->second);
    const double key = state.TokenTime(state.EstimatedRunning() + 1);
    if (state.HasCapacity() && state.health() == BackendHealth::kHealthy &&
        key <= best_key * kMaxPrefixSlowdown &&
        this->entry(cached->second).pools.contains(waiting.pool) &&
        !waiting.tried.contains(cached->second) &&
        this->MeetsTokenTimeLimit(pool, cached->second, waiting, next.tier,
                                  now)) {
      placement.skipped.push_back(
          {.backend = *chosen, .cause = SkipCause::kPrefixPreferred});
      chosen = cached->second;
      placement.reason = PlacementReason::kPrefixAffinity;
    }
  }
  placement.backend = *chosen;
  if (this->backend(*chosen).health() == BackendHealth::kTrial) {
    placement.reason = PlacementReason::kTrial;
  }
  return placement;
}

std::optional<Placement> Scheduler::PlaceFromPool(BackendPool& pool,
                                                  TimePoint now) {
  for (const bool by_share : {true, false}) {
    const std::optional<NextRequest> next = pool.queue.Next(by_share);
    if (!next) {
      return std::nullopt;
    }
    std::optional<Placement> placement = this->ChooseBackend(pool, *next, now);
    if (placement) {
      this->Commit(pool, *next, *placement, now);
      return placement;
    }
    if (next->dequeue_reason == DequeueReason::kTier) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

void Scheduler::Commit(BackendPool& pool, const NextRequest& next,
                       Placement& placement, TimePoint now) {
  pool.queue.Dequeue(next);
  BackendState& state = this->entry(placement.backend).state;
  state.AddRunning(now);
  placement.batch_size = state.EstimatedRunning();
  placement.token_time = state.TokenTime(placement.batch_size);
  this->UpdateOrder(placement.backend);
  const auto waiting = this->waiting_requests.find(next.id);
  this->RememberPrefix(waiting->second.request.prefix_hash, placement.backend);
  this->waiting_requests.erase(waiting);
}

std::optional<Placement> Scheduler::PlaceNext(TimePoint now) {
  while (!this->changed_pools.empty()) {
    const std::string name = *this->changed_pools.begin();
    std::optional<Placement> placement =
        this->PlaceFromPool(this->pools.at(name), now);
    if (placement) {
      return placement;
    }
    this->changed_pools.erase(name);
  }
  return std::nullopt;
}

void Scheduler::RememberPrefix(std::uint64_t prefix_hash,
                               BackendIndex backend) {
  if (prefix_hash == 0) {
    return;
  }
  if (this->backend_by_prefix.insert_or_assign(prefix_hash, backend).second) {
    this->prefix_insertion_order.push_back(prefix_hash);
  }
  if (this->prefix_insertion_order.size() > kMaxPrefixes) {
    this->backend_by_prefix.erase(this->prefix_insertion_order.front());
    this->prefix_insertion_order.pop_front();
  }
}

void Scheduler::EvaluateSpeed(BackendIndex index, TimePoint now) {
  BackendEntry& entry = this->entry(index);
  double median = std::numeric_limits<double>::infinity();
  std::size_t members = 0;
  std::size_t ejected_members = 0;
  for (const std::string& name : entry.pools) {
    const BackendPool& pool = this->pools.at(name);
    median = std::min(median, pool.median_slowness);
    members = std::max(members, pool.members().size());
    for (const BackendIndex other : this->ejected) {
      ejected_members += this->entry(other).pools.contains(name) ? 1 : 0;
    }
  }
  const bool in_trial = entry.state.health() == BackendHealth::kTrial;
  const double bound =
      (in_trial ? kRecoveryFactor : kStragglerFactor) * std::max(median, 0.1);
  if (entry.state.speed_samples() < kMinSpeedSamples) {
    return;
  }
  if (entry.state.slowness() <= bound) {
    entry.state.ObserveSuccess();
  } else if (2 * (ejected_members + 1) <= members) {
    // At most half of a group's servers are ejected for slowness.
    entry.state.Eject(now);
    this->ejected.insert(index);
    this->UpdateOrder(index);
  }
}

void Scheduler::Tick(TimePoint now) {
  for (const BackendIndex index :
       std::vector<BackendIndex>(this->ejected.begin(), this->ejected.end())) {
    if (this->entry(index).state.ejected_until() <= now) {
      this->entry(index).state.StartTrial();
      this->ejected.erase(index);
      this->UpdateOrder(index);
    }
  }
  if (now < this->next_speed_check) {
    return;
  }
  this->next_speed_check = now + kSpeedCheckPeriod;
  for (std::size_t i = 0; i < this->backends.size(); ++i) {
    this->backends[i].state.UpdateSlowness();
    this->UpdateOrder(static_cast<BackendIndex>(i));
  }
  for (auto& [name, pool] : this->pools) {
    std::vector<double> speeds;
    for (const BackendIndex index : pool.members()) {
      if (this->entry(index).state.health() == BackendHealth::kHealthy) {
        speeds.push_back(this->entry(index).state.slowness());
      }
    }
    if (!speeds.empty()) {
      const auto middle =
          speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
      std::nth_element(speeds.begin(), middle, speeds.end());
      pool.median_slowness = *middle;
    }
  }
  for (std::size_t i = 0; i < this->backends.size(); ++i) {
    if (this->backends[i].state.health() != BackendHealth::kEjected) {
      this->EvaluateSpeed(static_cast<BackendIndex>(i), now);
    }
  }
}

void Scheduler::ObserveTokens(BackendIndex backend, int tokens,
                              Duration elapsed) {
  if (tokens <= 0 || elapsed <= Duration{}) {
    return;
  }
  this->entry(backend).state.ObserveTokens(tokens, ToSeconds(elapsed));
}

void Scheduler::ReleaseSlot(BackendIndex backend, TimePoint now) {
  this->entry(backend).state.RemoveRunning(now);
  this->UpdateOrder(backend);
}

void Scheduler::ReleaseAfterSuccess(BackendIndex backend,
                                    const std::string& class_name,
                                    const std::string& customer, int tokens,
                                    TimePoint now) {
  BackendState& state = this->entry(backend).state;
  if (tokens > 0) {
    this->predictor.Observe(class_name, customer, tokens);
  } else {
    state.ObserveSuccess();
  }
  this->ReleaseSlot(backend, now);
}

void Scheduler::ReleaseAfterFailure(BackendIndex backend, TimePoint now) {
  this->entry(backend).state.ObserveFailure(now);
  this->ejected.insert(backend);
  this->ReleaseSlot(backend, now);
}

void Scheduler::Release(BackendIndex backend, TimePoint now) {
  this->ReleaseSlot(backend, now);
}

void Scheduler::ApplyLoadReport(const std::string& backend, TimePoint taken_at,
                                int running, TimePoint /*now*/) {
  const auto known = this->backend_by_name.find(backend);
  if (known != this->backend_by_name.end()) {
    this->entry(known->second).state.ApplyLoadReport(taken_at, running);
    this->UpdateOrder(known->second);
  }
}

Duration Scheduler::RetryAfter(const std::string& service,
                               const std::string& model, std::uint32_t group,
                               int tier) const {
  const auto found = this->pools.find(GroupName(service, model, group));
  if (found == this->pools.end()) {
    return kMaxRetryAfter;
  }
  const TieredQueue& queue = found->second.queue;
  const Duration drain = FromSeconds(queue.WaitingCost(tier) / queue.rate());
  return std::clamp(drain, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace rosemarycove
