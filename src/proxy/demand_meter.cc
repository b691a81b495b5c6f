#include "proxy/demand_meter.h"

#include <algorithm>
#include <limits>

#include "proxy/proxy_context.h"

namespace rosemarycove {
namespace {

bool CanOrderEngines(const PlacementQuery& query) {
  return query.service != nullptr && query.service->scaling.has_value();
}

bool IsUrgent(const RoutingConfiguration& configuration,
              const PlacementQuery& query) {
  return query.tier <= configuration.MostUrgentTier(query.service->name);
}

}  // namespace

void RecordAttemptDemand(ProxyContext& context,
                         const RoutingConfiguration& configuration,
                         const EndedAttempt& attempt, TimePoint now) {
  if (!CanOrderEngines(attempt.query)) {
    return;
  }
  context.demand.RecordAttempt(
      attempt.query.service->name,
      {.is_urgent = IsUrgent(configuration, attempt.query),
       .slots = attempt.choice.server.slots,
       .inputs = attempt.choice.latency_inputs,
       .first_event = attempt.first_event,
       .running = attempt.running},
      now);
}

void RecordRefusedDemand(ProxyContext& context,
                         const RoutingConfiguration& configuration,
                         const PlacementQuery& query, TimePoint now) {
  if (!CanOrderEngines(query)) {
    return;
  }
  // All parts but the last are shared with other requests.
  const int own_tokens =
      query.parts.empty() ? query.prompt_tokens : query.parts.back().tokens;
  context.demand.RecordRefusal(query.service->name,
                               IsUrgent(configuration, query), own_tokens, now);
}

bool HasOrderableEngines(const ProxyContext& context) {
  return context.configuration &&
         std::any_of(context.configuration->services.begin(),
                     context.configuration->services.end(),
                     [](const RoutedService& service) {
                       return service.scaling.has_value();
                     });
}

std::vector<EngineDemand> MeasureDemand(const ProxyContext& context,
                                        TimePoint now) {
  std::vector<EngineDemand> all;
  if (!context.configuration) {
    return all;
  }
  for (const RoutedService& service : context.configuration->services) {
    if (!service.scaling) {
      continue;
    }
    WaitingRequests waiting;
    const auto queues = context.placement_queues.all().find(service.name);
    if (queues != context.placement_queues.all().end()) {
      const Urgency least{
          .tier = context.configuration->MostUrgentTier(service.name),
          .route_tier = std::numeric_limits<int>::max()};
      const Urgency any{.tier = std::numeric_limits<int>::max(),
                        .route_tier = std::numeric_limits<int>::max()};
      for (const PlacementQueue* queue :
           {&queues->second.reserved, &queues->second.unreserved}) {
        const int urgent = queue->CountAhead(least);
        waiting.urgent += urgent;
        waiting.other += queue->CountAhead(any) - urgent;
      }
    }
    all.push_back(context.demand.Measure(service.name, waiting, now));
  }
  return all;
}

}  // namespace rosemarycove
