#include "core/placement_queue.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// The admission rate is measured over this time: long enough to contain several
// admissions, short enough to follow a burst.
constexpr Duration kRateWindow = std::chrono::milliseconds(1000);
// Lower bound of the assumed rate, in admissions per second: running requests
// end and free capacity even if none was admitted recently.
constexpr double kMinRate = 4;

}  // namespace

void PlacementQueue::Add(RequestId id, Urgency urgency, TimePoint latest_start,
                         WaitReason reason) {
  const Position position{urgency, latest_start, id};
  this->order.emplace(position, reason);
  this->position_by_id.emplace(id, position);
}

void PlacementQueue::SetReason(RequestId id, WaitReason reason) {
  const auto found = this->position_by_id.find(id);
  if (found != this->position_by_id.end()) {
    this->order[found->second] = reason;
  }
}

void PlacementQueue::Remove(RequestId id, bool admitted, TimePoint now) {
  const auto found = this->position_by_id.find(id);
  if (found == this->position_by_id.end()) {
    return;
  }
  this->order.erase(found->second);
  this->position_by_id.erase(found);
  if (admitted) {
    this->admissions.push_back(now);
  }
  while (!this->admissions.empty() &&
         now - this->admissions.front() > kRateWindow) {
    this->admissions.pop_front();
  }
}

std::vector<RequestId> PlacementQueue::OrderedIds() const {
  std::vector<RequestId> ids;
  ids.reserve(this->order.size());
  for (const auto& [position, reason] : this->order) {
    ids.push_back(std::get<RequestId>(position));
  }
  return ids;
}

bool PlacementQueue::HasMoreUrgent(Urgency urgency) const {
  return std::any_of(this->order.begin(), this->order.end(),
                     [urgency](const auto& item) {
                       return item.second == WaitReason::kCapacity &&
                              std::get<Urgency>(item.first) < urgency;
                     });
}

int PlacementQueue::CountAhead(Urgency urgency) const {
  return static_cast<int>(std::count_if(
      this->order.begin(), this->order.end(), [urgency](const auto& item) {
        return item.second == WaitReason::kCapacity &&
               !(urgency < std::get<Urgency>(item.first));
      }));
}

Duration PlacementQueue::ExpectedWait(Urgency urgency, TimePoint now) const {
  const auto recent =
      std::count_if(this->admissions.begin(), this->admissions.end(),
                    [now](TimePoint at) { return now - at <= kRateWindow; });
  const double rate =
      std::max(kMinRate, static_cast<double>(recent) / ToSeconds(kRateWindow));
  return FromSeconds(this->CountAhead(urgency) / rate);
}

}  // namespace rosemarycove
