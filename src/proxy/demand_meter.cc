#include "proxy/demand_meter.h"

#include <fmt/format.h>

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

namespace {

WaitingRequests CountWaiting(const ProxyContext& context,
                             const std::string& service) {
  constexpr int kAnyTier = std::numeric_limits<int>::max();
  WaitingRequests waiting;
  const auto queues = context.placement_queues.all().find(service);
  if (queues == context.placement_queues.all().end()) {
    return waiting;
  }
  const Urgency least_urgent{
      .tier = context.configuration->MostUrgentTier(service),
      .route_tier = kAnyTier};
  for (const PlacementQueue* queue :
       {&queues->second.reserved, &queues->second.unreserved}) {
    const int urgent = queue->CountAhead(least_urgent);
    waiting.urgent += urgent;
    waiting.other +=
        queue->CountAhead({.tier = kAnyTier, .route_tier = kAnyTier}) - urgent;
  }
  return waiting;
}

}  // namespace

std::vector<EngineDemand> MeasureDemand(const ProxyContext& context,
                                        TimePoint now) {
  std::vector<EngineDemand> all;
  if (!context.configuration) {
    return all;
  }
  for (const RoutedService& service : context.configuration->services) {
    if (service.scaling) {
      all.push_back(context.demand.Measure(
          service.name, CountWaiting(context, service.name), now));
    }
  }
  return all;
}

void AppendDemandMetrics(std::string& text, const ProxyContext& context,
                         TimePoint now) {
  if (!HasOrderableEngines(context)) {
    return;
  }
  text += "# TYPE rosemarycove_engine_demand gauge\n";
  const auto add = [&](const std::string& service, const char* tier,
                       const DemandPart& part) {
    text += fmt::format(
        "rosemarycove_engine_demand{{service=\"{0}\",tier=\"{1}\","
        "part=\"busy\"}} {2:.6f}\n"
        "rosemarycove_engine_demand{{service=\"{0}\",tier=\"{1}\","
        "part=\"unserved\"}} {3:.6f}\n",
        service, tier, part.busy, part.unserved);
  };
  for (const RoutedService& service : context.configuration->services) {
    if (service.scaling) {
      const EngineDemand demand = context.demand.Measure(
          service.name, CountWaiting(context, service.name), now);
      add(service.name, "urgent", demand.urgent);
      add(service.name, "other", demand.other);
    }
  }
}

}  // namespace rosemarycove
