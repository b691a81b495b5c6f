#include "core/placement_queues.h"

namespace rosemarycove {

PlacementQueue& PlacementQueues::Of(const std::string& service,
                                    bool tolerates_pauses) {
  return this->queues[service].Of(tolerates_pauses);
}

WithheldEngines PlacementQueues::WithheldOnArrival(const std::string& service,
                                                   Urgency urgency) const {
  const auto found = this->queues.find(service);
  if (found == this->queues.end()) {
    return {};
  }
  return {.reserved = found->second.reserved.HasMoreUrgent(urgency),
          .unreserved = found->second.unreserved.HasMoreUrgent(urgency)};
}

WithheldEngines PlacementQueues::WithheldWhileWaiting(
    const std::string& service, bool tolerates_pauses, Urgency urgency) const {
  WithheldEngines withheld = this->WithheldOnArrival(service, urgency);
  (tolerates_pauses ? withheld.reserved : withheld.unreserved) = false;
  return withheld;
}

}  // namespace rosemarycove
