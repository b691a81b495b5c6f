// Spaces the calls to the platform, so that all tasks together stay under the
// platform's limit.
#pragma once

#include "store/duty_calls.h"

namespace rosemarycove {

// Is busy while a call is in progress, and until the next one may be sent.
class PacedDutyCalls : public DutyCalls {
 public:
  PacedDutyCalls(DutyCalls& calls, double calls_per_second);

  void SendUsage(const DutyGrant& grant, const UsageReport& report,
                 Done done) override;
  void SendOrder(const DutyGrant& grant, const EngineOrder& order,
                 Done done) override;
  [[nodiscard]] bool is_busy() const override;
  void Cancel() override { this->calls.Cancel(); }
  void Tick(TimePoint now) override;

 private:
  // Returns `done`, extended by a pause after a call that was throttled.
  [[nodiscard]] Done Pace(Done done);

  DutyCalls& calls;
  Duration spacing;
  // The time of the last tick.
  TimePoint ticked_at;
  TimePoint next_call_at;
};

}  // namespace rosemarycove
