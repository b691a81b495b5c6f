// State shared by all requests of one instance.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "core/admission.h"
#include "core/backend_directory.h"
#include "core/capacity_demand.h"
#include "core/fleet_retry_budget.h"
#include "core/placement_queues.h"
#include "core/placer.h"
#include "core/prompt_sizes.h"
#include "core/relay_selector.h"
#include "core/request_durations.h"
#include "core/request_quarantine.h"
#include "core/routing_configuration.h"
#include "core/shutdown_schedule.h"
#include "core/software_history.h"
#include "core/stream_origins.h"
#include "proxy/body_budget.h"
#include "proxy/call_dialect.h"
#include "proxy/connection_pool.h"
#include "proxy/proxy_observer.h"

namespace rosemarycove {

class Exchange;

// Used on the event loop's thread only. Owned by the gateway; the referenced
// objects must outlive it.
struct ProxyContext {
  boost::asio::io_context& io;
  const CallDialect& dialect;
  BackendDirectory& directory;
  Placer& placer;
  RequestQuarantine& quarantine;
  SoftwareHistory& software_history;
  StreamOrigins& stream_origins;
  FleetRetryBudget& retry_budget;
  RelaySelector& relays;
  ConnectionPool& pool;
  ProxyObserver& observer;
  // The name and the data centre of this instance.
  std::string instance = {};
  std::string data_centre = {};
  // The directory lacks no server that other instances used at this time.
  TimePoint directory_current_at = {};
  // Null before the first one is read. A request uses the same configuration
  // from start to end.
  std::shared_ptr<const RoutingConfiguration> configuration;
  PromptSizes prompt_sizes = {};
  RequestDurations durations = {};
  // For the services whose engines can be ordered.
  CapacityDemand demand = {};
  // Requests that wait for capacity, and their exchanges by id.
  PlacementQueues placement_queues = {};
  AdmissionController admission = AdmissionController{};
  std::unordered_map<RequestId, Exchange*> waiting_requests = {};
  RequestId next_request_id = 1;
  // The instance is stopping; responses ask callers to close their connections.
  bool is_draining = false;
  // Which requests are still handled until the process exits.
  ShutdownSchedule shutdown = {};
  // The memory that callers and servers make this process hold.
  BodyBudget body_budget{std::size_t{64} << 20U};
  std::mt19937_64 random{std::random_device()()};
};

}  // namespace rosemarycove
