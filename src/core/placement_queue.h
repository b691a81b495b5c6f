// The queue of the requests that wait for capacity.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <tuple>
#include <vector>

#include "core/types.h"
#include "core/urgency.h"

namespace rosemarycove {

// Orders the waiting requests of one service at one instance by urgency, then
// by when they must start to be on time, and predicts how long a new request
// would wait. The proxy owns one queue per service and uses it on its event
// loop.
class PlacementQueue {
 public:
  // Adds a request that has to start by `latest_start` to be on time.
  void Add(RequestId id, Urgency urgency, TimePoint latest_start);
  // Removes a request; `admitted` if it was placed on a server.
  void Remove(RequestId id, bool admitted, TimePoint now);
  // Returns all waiting requests in the order in which to try them.
  [[nodiscard]] std::vector<RequestId> OrderedIds() const;
  // Returns whether a more urgent request is waiting.
  [[nodiscard]] bool HasMoreUrgent(Urgency urgency) const;
  // Returns how long a new request would wait, given how many at least as
  // urgent requests are waiting and the recent rate of admissions.
  [[nodiscard]] Duration ExpectedWait(Urgency urgency, TimePoint now) const;
  [[nodiscard]] std::size_t size() const { return this->position_by_id.size(); }

 private:
  // Urgency, latest start, and the id, which grows in order of arrival.
  using Position = std::tuple<Urgency, TimePoint, RequestId>;

  std::map<Position, RequestId> order;
  std::map<RequestId, Position> position_by_id;
  // Times of the recent admissions, oldest first.
  std::deque<TimePoint> admissions;
};

}  // namespace rosemarycove
