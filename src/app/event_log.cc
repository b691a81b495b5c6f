#include "app/event_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace rosemarycove {
namespace {

constexpr LogEventInfo kCatalogue[] = {
    {LogEvent::kStarted, "started", LogLevel::kInfo},
    {LogEvent::kReady, "ready", LogLevel::kInfo},
    {LogEvent::kDrainStarted, "drain_started", LogLevel::kInfo},
    {LogEvent::kStopped, "stopped", LogLevel::kInfo},
    {LogEvent::kDrainCutOff, "drain_cut_off", LogLevel::kError},
    {LogEvent::kListenFailed, "listen_failed", LogLevel::kError},
    {LogEvent::kSettingsReloaded, "settings_reloaded", LogLevel::kInfo},
    {LogEvent::kSettingsRefused, "settings_refused", LogLevel::kError},
    {LogEvent::kLinesDropped, "lines_dropped", LogLevel::kWarning},
    {LogEvent::kRequestEnded, "request_ended", LogLevel::kInfo},
    {LogEvent::kCallEnded, "call_ended", LogLevel::kInfo},
    {LogEvent::kRequestUnanswered, "request_unanswered", LogLevel::kWarning},
    {LogEvent::kRequestStopped, "request_stopped", LogLevel::kWarning},
    {LogEvent::kConnectionsClosed, "connections_closed", LogLevel::kWarning},
    {LogEvent::kPlaced, "placed", LogLevel::kInfo},
    {LogEvent::kAttemptBroken, "attempt_broken", LogLevel::kWarning},
    {LogEvent::kSlotTaken, "slot_taken", LogLevel::kInfo},
    {LogEvent::kCallPlaced, "call_placed", LogLevel::kInfo},
    {LogEvent::kAttemptFailed, "attempt_failed", LogLevel::kWarning},
    {LogEvent::kCallRelayed, "call_relayed", LogLevel::kInfo},
    {LogEvent::kPeerUp, "peer_up", LogLevel::kInfo},
    {LogEvent::kPeerDown, "peer_down", LogLevel::kWarning},
    {LogEvent::kPeerRefused, "peer_refused", LogLevel::kWarning},
    {LogEvent::kConfigurationInForce, "configuration_in_force",
     LogLevel::kInfo},
    {LogEvent::kConfigurationRefused, "configuration_refused",
     LogLevel::kError},
    {LogEvent::kStoreUnavailable, "store_unavailable", LogLevel::kWarning},
    {LogEvent::kStoreAvailable, "store_available", LogLevel::kInfo},
    {LogEvent::kChangeAccepted, "change_accepted", LogLevel::kInfo},
    {LogEvent::kConfigurationOverdue, "configuration_overdue",
     LogLevel::kWarning},
    {LogEvent::kConfigurationSent, "configuration_sent", LogLevel::kInfo},
    {LogEvent::kConfigurationUpdateRefused, "configuration_update_refused",
     LogLevel::kWarning},
    {LogEvent::kLoadReportMissing, "load_report_missing", LogLevel::kWarning},
    {LogEvent::kServerChanged, "server_changed", LogLevel::kInfo},
    {LogEvent::kServerEjected, "server_ejected", LogLevel::kWarning},
    {LogEvent::kDataCentresSuspected, "data_centres_suspected",
     LogLevel::kWarning},
    {LogEvent::kQuarantine, "quarantine", LogLevel::kWarning},
    {LogEvent::kPartitionChanged, "partition_changed", LogLevel::kInfo},
    {LogEvent::kServerLimit, "server_limit", LogLevel::kWarning},
    {LogEvent::kServerLimitUnreadable, "server_limit_unreadable",
     LogLevel::kWarning},
    {LogEvent::kServerLeaving, "server_leaving", LogLevel::kInfo},
    {LogEvent::kServerPause, "server_pause", LogLevel::kWarning},
    {LogEvent::kServerPauseUnreadable, "server_pause_unreadable",
     LogLevel::kWarning},
    {LogEvent::kServiceReach, "service_reach", LogLevel::kWarning},
    {LogEvent::kServerBrittle, "server_brittle", LogLevel::kWarning},
    {LogEvent::kServerBrittleUnreadable, "server_brittle_unreadable",
     LogLevel::kWarning},
    {LogEvent::kServerSlowdownUnreadable, "server_slowdown_unreadable",
     LogLevel::kWarning},
    {LogEvent::kDutyTaken, "duty_taken", LogLevel::kInfo},
    {LogEvent::kDutyLost, "duty_lost", LogLevel::kWarning},
    {LogEvent::kDutyHandedOver, "duty_handed_over", LogLevel::kInfo},
    {LogEvent::kDutyClaimRefused, "duty_claim_refused", LogLevel::kWarning},
    {LogEvent::kDutyCallFailed, "duty_call_failed", LogLevel::kWarning},
    {LogEvent::kUsageReported, "usage_reported", LogLevel::kInfo},
    {LogEvent::kUsageMissed, "usage_missed", LogLevel::kError},
    {LogEvent::kUsageIncomplete, "usage_incomplete", LogLevel::kWarning},
    {LogEvent::kEnginesOrdered, "engines_ordered", LogLevel::kInfo},
    {LogEvent::kEngineOrderEnded, "engine_order_ended", LogLevel::kInfo},
};

// Capacity of the queue, in lines.
constexpr std::size_t kMaxQueuedLines = 8192;

// Callers choose some texts and lists, such as ids of requests, and lines may
// wait in the queue for long.
constexpr std::size_t kMaxTextBytes = 256;
constexpr std::size_t kMaxListItems = 32;
constexpr std::string_view kCutMark = "...";

// Cuts texts and lists that exceed their maximum sizes.
void Shorten(nlohmann::ordered_json& value) {
  if (value.is_string()) {
    auto& text = value.get_ref<std::string&>();
    if (text.size() > kMaxTextBytes) {
      text.resize(kMaxTextBytes);
      text.append(kCutMark);
      text.shrink_to_fit();
    }
  } else if (value.is_array() && value.size() > kMaxListItems) {
    value.erase(value.begin() + kMaxListItems, value.end());
    value.push_back(kCutMark);
  }
}

const LogEventInfo& InfoOf(LogEvent event) {
  return *std::find_if(
      std::begin(kCatalogue), std::end(kCatalogue),
      [&](const LogEventInfo& info) { return info.event == event; });
}

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

// Writes a value as JSON, with bytes that are not UTF-8 replaced.
std::string ToJsonText(const nlohmann::ordered_json& value) {
  return value.dump(-1, ' ', false,
                    nlohmann::ordered_json::error_handler_t::replace);
}

// Formats a value for a text line. Quotes it only if it is empty or contains a
// separator.
std::string FormatTextValue(const nlohmann::ordered_json& value) {
  const std::string text =
      value.is_string() ? value.get<std::string>() : ToJsonText(value);
  const bool is_unquoted =
      !text.empty() && text.find_first_of(" \"=\n") == std::string::npos;
  return is_unquoted ? text : ToJsonText(text);
}

}  // namespace

