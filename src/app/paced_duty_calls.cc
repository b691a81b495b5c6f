#include "app/paced_duty_calls.h"

#include <algorithm>
#include <utility>

namespace rosemarycove {
namespace {

// The platform counts the calls of a second. Calls of the holder before may
// have used up the limit.
constexpr Duration kThrottledPause = std::chrono::milliseconds(500);
constexpr double kMinCallsPerSecond = 0.1;

}  // namespace

PacedDutyCalls::PacedDutyCalls(DutyCalls& calls, double calls_per_second)
    : calls(calls),
      spacing(FromSeconds(1 / std::max(calls_per_second, kMinCallsPerSecond))) {
}

void PacedDutyCalls::SendUsage(const DutyGrant& grant,
                               const UsageReport& report, Done done) {
  this->calls.SendUsage(grant, report, this->Pace(std::move(done)));
}

void PacedDutyCalls::SendOrder(const DutyGrant& grant, const EngineOrder& order,
                               Done done) {
  this->calls.SendOrder(grant, order, this->Pace(std::move(done)));
}

DutyCalls::Done PacedDutyCalls::Pace(Done done) {
  this->next_call_at = this->ticked_at + this->spacing;
  return [this, done = std::move(done)](DutyCallResult result) {
    if (result == DutyCallResult::kThrottled) {
      this->next_call_at =
          this->ticked_at + std::max(this->spacing, kThrottledPause);
    }
    done(result);
  };
}

bool PacedDutyCalls::is_busy() const {
  return this->calls.is_busy() || this->ticked_at < this->next_call_at;
}

void PacedDutyCalls::Tick(TimePoint now) {
  this->ticked_at = now;
  this->calls.Tick(now);
}

}  // namespace rosemarycove
