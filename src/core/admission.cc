#include "core/admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "core/load_ledger.h"

namespace rosemarycove {
namespace {

// The capacity adds up the loads of all servers by all instances, so it is not
// determined anew for each request.
constexpr Duration kCapacityMaxAge = std::chrono::milliseconds(100);
// Counts decay to 1/e in this time: an instance of a large fleet gets one or
// two requests of a class per second, and bursts last 5 to 9 s.
constexpr Duration kDecayTime = std::chrono::seconds(3);
// The same for the usual rate of arrivals, which bursts should hardly change.
constexpr Duration kUsualDecayTime = std::chrono::seconds(15);

// Bursts of urgent classes add this much to their usual rate.
constexpr double kBurstExcess = 1.3;
// Requests that tolerate pauses keep room for a burst of more urgent ones while
// they come in a burst themselves, since an urgent one follows: once so many of
// the slots reserved for them are in use, and they arrive at so many times
// their usual rate. All of it is kept if both are exceeded by the ranges.
// Keeping it always, or from other requests too, refused requests in vain.
constexpr double kFullness = 0.85;
constexpr double kFullnessRange = 0.1;
constexpr double kSurge = 1.2;
constexpr double kSurgeRange = 0.5;
// All room for a burst is also kept while this share of the more urgent
// requests is refused; less if fewer are.
constexpr double kRefusedShare = 0.1;
// Maximum share of an engine's slots that is kept for more urgent tiers, so
// that an overestimated rate of theirs doesn't leave engines idle.
constexpr double kMaxKeptShare = 0.2;
// Share of an engine's slots that yielding requests leave free in addition.
// Less than what each tier leaves to the next one (kHeadroomPerTier,
// placer.cc), so that a request never yields to a less urgent one.
constexpr double kYieldedShare = 0.05;
// The part of its target in which a more urgent request must be able to start
// on an engine.
constexpr double kUrgentStartShare = 0.8;

// Share of its target that a request may wait for capacity. The rest suffices
// for the time to the first event on engines that aren't overloaded.
constexpr double kMaxWaitShare = 0.7;
// What a request's own turn takes, in mean times between two completions left
// to this instance: engines get free at any time of it, also for requests that
// other instances don't have.
constexpr double kOwnTurn = 0.5;
// Returning requests wait before the others of their urgency.
constexpr Duration kReturningDelay = std::chrono::seconds(-20);

// Minimum share of the completions at engines that is expected to be left by
// more urgent requests.
constexpr double kMinServedShare = 0.1;
// Share of the completions left to a tier that its returning requests may use
// while new ones would take all.
constexpr double kReturningShare = 0.25;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);
constexpr double kMinDurationSeconds = 0.05;
// Callers wait for up to this part of the time that they have left.
constexpr double kCallersPatience = 1.0 / 3;
// A caller that returns this part of its wait too early still returns at its
// time: clocks and networks differ.
constexpr double kEarlyShare = 0.1;
constexpr Duration kEarlyMargin = std::chrono::milliseconds(20);
// A caller that returns before this part of its wait repeats its request. One
// that waits longer, though not to the end, has less time left than it was
// told.
constexpr double kRepeatedShare = 0.25;
// A promise is dropped this long after its time.
constexpr Duration kPromiseMaxAge = std::chrono::seconds(5);
// Limits the memory for promises; more than that would need thousands of
// refusals per second.
constexpr std::size_t kMaxPromises = 16384;
// Limit the size of a report, which goes to all other instances.
constexpr std::size_t kMaxPromisesPerReport = 64;
constexpr std::size_t kMaxDemandsPerReport = 32;
constexpr double kMinReportedDemand = 0.3;

// After a refusal, less urgent requests of the instance don't take engines of
// the same side for this long, so that none takes the engine for which the more
// urgent one came too early. Longer ones left engines idle.
constexpr Duration kYieldTime = std::chrono::milliseconds(100);

// Requests were refused recently if the decayed count is over this.
constexpr double kScarceRefusals = 0.3;
// A customer yields if it sends this many times its fair share, and so many
// requests that chance doesn't explain them.
constexpr double kShareTolerance = 1.5;
constexpr double kMinDemand = 3;
// Bounds while hardly anything is admitted.
constexpr double kMinFairCount = 0.1;
constexpr double kMaxExcess = 20;
constexpr Duration kPeerDemandMaxAge = std::chrono::seconds(2);
// A smaller count is dropped.
constexpr double kMinCount = 0.02;
// The weight of the latest request in the mean size.
constexpr double kSizeWeight = 0.05;

// Returns the largest count that every customer may have while all together
// have at most `admitted` (max-min fairness).
double FairCount(std::vector<double> counts, double admitted) {
  std::sort(counts.begin(), counts.end());
  double remaining = admitted;
  std::size_t left = counts.size();
  for (const double count : counts) {
    const double equal_part = remaining / static_cast<double>(left);
    if (count > equal_part) {
      return equal_part;
    }
    remaining -= count;
    --left;
  }
  return counts.empty() ? 0 : counts.back();
}

}  // namespace

