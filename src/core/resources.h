// The resources that operators declare, and the validation of a set of them.
// Used by Node and the operator API.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// Handling of a waiting request that can no longer meet its target.
enum class LatePolicy : std::uint8_t {
  kServe,   // It is served, but after requests that are on time.
  kRefuse,  // It is refused immediately and reported as not executed.
};

// The kind of work that a service's backend servers do.
enum class ServiceKind : std::uint8_t {
  kModel,  // Token streams with continuous batching.
  kPlain,  // Plain requests and responses.
};

// Whether a backend server rejects requests with a stale fencing token.
// Operators declare it; it is stored and returned with the server, and nothing
// in the core depends on it.
enum class FencingSupport : std::uint8_t { kUnknown, kRejectsStale, kIgnores };

// The latency target of a class. A request meets it by meeting every part that
// is set.
struct LatencyTarget {
  // From arrival to the first token of the response.
  std::optional<Duration> first_token;
  // Mean time between the tokens of the response.
  std::optional<Duration> between_tokens;
  // From arrival to the end of the response.
  std::optional<Duration> whole;
};

// A class of requests with a priority and a latency target.
struct RequestClass {
  std::string name;
  // Priority; smaller numbers are more important, starting at 1.
  int tier = 1;
  LatencyTarget target;
  // A request that waits longer than this is refused as not executed.
  Duration max_wait = std::chrono::seconds(60);
  LatePolicy late_policy = LatePolicy::kServe;
  // Fraction of the tokens dispatched to a group of servers that the class gets
  // while more important tiers overload the group; 0 to 0.2.
  double guaranteed_share = 0;
  // Maximum number of requests waiting or running at one instance; 0 if
  // unlimited.
  int max_in_flight = 0;
  // True if a request may be sent again after its response was lost.
  bool repeatable = true;
};

// A sender of requests, identified by an API key.
struct Customer {
  std::string name;
  // SHA-256 of the customer's API key, in lower-case hexadecimal.
  std::string key_hash;
  // Classes that the customer may use.
  std::vector<std::string> classes;
  // The class of requests that name none; one of `classes`.
  std::string default_class;
  // Weight of its fair share within a tier, relative to other customers.
  double weight = 1;
  // Maximum number of requests waiting or running at one instance; 0 if
  // unlimited.
  int max_in_flight = 0;
};

// A service that a set of equivalent backend servers provides.
struct Service {
  std::string name;
  ServiceKind kind = ServiceKind::kModel;
  // Models that the service offers; empty for a plain service.
  std::vector<std::string> models;
  // False if no request may be sent twice, regardless of its class.
  bool repeatable = true;
};

// One backend server: an engine, which runs models, or a server of a plain
// service.
struct Backend {
  std::string name;
  std::string service;
  // IP address and port.
  std::string address;
  std::string data_centre;
  // Models that it serves; empty for all models of its service.
  std::vector<std::string> models;
  // Maximum number of concurrent requests.
  int max_streams = 64;
  // The time between tokens in a batch of n is base + n * per_stream. These are
  // initial values; the scheduler corrects them by the measured speed.
  Duration token_time_base = std::chrono::milliseconds(20);
  Duration token_time_per_stream = std::chrono::microseconds(500);
  // Prompt tokens processed per second.
  double prefill_rate = 8000;
  FencingSupport fencing_support = FencingSupport::kUnknown;
  // True if an operator drains the server: it gets no new requests.
  bool is_draining = false;
};

// Limits of one instance, and the weight of attainment against goodput.
struct Limits {
  // Number of queue positions for each group of servers, besides those reserved
  // for each class.
  int max_waiting = 10000;
  // From 0 to 1: 1 prefers attainment (smaller batches), 0 goodput (larger
  // batches), which is the number of requests on target per second.
  double attainment_weight = 0.5;
  // Retries allowed per request (0.1 = 10 %).
  double retry_ratio = 0.1;
  // Maximum size of the body of a caller's request, in bytes.
  int max_body = 1 << 20;
};

// All resources that operators declare, as one consistent set.
struct ResourceSet {
  // Increases with each accepted change; 0 for the set from the settings file.
  std::uint64_t revision = 0;
  std::vector<RequestClass> classes;
  std::vector<Customer> customers;
  std::vector<Service> services;
  std::vector<Backend> backends;
  Limits limits;
};

// An error in a resource set: the resource, the field and what is allowed.
struct ResourceError {
  std::string kind;
  std::string name;
  std::string field;
  std::string message;
};

// Maximum sum of the guaranteed shares of all classes.
inline constexpr double kMaxGuaranteedShares = 0.5;

// Checks the uniqueness of names and API keys, references between resources and
// the sum of the shares. Returns an empty list if the set is valid.
std::vector<ResourceError> Validate(const ResourceSet& resources);

// Returns the class or the service with this name, or null.
const RequestClass* FindClass(const ResourceSet& resources,
                              std::string_view name);
const Service* FindService(const ResourceSet& resources, std::string_view name);

}  // namespace rosemarycove
