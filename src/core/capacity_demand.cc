#include "core/capacity_demand.h"

#include <algorithm>
#include <cmath>

#include "core/load_ledger.h"

namespace rosemarycove {
namespace {

// Mean age of the work that a measurement covers. Short, so that a burst of 3 s
// doesn't look like a longer one.
constexpr double kDecaySeconds = 0.7;
// Seconds to prefill a token before any is observed: 50 tokens per ms.
constexpr double kInitialPrefillTime = 20e-6;
constexpr double kMinPrefillTime = 1e-6;
constexpr double kMaxPrefillTime = 500e-6;
// Shorter prompts say little about the time of a token.
constexpr double kMinLearnedTokens = 500;
// The time to the first event includes delays besides the prefill, so the lower
// quartile of the time per token is learned: a step down is three times a step
// up.
constexpr double kStepUp = 0.02;
constexpr double kStepDown = 3 * kStepUp;
// The weight of an attempt in the means.
constexpr double kMeanWeight = 0.05;

void Average(double& mean, double value) {
  mean = mean == 0 ? value : mean + kMeanWeight * (value - mean);
}

}  // namespace

void CapacityDemand::Work::DecayTo(TimePoint now) {
  const double factor =
      std::exp(-ToSeconds(now - this->updated_at) / kDecaySeconds);
  this->busy *= factor;
  this->unserved *= factor;
  this->updated_at = now;
}

DemandPart CapacityDemand::Work::Demand(int waiting, TimePoint now) const {
  Work current = *this;
  current.DecayTo(now);
  // A waiting request would keep this part of an engine busy if it ran.
  const double share =
      this->mean_running > 0 ? this->mean_cost / this->mean_running : 0;
  return {.busy = current.busy / kDecaySeconds,
          .unserved = current.unserved / kDecaySeconds + share * waiting};
}

void CapacityDemand::ServiceWork::Learn(const LatencyInputs& inputs,
                                        Duration first_event) {
  const double tokens = inputs.prefill_tokens + inputs.prefill_tokens_ahead;
  if (inputs.prefill_tokens < kMinLearnedTokens) {
    return;
  }
  const bool is_shorter = ToSeconds(first_event) < this->prefill_time * tokens;
  this->prefill_time *= is_shorter ? 1 - kStepDown : 1 + kStepUp;
  this->prefill_time =
      std::clamp(this->prefill_time, kMinPrefillTime, kMaxPrefillTime);
}

CapacityDemand::ServiceWork& CapacityDemand::WorkOf(
    const std::string& service) {
  return this->services
      .try_emplace(service, ServiceWork{.prefill_time = kInitialPrefillTime})
      .first->second;
}

void CapacityDemand::RecordAttempt(const std::string& service,
                                   const AttemptWork& attempt, TimePoint now) {
  ServiceWork& measured = this->WorkOf(service);
  if (attempt.first_event) {
    measured.Learn(attempt.inputs, *attempt.first_event);
  }
  const double running = std::max(ToSeconds(attempt.running), 0.0);
  const double before_first =
      ToSeconds(attempt.first_event.value_or(attempt.running));
  const double prefill =
      std::min(attempt.inputs.prefill_tokens * measured.prefill_time, running);
  const double slot_cost =
      std::max(running - before_first, 0.0) / std::max(attempt.slots, 1);
  Work& work = measured.Of(attempt.is_urgent);
  work.DecayTo(now);
  work.busy += prefill + slot_cost;
  Average(work.mean_cost, prefill + slot_cost);
  Average(work.mean_slot_cost, slot_cost);
  Average(work.mean_running, running);
}

void CapacityDemand::RecordRefusal(const std::string& service, bool is_urgent,
                                   int prompt_tokens, TimePoint now) {
  ServiceWork& measured = this->WorkOf(service);
  Work& work = measured.Of(is_urgent);
  work.DecayTo(now);
  work.unserved +=
      std::max(prompt_tokens, 0) * measured.prefill_time + work.mean_slot_cost;
}

EngineDemand CapacityDemand::Measure(const std::string& service,
                                     const WaitingRequests& waiting,
                                     TimePoint now) const {
  EngineDemand demand{.service_hash = IdHash(service)};
  const auto found = this->services.find(service);
  if (found != this->services.end()) {
    demand.urgent = found->second.urgent.Demand(waiting.urgent, now);
    demand.other = found->second.other.Demand(waiting.other, now);
  }
  return demand;
}

}  // namespace rosemarycove
