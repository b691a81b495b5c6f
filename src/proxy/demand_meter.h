// Measures the demand of this instance's requests for engines that can be
// ordered.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/engine_demand.h"
#include "core/placer.h"
#include "core/routing_configuration.h"
#include "core/types.h"

namespace rosemarycove {

struct ProxyContext;

// An attempt of a request that has ended.
struct EndedAttempt {
  const PlacementQuery& query;
  const ServerChoice& choice;
  Duration running{};
  std::optional<Duration> first_event;
};

// Both ignore services whose engines can't be ordered.
void RecordAttemptDemand(ProxyContext& context,
                         const RoutingConfiguration& configuration,
                         const EndedAttempt& attempt, TimePoint now);
// The request was refused for lack of capacity.
void RecordRefusedDemand(ProxyContext& context,
                         const RoutingConfiguration& configuration,
                         const PlacementQuery& query, TimePoint now);

// Returns whether the configuration has such a service.
bool HasOrderableEngines(const ProxyContext& context);
// Returns the demand for each service whose engines can be ordered.
std::vector<EngineDemand> MeasureDemand(const ProxyContext& context,
                                        TimePoint now);
// Appends it in the Prometheus text format.
void AppendDemandMetrics(std::string& text, const ProxyContext& context,
                         TimePoint now);

}  // namespace rosemarycove
