// The resources that operators declare, and their validation as one set.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// What is done with a waiting request that can no longer meet its target.
enum class LatePolicy : std::uint8_t {
  kServe,   // It yields to work that is on time, and is served after it.
  kRefuse,  // It is refused at once, as not run.
};

// What a service's backend servers do.
enum class ServiceKind : std::uint8_t {
  kModel,  // Streams of tokens, batched continuously.
  kPlain,  // Ordinary request and response.
};

// Whether a backend server checks the fencing number of an order.
enum class FencingSupport : std::uint8_t { kUnknown, kRejectsStale, kIgnores };

// A request meets its class's target when it meets every part that is set.
struct LatencyTarget {
  // From arrival to the first token of the answer.
  std::optional<Duration> first_token;
  // Mean time between the tokens of the answer.
  std::optional<Duration> between_tokens;
  // From arrival to the end of the answer.
  std::optional<Duration> whole;
};

// A latency target with a priority, to which customers are bound.
struct RequestClass {
  std::string name;
  // 1 is served first.
  int tier = 1;
  LatencyTarget target;
  // A request that waits longer than this is refused as not run.
  Duration max_wait = std::chrono::seconds(60);
  LatePolicy late_policy = LatePolicy::kServe;
  // Share of a pool's dispatched tokens that the class gets under overload
  // from the tiers above; 0 to 0.2.
  double guaranteed_share = 0;
  // Requests waiting or running at one instance; 0 is no limit.
  int max_in_flight = 0;
  // Whether a call may be sent again after its answer was lost.
  bool repeatable = true;
};

// Who sends requests.
struct Customer {
  std::string name;
  // SHA-256 of the customer's key, in lower-case hexadecimal.
  std::string key_hash;
  // Classes that the customer may use.
  std::vector<std::string> classes;
  // The class of a request that names none; one of `classes`.
  std::string default_class;
  // Share of a tier relative to the other customers.
  double weight = 1;
  // Requests waiting or running at one instance; 0 is no limit.
  int max_in_flight = 0;
};

// A group of backend servers that can do the same work.
struct Service {
  std::string name;
  ServiceKind kind = ServiceKind::kModel;
  // Models that the service offers; empty for a plain service.
  std::vector<std::string> models;
  // False where no call may be sent twice, whatever its class says.
  bool repeatable = true;
};

// One backend server: a model engine or a server of a plain service.
struct Backend {
  std::string name;
  std::string service;
  // IP number and port.
  std::string address;
  std::string data_centre;
  // Models that it serves; empty means all of its service.
  std::vector<std::string> models;
  // Requests that it takes at the same time.
  int max_streams = 64;
  // Time between tokens at a batch of n is base + n * per_stream. Starting
  // values; the scheduler corrects them by what it observes.
  Duration token_time_base = std::chrono::milliseconds(20);
  Duration token_time_per_stream = std::chrono::microseconds(500);
  // Prompt tokens a second.
  double prefill_rate = 8000;
  FencingSupport fencing_support = FencingSupport::kUnknown;
  // Set by an operator: nothing new is sent to it.
  bool leaving = false;
};

// Bounds of one instance, and the weighing of its aims.
struct Limits {
  // Requests waiting in one pool, beside the places kept for each class.
  int max_waiting = 10000;
  // 1 keeps batches small for latency, 0 lets them grow for goodput.
  double attainment_weight = 0.5;
  // Share of requests that may be sent again after a lost answer.
  double retry_ratio = 0.1;
  // Largest body of a caller's request, in bytes.
  int max_body = 1 << 20;
};

// Everything that operators declare, as one consistent whole.
struct ResourceSet {
  // Grows with each accepted change; 0 is the set from the settings file.
  std::uint64_t revision = 0;
  std::vector<RequestClass> classes;
  std::vector<Customer> customers;
  std::vector<Service> services;
  std::vector<Backend> backends;
  Limits limits;
};

// One fault in a resource set: which resource and field, and what is allowed.
struct ResourceError {
  std::string kind;
  std::string name;
  std::string field;
  std::string message;
};

// Sum of the guaranteed shares of all classes must not exceed this.
inline constexpr double kMaxGuaranteedShares = 0.5;

// Checks ranges, uniqueness and references. Empty when the set is sound.
std::vector<ResourceError> Validate(const ResourceSet& resources);

// Returns the named element, or null.
const RequestClass* FindClass(const ResourceSet& resources,
                              std::string_view name);
const Service* FindService(const ResourceSet& resources, std::string_view name);

}  // namespace rosemarycove
