// The operators' configuration of routes, services and customers' keys.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// How the answers of a route arrive, and whether its requests may run twice.
enum class RouteKind : std::uint8_t {
  kStream,      // A series of numbered events.
  kRepeatable,  // May run more than once.
  kOnce,        // Runs at most once.
};

// Returns the word that logs use.
std::string_view ToString(RouteKind kind);

// One of the services that share a route's requests.
struct WeightedService {
  std::string service;
  // Share of the requests, relative to the other services of the route.
  int weight = 1;
};

// Where requests for one host and path prefix are sent, and their service
// objectives.
struct Route {
  std::string name;
  // Without a port; matched regardless of case.
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kOnce;
  std::vector<WeightedService> services;
  // A request that is not answered within this time fails.
  Duration timeout = std::chrono::seconds(60);
  // Objective for the time to the answer, or to the first event of a stream.
  Duration target = std::chrono::seconds(1);
  // Objective for the longest pause between events of a stream; absent if there
  // is none.
  std::optional<Duration> gap_target;
  // Priority; 0 is served first.
  int tier = 0;
  // The maximum number of backend servers on which one request may run.
  int max_attempts = 1;
  // Callers need no key.
  bool allows_anonymous = false;
  // Another backend server may resume a stream after its last event.
  bool is_resumable = false;

  // Returns whether a request that may have run can be sent again.
  [[nodiscard]] bool MayRepeat() const {
    return this->kind == RouteKind::kRepeatable ||
           (this->kind == RouteKind::kStream && this->is_resumable);
  }
};

// A group of backend servers that can do the same work.
struct RoutedService {
  std::string name;
  // Connections that one backend server accepts from all instances together.
  int max_connections = 64;
  // Requests that one model engine processes in a batch; 0 for a plain service.
  int batch_slots = 0;
  // Tokens of prompts and answers that the KV cache of one model engine holds;
  // 0 if unknown.
  int kv_capacity_tokens = 0;
  // Tokens in one event of a stream; 0 if unknown.
  int tokens_per_event = 0;

  [[nodiscard]] bool IsModel() const { return this->batch_slots > 0; }
};

// Limits on the size and duration of requests from callers.
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{4} << 20U;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

// The customer to whom a key belongs.
struct KeyHolder {
  std::string customer;
  // Replaces the route's tier; absent if the customer has none.
  std::optional<int> tier;
};

// One version of the configuration. It is immutable after BuildIndexes and
// shared by the requests that started with it.
struct RoutingConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  CallerLimits limits;
  // Requests need a key, except on routes that allow anonymous callers.
  bool requires_keys = false;
  std::unordered_map<std::string, KeyHolder> holder_by_key;
  // The highest tier of routes and customers; set by BuildIndexes.
  int max_tier = 0;

  // Builds the indexes for the functions below. Call it once, after all other
  // members are set.
  void BuildIndexes();

  // Returns the route of the host with the longest matching path prefix, or
  // null.
  [[nodiscard]] const Route* FindRoute(std::string_view host,
                                       std::string_view path) const;
  // Returns the named service, or null.
  [[nodiscard]] const RoutedService* FindService(std::string_view name) const;
  // Returns the shortest target of the service's streams, or nothing if it has
  // no streams.
  [[nodiscard]] std::optional<Duration> ShortestTarget(
      const std::string& service) const;
  // Returns whether the route's streams tolerate pauses that would make other
  // streams of the service late.
  [[nodiscard]] bool ToleratesPauses(const Route& route,
                                     const std::string& service) const;

 private:
  // Indices of routes by host in lower case, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
  std::unordered_map<std::string, std::size_t> service_indices;
  // The shortest target and gap target of each service's streams.
  std::unordered_map<std::string, Duration> shortest_targets;
  std::unordered_map<std::string, Duration> shortest_gap_targets;
};

}  // namespace rosemarycove