std::string_view ToString(Standing standing) {
  switch (standing) {
    case Standing::kReturning:
      return "returning";
    case Standing::kFirst:
      return "first";
    case Standing::kAboveShare:
      return "above_share";
    case Standing::kRepeated:
      return "repeated";
  }
  return "unknown";
}

AdmissionController::AdmissionController(std::uint64_t seed) : random(seed) {}

bool AdmissionController::SideKey::operator<(const SideKey& other) const {
  return std::tie(this->service, this->tolerates_pauses, this->urgency) <
         std::tie(other.service, other.tolerates_pauses, other.urgency);
}

bool AdmissionController::TierKey::operator<(const TierKey& other) const {
  return std::tie(this->service_hash, this->tier) <
         std::tie(other.service_hash, other.tier);
}

void AdmissionController::DecayingCount::Add(double amount, TimePoint now,
                                             Duration decay_time) {
  this->count = this->At(now, decay_time) + amount;
  this->updated_at = now;
}

double AdmissionController::DecayingCount::At(TimePoint now,
                                              Duration decay_time) const {
  return this->count *
         std::exp(-ToSeconds(now - this->updated_at) / ToSeconds(decay_time));
}

AdmissionController::Traffic& AdmissionController::TrafficOf(
    const AdmissionRequest& request) {
  return this->traffic[{.service = request.service,
                        .tolerates_pauses = request.tolerates_pauses,
                        .urgency = request.urgency}];
}

bool AdmissionController::NeedsCapacity(const std::string& service,
                                        TimePoint now) const {
  const auto found = this->capacities.find(service);
  return found == this->capacities.end() ||
         now - found->second.set_at > kCapacityMaxAge;
}

const ServiceCapacity& AdmissionController::CapacityOf(
    const std::string& service) const {
  static const ServiceCapacity kUnknown;
  const auto found = this->capacities.find(service);
  return found == this->capacities.end() ? kUnknown : found->second.capacity;
}

Standing AdmissionController::RecordArrival(const AdmissionRequest& request,
                                            TimePoint now) {
  Standing standing = Standing::kFirst;
  const auto found = this->promises.find(request.identity);
  if (found != this->promises.end()) {
    const Promise& promise = found->second;
    const double wait = ToSeconds(promise.due - promise.since);
    const double waited = ToSeconds(now - promise.since);
    if (waited >= (1 - kEarlyShare) * wait - ToSeconds(kEarlyMargin)) {
      standing = Standing::kReturning;
    } else if (waited < kRepeatedShare * wait) {
      standing = Standing::kRepeated;
    }
  }
  if (standing != Standing::kRepeated) {
    Traffic& traffic = this->TrafficOf(request);
    traffic.target = request.target;
    traffic.arrivals.Add(1, now, kDecayTime);
    traffic.usual_arrivals.Add(1, now, kUsualDecayTime);
    traffic.mean_kv_tokens += (traffic.mean_kv_tokens == 0 ? 1 : kSizeWeight) *
                              (request.kv_tokens - traffic.mean_kv_tokens);
    this->tiers[{IdHash(request.service), request.urgency.tier}]
        .arrivals[request.customer]
        .Add(1, now, kDecayTime);
  }
  const double excess =
      standing == Standing::kFirst ? this->ExcessOf(request, now) : 0;
  // Its fair share is served as usual.
  if (excess > 1 &&
      std::uniform_real_distribution<double>(0, excess)(this->random) > 1) {
    standing = Standing::kAboveShare;
  }
  ++this->admission_counts.arrivals[standing];
  return standing;
}

