// The queues of all requests of the proxy that wait for capacity.
#pragma once

#include <map>
#include <string>

#include "core/placement_queue.h"
#include "core/urgency.h"

namespace rosemarycove {

// The engines of a service that a request must not take, since more urgent ones
// wait for them, by side of the partition (see Placer). A service that is not
// partitioned has one side.
struct WithheldEngines {
  // The engines reserved for routes that tolerate pauses.
  bool reserved = false;
  bool unreserved = false;

  bool operator==(const WithheldEngines&) const = default;
};

// The waiting requests of one service.
struct ServiceQueues {
  // Requests that tolerate pauses; they wait for the reserved engines.
  PlacementQueue reserved;
  PlacementQueue unreserved;

  // Returns the queue of requests that tolerate pauses, or of all others.
  PlacementQueue& Of(bool tolerates_pauses) {
    return tolerates_pauses ? this->reserved : this->unreserved;
  }
};

// Keeps the requests for the two sides of a service's partition apart, since
// one side may have capacity while the other has none. The engines of its side
// only are withheld for a waiting request. The proxy owns the queues of its
// instance and uses them on its event loop.
class PlacementQueues {
 public:
  // Returns the queue for requests that tolerate pauses, or for all others.
  PlacementQueue& Of(const std::string& service, bool tolerates_pauses);
  // Returns the engines that an arriving request must leave to more urgent
  // ones.
  [[nodiscard]] WithheldEngines WithheldOnArrival(const std::string& service,
                                                  Urgency urgency) const;
  // The same for a waiting request. Those ahead of it in its own queue are
  // tried before it, so no engines are withheld for them.
  [[nodiscard]] WithheldEngines WithheldWhileWaiting(const std::string& service,
                                                     bool tolerates_pauses,
                                                     Urgency urgency) const;
  // By service.
  [[nodiscard]] const std::map<std::string, ServiceQueues>& all() const {
    return this->queues;
  }

 private:
  std::map<std::string, ServiceQueues> queues;
};

}  // namespace rosemarycove
