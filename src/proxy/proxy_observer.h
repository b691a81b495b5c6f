// Events of the data path for logs and metrics.
#pragma once

#include <cstdint>
#include <string>

#include "core/actions.h"
#include "core/placer.h"
#include "core/types.h"

namespace rosemarycove {

// A request was assigned to a backend server.
struct PlacedRecord {
  std::string request_id;
  std::string route;
  std::string customer;
  int tier = 0;
  int attempt = 0;
  ServerChoice choice;
  // Age of the decision's inputs.
  Duration ledger_age{};
  Duration directory_age{};
  std::uint64_t directory_revision = 0;
  std::uint64_t configuration_version = 0;
  bool reused_connection = false;
};

// What follows a failed attempt.
enum class NextStep : std::uint8_t { kAnotherServer, kGiveUp };

// An attempt ended without a response that was forwarded to the caller.
struct AttemptFailedRecord {
  std::string request_id;
  int attempt = 0;
  std::string server;
  std::string result;
  std::string reason;
  Duration elapsed{};
  bool may_have_executed = false;
  NextStep next = NextStep::kGiveUp;
  std::string next_reason;
};

// A request ended. Reported exactly once per request.
struct EndedRecord {
  std::string request_id;
  std::string route;
  std::string service;
  std::string customer;
  int tier = 0;
  Outcome outcome = Outcome::kFailed;
  EndCause cause = EndCause::kAnswered;
  ExecutionStatus execution = ExecutionStatus::kNotExecuted;
  int status = 0;
  int attempts = 0;
  std::string server;
  // From arrival to the first event; zero if there was none.
  Duration time_to_first_event{};
  // From arrival to the end.
  Duration total_time{};
  int event_count = 0;
  Duration retry_after{};
  bool on_target = false;
  // How many servers had no capacity for the request, by reason, at the
  // last attempt to place it.
  CapacityLimitCounts no_capacity_counts{};
  std::uint64_t configuration_version = 0;
};

// A server was ejected after failures, for this duration.
struct EjectedRecord {
  std::string server;
  std::string service;
  std::string result;
  Duration duration{};
};

// Receives the events on the event loop's thread; must not block.
class ProxyObserver {
 public:
  virtual ~ProxyObserver() = default;
  virtual void OnPlaced(const PlacedRecord& record) = 0;
  virtual void OnAttemptFailed(const AttemptFailedRecord& record) = 0;
  virtual void OnEnded(const EndedRecord& record) = 0;
  virtual void OnEjected(const EjectedRecord& record) = 0;
};

}  // namespace rosemarycove
