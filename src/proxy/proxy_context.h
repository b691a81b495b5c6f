// What the requests of one instance share.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "core/backend_directory.h"
#include "core/fleet_retry_budget.h"
#include "core/placer.h"
#include "core/routing_configuration.h"
#include "core/waiting_line.h"
#include "proxy/call_dialect.h"
#include "proxy/connection_pool.h"
#include "proxy/proxy_observer.h"

namespace rosemarycove {

class Exchange;

// Everything is used from the event loop's thread only.
struct ProxyContext {
  boost::asio::io_context& io;
  const CallDialect& dialect;
  BackendDirectory& directory;
  Placer& placer;
  FleetRetryBudget& retry_budget;
  ConnectionPool& pool;
  ProxyObserver& observer;
  // Null before the first one is known. Requests keep the one they began with.
  std::shared_ptr<const RoutingConfiguration> configuration;
  // Requests that wait for room, and who they are.
  std::map<std::string, WaitingLine> waiting_lines = {};
  std::unordered_map<RequestId, Exchange*> waiting_requests = {};
  RequestId next_request_id = 1;
  // Being stopped: callers are told to close.
  bool is_draining = false;
  // Request bodies held in memory, and the bound on them, in bytes.
  std::size_t buffered_body_bytes = 0;
  std::size_t max_buffered_body_bytes = std::size_t{64} << 20U;
  std::mt19937_64 random{std::random_device()()};
};

}  // namespace rosemarycove
