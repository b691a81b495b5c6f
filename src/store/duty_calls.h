// The calls to the platform that one instance at a time makes for the fleet.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "core/duty_grant.h"
#include "core/types.h"

namespace rosemarycove {

// The requests that began to run in one window of true time.
struct UsageReport {
  // Window k begins k times the window's length after the start of 1970.
  std::int64_t window = 0;
  std::map<std::string, std::uint64_t> requests_by_customer;

  bool operator==(const UsageReport&) const = default;
};

// The number of engines of one kind that a service is to have in a data centre.
struct EngineOrder {
  std::string service;
  std::string data_centre;
  int engine_count = 0;
  // The cheaper kind, whose engines the platform may take away, all those of a
  // data centre at once.
  bool is_reclaimable = false;

  bool operator==(const EngineOrder&) const = default;
};

enum class DutyCallResult : std::uint8_t {
  kAccepted,
  // The platform has seen a higher token, or, for an order, has no engines of
  // the kind. The response doesn't tell which.
  kRejected,
  kThrottled,  // Too many calls; nothing was done.
  kNotSent,    // No byte of the call was written.
  kUnknown,    // The call may have been executed, or may be executed later.
};

// There is at most one call at a time. `done` is called exactly once, on the
// event loop, after the call has returned, unless the call is cancelled.
class DutyCalls {
 public:
  using Done = std::function<void(DutyCallResult)>;

  virtual ~DutyCalls() = default;
  virtual void SendUsage(const DutyGrant& grant, const UsageReport& report,
                         Done done) = 0;
  virtual void SendOrder(const DutyGrant& grant, const EngineOrder& order,
                         Done done) = 0;
  [[nodiscard]] virtual bool is_busy() const = 0;
  virtual void Cancel() = 0;
  // Fails the call in progress with kUnknown if it has timed out.
  virtual void Tick(TimePoint now) = 0;
};

}  // namespace rosemarycove
