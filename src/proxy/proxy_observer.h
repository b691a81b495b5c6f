// What the data path reports for logs and metrics.
#pragma once

#include <cstdint>
#include <string>

#include "core/actions.h"
#include "core/placer.h"
#include "core/types.h"

namespace rosemarycove {

// A request was given a backend server.
struct PlacedRecord {
  std::string request;
  std::string route;
  std::string customer;
  int tier = 0;
  int attempt = 0;
  ServerChoice choice;
  // How old the inputs were.
  Duration ledger_age{};
  Duration directory_age{};
  std::uint64_t directory_revision = 0;
  std::uint64_t configuration_version = 0;
  bool reused_connection = false;
};

// What follows a failed attempt.
enum class NextStep : std::uint8_t { kAnotherServer, kGiveUp };

// One sending of a request ended without an answer that the caller got.
struct AttemptFailedRecord {
  std::string request;
  int attempt = 0;
  std::string server;
  std::string result;
  std::string reason;
  Duration elapsed{};
  bool may_have_run = false;
  NextStep next = NextStep::kGiveUp;
  std::string next_reason;
};

// A request's one outcome.
struct EndedRecord {
  std::string request;
  std::string route;
  std::string service;
  std::string customer;
  int tier = 0;
  Outcome outcome = Outcome::kFailed;
  EndCause cause = EndCause::kAnswered;
  Ran ran = Ran::kNo;
  int status = 0;
  int attempts = 0;
  std::string server;
  // From arrival; zero when it did not come to that.
  Duration time_to_first_event{};
  Duration total_time{};
  int event_count = 0;
  Duration retry_after{};
  bool on_target = false;
  // What the servers lacked when it last found none with room.
  RoomLackCounts lacks{};
  std::uint64_t configuration_version = 0;
};

// A server was ejected after failures.
struct EjectedRecord {
  std::string server;
  std::string service;
  std::string result;
  Duration duration{};
};

// Takes the reports; must not block.
class ProxyObserver {
 public:
  virtual ~ProxyObserver() = default;
  virtual void OnPlaced(const PlacedRecord& record) = 0;
  virtual void OnAttemptFailed(const AttemptFailedRecord& record) = 0;
  virtual void OnEnded(const EndedRecord& record) = 0;
  virtual void OnEjected(const EjectedRecord& record) = 0;
};

}  // namespace rosemarycove
