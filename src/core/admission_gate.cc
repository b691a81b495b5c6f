#include "core/admission_gate.h"

#include <utility>

namespace rosemarycove {

void AdmissionGate::Arrive(AdmissionRequest arrived,
                           const PlacementQuery& query, TimePoint now) {
  if (query.service == nullptr || !this->controller.Covers(*query.service)) {
    return;
  }
  this->request = std::move(arrived);
  this->request->service = query.service->name;
  this->request->tolerates_pauses = query.tolerates_pauses;
  this->request->urgency = {.tier = query.tier,
                            .route_tier = query.route->tier};
  this->request->kv_tokens = query.prompt_tokens + query.expected_output_tokens;
  this->request->target = query.route->target;
  this->request_standing = this->controller.RecordArrival(*this->request, now);
}

void AdmissionGate::Prepare(PlacementQuery& query, TimePoint now) {
  if (!this->request) {
    return;
  }
  const std::string& service = this->request->service;
  if (this->controller.NeedsCapacity(service, now)) {
    this->controller.SetCapacity(service, this->placer.CapacityOf(query, now),
                                 now);
  }
  query.kept_room =
      this->controller.RoomToKeep(*this->request, this->request_standing, now);
  if (this->controller.YieldsToRefused(*this->request, now)) {
    (this->request->tolerates_pauses ? query.withheld.reserved
                                     : query.withheld.unreserved) = true;
  }
}

std::optional<WaitDecision> AdmissionGate::DecideWait(int ahead,
                                                      TimePoint now) {
  if (!this->request) {
    return std::nullopt;
  }
  return this->controller.DecideWait(*this->request, this->request_standing,
                                     ahead, now);
}

void AdmissionGate::Admit(TimePoint now) {
  if (this->request) {
    this->controller.RecordAdmission(*this->request, now);
  }
}

std::optional<Duration> AdmissionGate::Refuse(int ahead, TimePoint now) {
  if (!this->request) {
    return std::nullopt;
  }
  return this->controller.RecordRefusal(*this->request, this->request_standing,
                                        ahead, now);
}

}  // namespace rosemarycove
