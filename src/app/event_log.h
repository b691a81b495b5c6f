// Structured log events with stable numbers.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>

#include "app/settings.h"

namespace spdlog {
class logger;
namespace details {
class thread_pool;
}
}  // namespace spdlog

namespace rosemarycove {

// Every event that an instance logs. docs/EVENTS.md describes each one, and a
// test compares it with the catalogue. Numbers are never reused.
enum class LogEvent : std::uint16_t {
  kStarted = 1001,
  kReady = 1002,
  kDrainStarted = 1003,
  kStopped = 1004,
  kDrainCutOff = 1005,
  kListenFailed = 1006,
  kSettingsReloaded = 1007,
  kSettingsRefused = 1008,
  kLinesDropped = 1009,
  kRequestEnded = 2001,
  kCallEnded = 2002,
  kRequestUnanswered = 2003,
  kRequestStopped = 2004,
  kConnectionsClosed = 2005,
  kPlaced = 3001,
  kAttemptBroken = 3002,
  kSlotTaken = 3003,
  kCallPlaced = 3004,
  kAttemptFailed = 3005,
  kCallRelayed = 3006,
  kPeerUp = 6001,
  kPeerDown = 6002,
  kPeerRefused = 6003,
  kConfigurationInForce = 4001,
  kConfigurationRefused = 4002,
  kStoreUnavailable = 4003,
  kStoreAvailable = 4004,
  kChangeAccepted = 4005,
  kConfigurationOverdue = 4006,
  kConfigurationSent = 4007,
  kConfigurationUpdateRefused = 4008,
  kLoadReportMissing = 5001,
  kServerChanged = 5002,
  kServerEjected = 5003,
  kDataCentresSuspected = 5004,
  kQuarantine = 5005,
  kPartitionChanged = 5006,
  kServerLimit = 5007,
  kServerLimitUnreadable = 5008,
  kServerLeaving = 5012,
  kServerPause = 5013,
  kServerPauseUnreadable = 5014,
  kServiceReach = 5015,
  kServerBrittle = 5016,
  kServerBrittleUnreadable = 5017,
  kServerSlowdownUnreadable = 5018,
  kDutyTaken = 7001,
  kDutyLost = 7002,
  kDutyHandedOver = 7003,
  kDutyClaimRefused = 7004,
  kDutyCallFailed = 7005,
  kUsageReported = 7011,
  kUsageMissed = 7012,
  kUsageIncomplete = 7013,
  kEnginesOrdered = 7101,
  kEngineOrderEnded = 7102,
};

// Severity of an event.
enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

// An entry of the event catalogue.
struct LogEventInfo {
  LogEvent event;
  std::string_view name;
  LogLevel level;
};

// All events, grouped as in LogEvent.
std::span<const LogEventInfo> LogCatalogue();

// The fields of one log line, in output order.
using LogFields = nlohmann::ordered_json;

// Writes events to standard output, one line each. Thread-safe. A background
// thread writes the lines from a bounded queue. When the queue is full, the
// oldest lines are dropped and counted, so that logging never blocks a caller.
class EventLog {
 public:
  EventLog(std::string instance, LogFormat format, const std::string& level);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Queues one event for writing. No field may contain a customer's key.
  void Write(LogEvent event, const LogFields& fields);
  // Number of lines dropped because the queue was full.
  [[nodiscard]] std::uint64_t dropped() const;
  // Requests that the queued lines be written out.
  void Flush();

 private:
  std::string instance;
  LogFormat format;
  // Owns the queue and its writing thread. spdlog's logger keeps only a weak
  // reference to it.
  std::shared_ptr<spdlog::details::thread_pool> thread_pool;
  std::shared_ptr<spdlog::logger> logger;
};

// One log line in the given format, without time and level.
std::string FormatEvent(LogEvent event, const LogFields& fields,
                        LogFormat format);

}  // namespace rosemarycove
