// Structured, numbered log events.
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

// Every event that an instance logs. docs/EVENTS.md explains each; a test
// holds the two together. Numbers are never reused.
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
  kPlaced = 3001,
  kAttemptBroken = 3002,
  kSlotTaken = 3003,
  kCallPlaced = 3004,
  kAttemptFailed = 3005,
  kPeerUp = 6001,
  kPeerDown = 6002,
  kPeerRefused = 6003,
  kConfigurationInForce = 4001,
  kConfigurationRefused = 4002,
  kStoreUnavailable = 4003,
  kStoreAvailable = 4004,
  kChangeAccepted = 4005,
  kLoadReportMissing = 5001,
  kServerChanged = 5002,
  kServerEjected = 5003,
  kDataCentresSuspected = 5004,
};

// How severe an event is.
enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

// An entry of the catalogue.
struct LogEventInfo {
  LogEvent event;
  std::string_view name;
  LogLevel level;
};

// All events, by number.
std::span<const LogEventInfo> LogCatalogue();

// The fields of one line, in the order in which they are written.
using LogFields = nlohmann::ordered_json;

// Writes events to standard output, one line each, from any thread. Lines wait
// in a bounded queue; when it is full the oldest are dropped and counted, so
// that writing never holds up a caller.
class EventLog {
 public:
  EventLog(std::string instance, LogFormat format, const std::string& level);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Writes one event. Field values must never hold a customer's key.
  void Write(LogEvent event, const LogFields& fields);
  // Lines that were given up because the queue was full.
  [[nodiscard]] std::uint64_t dropped() const;
  // Writes out what is buffered.
  void Flush();

 private:
  std::string instance;
  LogFormat format;
  // Holds the queue; shared with the logger, as the library asks.
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::logger> logger;
};

// One line of the log without its time, in the format given.
std::string FormatEvent(LogEvent event, const LogFields& fields,
                        LogFormat format);

}  // namespace rosemarycove
