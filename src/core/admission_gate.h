// Admission control of one request: passes it through an AdmissionController.
#pragma once

#include <optional>

#include "core/admission.h"
#include "core/placer.h"
#include "core/types.h"

namespace rosemarycove {

// Has no effect before Arrive, and none for services to which admission control
// does not apply. Owned by the request.
class AdmissionGate {
 public:
  // Both must outlive the gate.
  AdmissionGate(AdmissionController& controller, const Placer& placer)
      : controller(controller), placer(placer) {}

  // Records the arrival if admission control applies to the query's service.
  // `request` needs no service, side and sizes; they are those of the query.
  void Arrive(AdmissionRequest request, const PlacementQuery& query,
              TimePoint now);
  // Sets what the request leaves to others, before each placement.
  void Prepare(PlacementQuery& query, TimePoint now);
  // Returns whether the request waits for capacity; nullopt if that is not
  // decided by admission control. `ahead` as in AdmissionController.
  [[nodiscard]] std::optional<WaitDecision> DecideWait(int ahead,
                                                       TimePoint now);
  // Records that the request is sent to an engine.
  void Admit(TimePoint now);
  // Records a refusal for lack of capacity; returns the time until the caller
  // may return.
  std::optional<Duration> Refuse(int ahead, TimePoint now);

  // nullopt if admission control doesn't apply.
  [[nodiscard]] std::optional<Standing> standing() const {
    return this->request ? std::optional(this->request_standing) : std::nullopt;
  }

 private:
  AdmissionController& controller;
  const Placer& placer;
  // nullopt if admission control doesn't apply.
  std::optional<AdmissionRequest> request;
  Standing request_standing = Standing::kFirst;
};

}  // namespace rosemarycove