double AdmissionController::ExcessOf(const AdmissionRequest& request,
                                     TimePoint now) {
  const TierKey key{IdHash(request.service), request.urgency.tier};
  const TierDemand& tier = this->tiers[key];
  const double refused = tier.refusals.At(now, kDecayTime);
  if (refused < kScarceRefusals) {
    return 0;
  }
  const double admitted = tier.admissions.At(now, kDecayTime);
  std::map<std::uint64_t, double> counts;
  double own = 0;
  for (const auto& [customer, arrivals] : tier.arrivals) {
    counts[customer] = arrivals.At(now, kDecayTime);
    own += counts[customer];
  }
  double all = own;
  for (const auto& [peer, reported] : this->peer_demands) {
    if (now - reported.received_at > kPeerDemandMaxAge) {
      continue;
    }
    for (const AdmissionReport::Demand& demand : reported.demands) {
      if (TierKey{demand.service_hash, demand.tier} == key) {
        counts[demand.customer] += demand.count;
        all += demand.count;
      }
    }
  }
  // The share that is admitted here is assumed for all instances.
  const double total = admitted / std::max(1.0, admitted + refused) * all;
  std::vector<double> values;
  values.reserve(counts.size());
  for (const auto& [customer, count] : counts) {
    values.push_back(count);
  }
  const double fair = kShareTolerance * FairCount(std::move(values), total);
  const double count = counts[request.customer];
  return count < kMinDemand || count <= fair
             ? 0
             : std::min(count / std::max(fair, kMinFairCount), kMaxExcess);
}

KeptRoom AdmissionController::RoomToKeep(const AdmissionRequest& request,
                                         Standing standing,
                                         TimePoint now) const {
  KeptRoom room;
  const ServiceCapacity& capacity = this->CapacityOf(request.service);
  const int engines = capacity.reserved.engines + capacity.unreserved.engines;
  if (engines == 0) {
    return room;
  }
  const double slots_per_engine =
      static_cast<double>(capacity.reserved.slots + capacity.unreserved.slots) /
      engines;
  const double surge =
      request.tolerates_pauses ? this->Surge(request.service, now) : 0;
  for (const auto& [key, traffic] : this->traffic) {
    if (key.service != request.service || !(key.urgency < request.urgency)) {
      continue;
    }
    const double arrived =
        traffic.arrivals.At(now, kDecayTime) * capacity.instances;
    const double refused_share =
        traffic.refusals.At(now, kDecayTime) / std::max(1.0, arrived);
    const double pressure =
        std::max(surge, std::min(1.0, refused_share / kRefusedShare));
    const double usual_rate = traffic.usual_arrivals.At(now, kUsualDecayTime) /
                              ToSeconds(kUsualDecayTime) * capacity.instances;
    const double slots =
        pressure * kBurstExcess * usual_rate *
        ToSeconds(capacity.Of(key.tolerates_pauses).mean_duration) / engines;
    room.slots += slots;
    room.kv_tokens += slots * traffic.mean_kv_tokens;
    room.urgent_start =
        std::min(room.urgent_start.value_or(Duration::max()),
                 FromSeconds(kUrgentStartShare * ToSeconds(traffic.target)));
  }
  const double max_slots = kMaxKeptShare * slots_per_engine;
  if (room.slots > max_slots) {
    room.kv_tokens *= max_slots / room.slots;
    room.slots = max_slots;
  }
  if (standing == Standing::kAboveShare || standing == Standing::kRepeated) {
    room.slots += kYieldedShare * slots_per_engine;
  }
  return room;
}

