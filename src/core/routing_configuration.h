// What operators declare about routes, services and customers' keys.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// How the answers of a route come, and what may be sent twice.
enum class RouteKind : std::uint8_t {
  kStream,      // A series of numbered events.
  kRepeatable,  // May run more than once.
  kOnce,        // Runs at most once.
};

// Returns the lower-case word that logs use.
std::string_view ToString(RouteKind kind);

// One of the services that share a route's requests.
struct WeightedService {
  std::string service;
  // Relative to the other shares of the route.
  int weight = 1;
};

// Where requests of one host and path prefix go, and what they are promised.
struct Route {
  std::string name;
  // In lower case, without a port.
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kOnce;
  std::vector<WeightedService> services;
  // A request that is still unanswered after this gets its final answer.
  Duration timeout = std::chrono::seconds(60);
  // Time to the answer, or to the first event of a stream.
  Duration target = std::chrono::seconds(1);
  // Longest pause between events that still counts as on time.
  std::optional<Duration> gap_target;
  // 0 is served first.
  int tier = 0;
  // Backend servers to which one request may be sent.
  int max_attempts = 1;
  // Whether callers need no key.
  bool allows_anonymous = false;
  // Whether a stream may go on at another backend server.
  bool is_resumable = false;

  // Whether a request that may have run can be sent again from its start.
  [[nodiscard]] bool MayRepeat() const {
    return this->kind == RouteKind::kRepeatable ||
           (this->kind == RouteKind::kStream && this->is_resumable);
  }
};

// A group of backend servers that can do the same work.
struct RoutedService {
  std::string name;
  // Connections that one backend server takes from all instances together.
  int max_connections = 64;
  // Requests that one model engine batches; 0 for a plain service.
  int batch_slots = 0;
  // Tokens of prompts and answers that one model engine holds; 0 is unknown.
  int kv_capacity_tokens = 0;
  // Tokens in one event of a stream; 0 is unknown.
  int tokens_per_event = 0;

  [[nodiscard]] bool IsModel() const { return this->batch_slots > 0; }
};

// What a caller may send, and how long it may take.
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{4} << 20U;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

// The customer that holds a key.
struct KeyHolder {
  std::string customer;
  // Takes precedence over the route's tier.
  std::optional<int> tier;
};

// One version of everything above; never changed once built.
struct RoutingConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  CallerLimits limits;
  // Whether requests need a key, on routes that are not open.
  bool requires_keys = false;
  std::unordered_map<std::string, KeyHolder> holder_by_key;
  // The highest tier of routes and customers; known once indexed.
  int max_tier = 0;

  // Builds what the look-ups below need; call once, when all is filled in.
  void BuildIndexes();

  // The route of the host with the longest prefix of the path, or null.
  [[nodiscard]] const Route* FindRoute(std::string_view host,
                                       std::string_view path) const;
  // The named service, or null.
  [[nodiscard]] const RoutedService* FindService(std::string_view name) const;
  // The shortest target of the service's streams; nothing without streams.
  [[nodiscard]] std::optional<Duration> ShortestTarget(
      const std::string& service) const;
  // Whether the route's streams bear pauses that would make other streams of
  // the service late.
  [[nodiscard]] bool ToleratesPauses(const Route& route,
                                     const std::string& service) const;

 private:
  // Indices of routes, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
  std::unordered_map<std::string, std::size_t> service_by_name;
  // By service, the shortest target and gap target of its streams.
  std::unordered_map<std::string, Duration> shortest_targets;
  std::unordered_map<std::string, Duration> shortest_gaps;
};

}  // namespace rosemarycove
