#include "core/placement_queue.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// Admissions are counted over this time: long enough for a rate, short enough
// to follow a burst.
constexpr Duration kRateWindow = std::chrono::milliseconds(1000);
// Assumed while there were none: an engine ends a request every so often.
constexpr double kLeastRate = 4;

}  // namespace

void PlacementQueue::Add(RequestId id, Urgency urgency, TimePoint begin_by) {
  const Place place{urgency, begin_by, id};
  this->order.emplace(place, id);
  this->places.emplace(id, place);
}

void PlacementQueue::Remove(RequestId id, bool admitted, TimePoint now) {
  const auto found = this->places.find(id);
  if (found == this->places.end()) {
    return;
  }
  this->order.erase(found->second);
  this->places.erase(found);
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
  for (const auto& [place, id] : this->order) {
    ids.push_back(id);
  }
  return ids;
}

bool PlacementQueue::HasMoreUrgent(Urgency urgency) const {
  return !this->order.empty() &&
         std::get<0>(this->order.begin()->first) < urgency;
}

Duration PlacementQueue::ExpectedWait(Urgency urgency, TimePoint now) const {
  const auto ahead = std::count_if(
      this->order.begin(), this->order.end(), [urgency](const auto& item) {
        return !(urgency < std::get<0>(item.first));
      });
  const auto recent =
      std::count_if(this->admissions.begin(), this->admissions.end(),
                    [now](TimePoint at) { return now - at <= kRateWindow; });
  const double rate = std::max(
      kLeastRate, static_cast<double>(recent) / ToSeconds(kRateWindow));
  return FromSeconds(static_cast<double>(ahead) / rate);
}

}  // namespace rosemarycove
