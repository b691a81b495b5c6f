// The operators' configuration of routes, services and customers' API keys.
// Used by the proxy (src/proxy).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// The form of a route's responses, and whether its requests may be executed
// more than once.
enum class RouteKind : std::uint8_t {
  // Server-sent events (SSE) with ids. A stream that broke off may be continued
  // by another server only if the route is resumable.
  kStream,
  kRepeatable,  // A single response; may be executed more than once.
  kOnce,        // A single response; must be executed at most once.
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
  // Maximum time from arrival to the end of the response; the caller can ask
  // for a shorter one.
  Duration timeout = std::chrono::seconds(60);
  // Objective for the time from arrival to the first event of a stream, or to
  // the response of other kinds.
  Duration target = std::chrono::seconds(1);
  // Objective for the longest pause between events of a stream; nullopt if
  // there is none.
  std::optional<Duration> gap_target;
  // Priority; smaller numbers are more important, starting at 0.
  int tier = 0;
  // Maximum number of attempts that may have been executed; attempts that were
  // certainly not executed do not count.
  int max_attempts = 1;
  // True if callers need no API key.
  bool allows_anonymous = false;
  // True if another backend server can resume a stream after its last event.
  bool is_resumable = false;

  [[nodiscard]] std::vector<std::string> ServiceNames() const;
  // Returns whether a request that may have been executed may be sent again.
  [[nodiscard]] bool MayRepeat() const {
    return this->kind == RouteKind::kRepeatable ||
           (this->kind == RouteKind::kStream && this->is_resumable);
  }
};

// How many engines of a service may be ordered, and what they cost.
struct EngineScaling {
  // Engines per data centre, of both kinds together.
  int min_engines = 0;
  int max_engines = 0;
  // Time from an order until the new engine serves.
  Duration boot_time = std::chrono::seconds(4);
  // The price of an engine that the platform may take away, relative to one
  // that stays; nullopt if there is no such kind.
  std::optional<double> reclaimable_price;
  // The price of an engine's second. Engines can be ordered in other data
  // centres too if they have some; the price there is 1.
  std::map<std::string, double> price_by_data_centre;

  bool operator==(const EngineScaling&) const = default;
};

// A service: a set of equivalent backend servers.
struct RoutedService {
  std::string name;
  // Connections that one backend server accepts from all instances together.
  int max_connections = 64;
  // Requests that an engine (a backend server that runs a model) processes in a
  // batch; 0 for a plain service. The placement does not use the number, but
  // RegisteredServer::slots, which each server declares for itself.
  int batch_slots = 0;
  // Tokens of prompts and responses that the KV cache of one engine holds; 0 if
  // unknown.
  int kv_capacity_tokens = 0;
  // Tokens in one event of a stream; 0 if unknown.
  int tokens_per_event = 0;
  // nullopt if no engines can be ordered.
  std::optional<EngineScaling> scaling = {};

  [[nodiscard]] bool IsModel() const { return this->batch_slots > 0; }
};

// Limits on the size and duration of requests from callers.
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{4} << 20U;
  // Maximum time to receive the header of a request.
  Duration header_timeout = std::chrono::seconds(3);
  // Maximum time without reading or writing data, also between two requests.
  Duration idle_timeout = std::chrono::seconds(15);
};

// The customer to whom an API key belongs.
struct KeyHolder {
  std::string customer;
  // Replaces the route's tier; nullopt if the customer has none.
  std::optional<int> tier;
};

// One version of the configuration. It is immutable after BuildIndexes and
// shared by the requests that started with it.
struct RoutingConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  CallerLimits limits;
  // True if requests need an API key, except on routes that allow anonymous
  // callers.
  bool requires_keys = false;
  // By API key.
  std::unordered_map<std::string, KeyHolder> holder_by_key;
  // The largest tier number of routes and customers, which is the least
  // important tier; set by BuildIndexes.
  int max_tier = 0;

  // Builds the indexes for the functions below. Call it once, after all other
  // members are set.
  void BuildIndexes();

  // Returns the route of the host with the longest matching path prefix, or
  // null.
  [[nodiscard]] const Route* FindRoute(std::string_view host,
                                       std::string_view path) const;
  // Returns the longest timeout of the routes for streams; zero if there is
  // none.
  [[nodiscard]] Duration LongestStreamTimeout() const;
  // Returns the named service, or null.
  [[nodiscard]] const RoutedService* FindService(std::string_view name) const;
  // Returns the shortest target of the service's streams, or nullopt if it has
  // no streams.
  [[nodiscard]] std::optional<Duration> ShortestTarget(
      const std::string& service) const;
  // Returns the smallest tier number of the service's routes; 0 if it has none.
  [[nodiscard]] int MostUrgentTier(const std::string& service) const;
  // Returns whether the route's streams tolerate pauses that would make other
  // streams of the service late: its gap target is at least twice the shortest
  // one of the service, or it is longer than that one and the route's prompts
  // are so long that their prefill would pause the other streams of an engine.
  [[nodiscard]] bool ToleratesPauses(const Route& route,
                                     const std::string& service,
                                     int typical_prompt_tokens) const;

 private:
  // Indices of routes by host in lower case, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
  std::unordered_map<std::string, std::size_t> service_indices;
  // The shortest target and gap target of each service's streams.
  std::unordered_map<std::string, Duration> shortest_targets;
  std::unordered_map<std::string, int> most_urgent_tiers;
  std::unordered_map<std::string, Duration> shortest_gap_targets;
};

}  // namespace rosemarycove