double AdmissionController::Surge(const std::string& service,
                                  TimePoint now) const {
  const SideCapacity& reserved = this->CapacityOf(service).reserved;
  const double occupied =
      static_cast<double>(reserved.running) / std::max(1, reserved.slots);
  double recent = 0;
  double usual = 0;
  for (const auto& [key, traffic] : this->traffic) {
    if (key.service == service && key.tolerates_pauses) {
      recent += traffic.arrivals.At(now, kDecayTime) / ToSeconds(kDecayTime);
      usual += traffic.usual_arrivals.At(now, kUsualDecayTime) /
               ToSeconds(kUsualDecayTime);
    }
  }
  if (usual <= 0) {
    return 0;
  }
  return std::clamp((occupied - kFullness) / kFullnessRange, 0.0, 1.0) *
         std::clamp((recent / usual - kSurge) / kSurgeRange, 0.0, 1.0);
}

bool AdmissionController::YieldsToRefused(const AdmissionRequest& request,
                                          TimePoint now) const {
  return std::any_of(
      this->traffic.begin(), this->traffic.end(), [&](const auto& item) {
        return item.first.service == request.service &&
               item.first.tolerates_pauses == request.tolerates_pauses &&
               item.first.urgency < request.urgency &&
               now - item.second.refused_at <= kYieldTime;
      });
}

double AdmissionController::ServiceRate(const AdmissionRequest& request,
                                        TimePoint now) const {
  const ServiceCapacity& capacity = this->CapacityOf(request.service);
  const SideCapacity& side = capacity.Of(request.tolerates_pauses);
  const double duration =
      std::max(kMinDurationSeconds, side.mean_duration > Duration{}
                                        ? ToSeconds(side.mean_duration)
                                        : ToSeconds(request.target));
  const double own_part =
      std::max(1, side.running) / duration / std::max(1, capacity.instances);
  double more_urgent = 0;
  for (const auto& [key, traffic] : this->traffic) {
    if (key.service == request.service &&
        key.tolerates_pauses == request.tolerates_pauses &&
        key.urgency < request.urgency) {
      more_urgent +=
          traffic.arrivals.At(now, kDecayTime) / ToSeconds(kDecayTime);
    }
  }
  return std::max(own_part - more_urgent, kMinServedShare * own_part);
}

WaitDecision AdmissionController::DecideWait(const AdmissionRequest& request,
                                             Standing standing, int ahead,
                                             TimePoint now) const {
  const double rate = this->ServiceRate(request, now);
  const bool returns = standing == Standing::kReturning;
  // A returning request is placed before the others of its urgency.
  const int before = returns ? std::min(ahead, 1) : ahead;
  WaitDecision decision{
      .expected = FromSeconds((before + kOwnTurn) / rate),
      .max_wait = FromSeconds(kMaxWaitShare * ToSeconds(request.target)),
      .order_delay = returns ? kReturningDelay : Duration{}};
  decision.waits = (returns || standing == Standing::kFirst) &&
                   decision.expected <= decision.max_wait;
  return decision;
}

void AdmissionController::RecordAdmission(const AdmissionRequest& request,
                                          TimePoint now) {
  this->promises.erase(request.identity);
  this->tiers[{IdHash(request.service), request.urgency.tier}].admissions.Add(
      1, now, kDecayTime);
}

