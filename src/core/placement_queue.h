// Requests of one instance that wait for room.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <tuple>
#include <vector>

#include "core/types.h"
#include "core/urgency.h"

namespace rosemarycove {

// Orders the waiting requests of one service by urgency, then by when they must
// begin to be on time, and tells a newcomer how long it would wait.
class PlacementQueue {
 public:
  // Adds a request that has to begin by `begin_by` to be on time.
  void Add(RequestId id, Urgency urgency, TimePoint begin_by);
  // Takes one off; `admitted` tells that it was given a server.
  void Remove(RequestId id, bool admitted, TimePoint now);
  // All that wait, in the order in which they are to be tried.
  [[nodiscard]] std::vector<RequestId> OrderedIds() const;
  // Whether one that is more urgent waits.
  [[nodiscard]] bool HasMoreUrgent(Urgency urgency) const;
  // How long a request of this urgency would wait, by the rate at which waiting
  // requests were given servers lately.
  [[nodiscard]] Duration ExpectedWait(Urgency urgency, TimePoint now) const;
  [[nodiscard]] std::size_t size() const { return this->places.size(); }

 private:
  // Urgency, latest beginning, order of arrival.
  using Place = std::tuple<Urgency, TimePoint, RequestId>;

  std::map<Place, RequestId> order;
  std::map<RequestId, Place> places;
  std::deque<TimePoint> admissions;
};

}  // namespace rosemarycove
