#include "core/request_durations.h"

#include <algorithm>

namespace rosemarycove {
namespace {

constexpr double kLongQuantile = 0.95;
constexpr double kMedianQuantile = 0.5;
// Upper bound of the time that a route without observations is assumed to take;
// for streams, whose target is that of the first event, the time itself.
constexpr Duration kDefaultDuration = std::chrono::seconds(2);
// Longer requests are recorded with this time, which exceeds every shutdown.
constexpr Duration kMaxDuration = std::chrono::minutes(2);
// Routes that are gone are dropped above this number.
constexpr std::size_t kMaxRoutes = 10'000;

}  // namespace

void RequestDurations::Observe(const Route& route, Duration duration) {
  if (this->by_route.size() >= kMaxRoutes &&
      !this->by_route.contains(route.name)) {
    this->by_route.clear();
  }
  this->by_route[route.name].Observe(static_cast<int>(
      ToMilliseconds(std::clamp(duration, Duration{}, kMaxDuration))));
}

Duration RequestDurations::LongTime(const Route& route) const {
  return this->Quantile(route, kLongQuantile);
}

Duration RequestDurations::MedianTime(const Route& route) const {
  return this->Quantile(route, kMedianQuantile);
}

Duration RequestDurations::Quantile(const Route& route, double quantile) const {
  const auto found = this->by_route.find(route.name);
  if (found == this->by_route.end()) {
    return route.kind == RouteKind::kStream
               ? kDefaultDuration
               : std::min(route.target, kDefaultDuration);
  }
  return FromSeconds(found->second.Quantile(quantile) / 1000);
}

}  // namespace rosemarycove