Duration AdmissionController::RecordRefusal(const AdmissionRequest& request,
                                            Standing standing, int ahead,
                                            TimePoint now) {
  ++this->admission_counts.refusals[standing];
  const auto found = this->promises.find(request.identity);
  if (standing == Standing::kRepeated && found != this->promises.end()) {
    return std::max(found->second.due - now, kMinRetryAfter);
  }
  this->tiers[{IdHash(request.service), request.urgency.tier}].refusals.Add(
      1, now, kDecayTime);
  Traffic& traffic = this->TrafficOf(request);
  if (standing != Standing::kAboveShare) {
    traffic.refused_at = now;
  }
  traffic.refusals.Add(1, now, kDecayTime);
  ++traffic.new_refusals;
  const double rate = this->ServiceRate(request, now);
  const double arrivals =
      traffic.arrivals.At(now, kDecayTime) / ToSeconds(kDecayTime);
  const Duration spacing =
      FromSeconds(1 / std::max(rate - arrivals, kReturningShare * rate));
  const TimePoint earliest =
      now + std::max(FromSeconds((ahead + 1) / rate), kMinRetryAfter);
  const TimePoint room = std::max(earliest, traffic.next_room);
  const double jitter =
      std::uniform_real_distribution<double>(0, 1)(this->random);
  TimePoint due = room + FromSeconds(jitter * ToSeconds(spacing));
  if (standing == Standing::kAboveShare) {
    // In this time, the customer's fair share serves what it sent recently.
    due += FromSeconds(jitter * this->ExcessOf(request, now) *
                       ToSeconds(kDecayTime));
  }
  const Duration patience =
      FromSeconds(kCallersPatience * ToSeconds(request.time_limit));
  // Callers don't wait for longer, so that room is left to others.
  if (due - now <= patience) {
    traffic.next_room = room + spacing;
  }
  if (this->promises.size() < kMaxPromises) {
    this->promises[request.identity] = {.due = due, .since = now};
    if (this->new_promises.size() < kMaxPromisesPerReport) {
      this->new_promises.push_back(request.identity);
    }
  }
  return due - now;
}

AdmissionReport AdmissionController::Report(TimePoint now) const {
  AdmissionReport report;
  for (const std::uint64_t identity : this->new_promises) {
    const auto found = this->promises.find(identity);
    if (found != this->promises.end()) {
      report.promises.push_back(
          {.identity = identity,
           .remaining = std::max(found->second.due - now, Duration{})});
    }
  }
  for (const auto& [key, tier] : this->tiers) {
    if (tier.refusals.At(now, kDecayTime) < kScarceRefusals) {
      continue;
    }
    for (const auto& [customer, arrivals] : tier.arrivals) {
      const double count = arrivals.At(now, kDecayTime);
      if (count >= kMinReportedDemand &&
          report.demands.size() < kMaxDemandsPerReport) {
        report.demands.push_back({.service_hash = key.service_hash,
                                  .tier = key.tier,
                                  .customer = customer,
                                  .count = count});
      }
    }
  }
  for (const auto& [key, traffic] : this->traffic) {
    if (traffic.new_refusals > 0) {
      report.refusals.push_back({.service_hash = IdHash(key.service),
                                 .tolerates_pauses = key.tolerates_pauses,
                                 .urgency = key.urgency,
                                 .count = traffic.new_refusals});
    }
  }
  return report;
}

void AdmissionController::RecordReportSent() {
  this->new_promises.clear();
  for (auto& [key, traffic] : this->traffic) {
    traffic.new_refusals = 0;
  }
}

void AdmissionController::ApplyReport(const std::string& peer,
                                      const AdmissionReport& report,
                                      TimePoint now) {
  for (const AdmissionReport::Promise& promise : report.promises) {
    if (this->promises.size() < kMaxPromises ||
        this->promises.contains(promise.identity)) {
      this->promises[promise.identity] = {.due = now + promise.remaining,
                                          .since = now};
    }
  }
  if (report.demands.empty()) {
    this->peer_demands.erase(peer);
  } else {
    this->peer_demands[peer] = {.demands = report.demands, .received_at = now};
  }
  for (const AdmissionReport::Refusal& refusal : report.refusals) {
    for (auto& [key, traffic] : this->traffic) {
      if (IdHash(key.service) == refusal.service_hash &&
          key.tolerates_pauses == refusal.tolerates_pauses &&
          key.urgency == refusal.urgency) {
        traffic.refusals.Add(refusal.count, now, kDecayTime);
      }
    }
  }
}

void AdmissionController::Expire(TimePoint now) {
  std::erase_if(this->promises, [now](const auto& item) {
    return now - item.second.due > kPromiseMaxAge;
  });
  for (auto& [key, tier] : this->tiers) {
    std::erase_if(tier.arrivals, [now](const auto& item) {
      return item.second.At(now, kDecayTime) < kMinCount;
    });
  }
}

bool AdmissionController::Covers(const RoutedService& service) const {
  return service.IsModel() &&
         (service.scaling || this->covered.contains(service.name));
}

}  // namespace rosemarycove
