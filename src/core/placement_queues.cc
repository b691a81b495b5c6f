#include "core/placement_queues.h"

namespace rosemarycove {

PlacementQueue& PlacementQueues::Of(const std::string& service,
                                    bool tolerates_pauses) {
  return this->queues[service].Of(tolerates_pauses);
}

EngineClaims PlacementQueues::ClaimsOnArrival(const std::string& service,
                                              Urgency urgency) const {
  const auto found = this->queues.find(service);
  if (found == this->queues.end()) {
    return {};
  }
  return {.reserved = found->second.reserved.HasMoreUrgent(urgency),
          .unreserved = found->second.unreserved.HasMoreUrgent(urgency)};
}

EngineClaims PlacementQueues::ClaimsWhileWaiting(const std::string& service,
                                                 bool tolerates_pauses,
                                                 Urgency urgency) const {
  EngineClaims claims = this->ClaimsOnArrival(service, urgency);
  (tolerates_pauses ? claims.reserved : claims.unreserved) = false;
  return claims;
}

}  // namespace rosemarycove
