// The queue of the proxy's requests that wait for capacity. (A Node uses
// TieredQueue.)
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <tuple>
#include <vector>

#include "core/types.h"
#include "core/urgency.h"

namespace rosemarycove {

// What a queued request waits for.
enum class WaitReason : std::uint8_t {
  kCapacity,  // No server has capacity for it.
  // Its affinity server. Other servers have capacity, so requests behind it
  // need not wait.
  kAffinity,
  // A server of the software that it requires. Others may have capacity, so
  // requests behind it need not wait.
  kSoftware,
};

// Orders waiting requests by urgency, then by latest start, and predicts how
// long a new request would wait. Part of PlacementQueues.
class PlacementQueue {
 public:
  // Adds a request. `latest_start` is the latest start at which it is expected
  // to meet its target.
  void Add(RequestId id, Urgency urgency, TimePoint latest_start,
           WaitReason reason = WaitReason::kCapacity);
  // Changes what a queued request waits for.
  void SetReason(RequestId id, WaitReason reason);
  // Removes a request. `admitted` says whether it was placed on a server, for
  // the admission rate.
  void Remove(RequestId id, bool admitted, TimePoint now);
  // Returns the ids of all waiting requests in the order in which they are to
  // be placed.
  [[nodiscard]] std::vector<RequestId> OrderedIds() const;
  // Returns whether a request more urgent than `urgency` waits for capacity.
  [[nodiscard]] bool HasMoreUrgent(Urgency urgency) const;
  // Returns the number of requests that wait for capacity and are at least as
  // urgent as `urgency`.
  [[nodiscard]] int CountAhead(Urgency urgency) const;
  // Returns how long a new request would wait, from the number of requests
  // ahead of it and the recent rate of admissions.
  [[nodiscard]] Duration ExpectedWait(Urgency urgency, TimePoint now) const;
  [[nodiscard]] std::size_t size() const { return this->position_by_id.size(); }

 private:
  // Urgency, latest start, and the id, which increases in order of arrival.
  using Position = std::tuple<Urgency, TimePoint, RequestId>;

  std::map<Position, WaitReason> order;
  std::map<RequestId, Position> position_by_id;
  // Times of the recent admissions, oldest first.
  std::deque<TimePoint> admissions;
};

}  // namespace rosemarycove