std::span<const LogEventInfo> LogCatalogue() { return kCatalogue; }

std::string FormatEvent(LogEvent event, const LogFields& fields,
                        LogFormat format) {
  const LogEventInfo& info = InfoOf(event);
  if (format == LogFormat::kJson) {
    LogFields line;
    line["event"] = static_cast<int>(event);
    line["name"] = info.name;
    line.update(fields);
    return ToJsonText(line);
  }
  std::string line = "event=" + std::to_string(static_cast<int>(event)) +
                     " name=" + std::string(info.name);
  for (const auto& [key, value] : fields.items()) {
    line += " " + key + "=" + FormatTextValue(value);
  }
  return line;
}

EventLog::EventLog(std::string instance, LogFormat format,
                   const std::string& level)
    : instance(std::move(instance)), format(format) {
  // The writer thread leaves signals to the other threads, which decide what
  // they do.
  this->thread_pool =
      std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1, [] {
        sigset_t all;
        sigfillset(&all);
        pthread_sigmask(SIG_BLOCK, &all, nullptr);
      });
  this->logger = std::make_shared<spdlog::async_logger>(
      "rosemarycove", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
      this->thread_pool, spdlog::async_overflow_policy::overrun_oldest);
  this->logger->set_level(spdlog::level::from_str(level));
  this->logger->flush_on(spdlog::level::info);
  if (format == LogFormat::kJson) {
    this->logger->set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v)",
        spdlog::pattern_time_type::utc);
  } else {
    this->logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%fZ level=%l %v",
                              spdlog::pattern_time_type::utc);
  }
}

EventLog::~EventLog() {
  this->logger->flush();
  this->logger.reset();
}

void EventLog::Write(LogEvent event, const LogFields& fields) {
  const spdlog::level::level_enum level = ToSpdlog(InfoOf(event).level);
  if (!this->logger->should_log(level)) {
    return;
  }
  LogFields all;
  all["instance"] = this->instance;
  all.update(fields);
  for (auto& [key, value] : all.items()) {
    Shorten(value);
  }
  const std::string line = FormatEvent(event, all, this->format);
  // The logger's pattern writes the opening brace, the time and the level.
  this->logger->log(level, "{}",
                    this->format == LogFormat::kJson ? line.substr(1) : line);
}

std::uint64_t EventLog::dropped() const {
  return this->thread_pool->overrun_counter();
}

void EventLog::Flush() { this->logger->flush(); }

}  // namespace rosemarycove
