#include "app/gateway_observer.h"

#include <fmt/format.h>

#include <cmath>

#include "core/store_revision.h"
#include "net/clock.h"

namespace rosemarycove {

double ToLogMilliseconds(Duration duration) {
  constexpr double kTenthsPerMillisecond = 10;
  constexpr double kMillisecondsPerSecond = 1000;
  return std::round(ToSeconds(duration) * kMillisecondsPerSecond *
                    kTenthsPerMillisecond) /
         kTenthsPerMillisecond;
}

// Formats the counts like "slots:3 too_slow:12". Empty if all servers had room.
std::string FormatLimitCounts(const CapacityLimitCounts& counts) {
  std::string text;
  for (std::size_t i = 1; i < counts.size(); ++i) {
    if (counts[i] > 0) {
      text += text.empty() ? "" : " ";
      text += ToString(static_cast<CapacityLimit>(i));
      text += ":" + std::to_string(counts[i]);
    }
  }
  return text;
}

std::string FormatPartId(std::uint64_t part) {
  return fmt::format("{:x}", part);
}

// Formats the ids of the parts like "5c1e07a2,91bd3f06".
std::string FormatParts(std::span<const PromptPart> parts) {
  std::string text;
  for (const PromptPart& part : parts) {
    text += (text.empty() ? "" : ",") + FormatPartId(part.id);
  }
  return text;
}

void GatewayObserver::OnPlaced(const PlacedRecord& record) {
  const ServerChoice& choice = record.choice;
  this->log.Write(
      LogEvent::kCallPlaced,
      {{"request", record.request_id},
       {"route", record.route},
       {"customer", record.customer},
       {"tier", record.tier},
       {"attempt", record.attempt},
       {"server", choice.server.id},
       {"software", choice.server.software_version},
       {"resumes", record.resumed_request},
       {"why", ToString(choice.reason)},
       {"left_because", choice.leave_reason ? ToString(*choice.leave_reason)
                                            : std::string_view("")},
       {"candidates", choice.candidate_count},
       {"predicted_ms", ToLogMilliseconds(choice.predicted_first_event)},
       {"running", choice.latency_inputs.running},
       {"held_tokens", choice.load.kv_tokens},
       {"unread_ahead", choice.latency_inputs.prefill_tokens_ahead},
       {"unread_tokens", choice.latency_inputs.prefill_tokens},
       {"cached_tokens", choice.cached_tokens},
       {"home_lacks", choice.affinity_limit ? ToString(*choice.affinity_limit)
                                            : std::string_view("no_home")},
       {"ledger_age_ms", ToLogMilliseconds(record.ledger_age)},
       {"directory_age_ms", ToLogMilliseconds(record.directory_age)},
       {"directory_revision", CountOf(record.directory_revision)},
       {"directory_era", EraOf(record.directory_revision)},
       {"configuration", record.configuration_version},
       {"reused", record.reused_connection},
       {"idle_ms", ToLogMilliseconds(record.connection_idle)}});
}

std::string LeftCounts::ToPrometheus() const {
  std::string requests =
      "# TYPE rosemarycove_requests_left_data_centre_total counter\n";
  std::string bytes =
      "# TYPE rosemarycove_bytes_left_data_centre_total counter\n";
  for (const auto& [reason, count] : this->by_reason) {
    requests += fmt::format(
        "rosemarycove_requests_left_data_centre_total{{reason=\"{}\"}} {}\n",
        ToString(reason), count.requests);
    bytes += fmt::format(
        "rosemarycove_bytes_left_data_centre_total{{reason=\"{}\"}} {}\n",
        ToString(reason), count.bytes);
  }
  return requests + bytes;
}

void GatewayObserver::OnLeft(const LeftRecord& record) {
  LeftCounts::Count& count = this->left_counts.by_reason[record.reason];
  ++count.requests;
  count.bytes += record.request_bytes + record.response_bytes;
}

void GatewayObserver::OnRelayed(const RelayedRecord& record) {
  ++this->request_counts.relayed_out;
  this->log.Write(LogEvent::kCallRelayed,
                  {{"request", record.request_id},
                   {"route", record.route},
                   {"service", record.service},
                   {"attempt", record.attempt},
                   {"to", record.to_instance},
                   {"to_data_centre", record.to_data_centre},
                   {"failed_attempts", record.failed_attempts},
                   {"reused", record.reused_connection}});
}

void GatewayObserver::OnAttemptFailed(const AttemptFailedRecord& record) {
  this->log.Write(LogEvent::kAttemptFailed,
                  {{"request", record.request_id},
                   {"attempt", record.attempt},
                   {"server", record.server},
                   {"software", record.software_version},
                   {"result", record.result},
                   {"why", record.reason},
                   {"elapsed_ms", ToLogMilliseconds(record.elapsed)},
                   {"may_have_run", record.may_have_executed},
                   {"first_event", record.has_first_event},
                   {"shared_parts", FormatParts(record.shared_parts)},
                   {"request_hash", FormatPartId(record.request_hash)},
                   {"next", ToString(record.next)},
                   {"next_why", record.next_reason}});
}

void GatewayObserver::OnEnded(const EndedRecord& record) {
  ++this->request_counts.ended;
  if (!record.relayed_from.empty()) {
    ++this->request_counts.relayed_in;
  }
  this->log.Write(
      LogEvent::kCallEnded,
      {{"request", record.request_id},
       {"route", record.route},
       {"service", record.service},
       {"customer", record.customer},
       {"tier", record.tier},
       {"outcome", ToString(record.outcome)},
       {"cause", ToString(record.cause)},
       {"ran", ToString(record.execution)},
       {"status", record.status},
       {"attempts", record.attempts},
       {"server", record.server},
       {"relayed_from", record.relayed_from},
       {"relayed_to", record.relayed_to},
       {"resumes", record.resumed_request},
       {"began_software", record.first_software_version},
       {"software", record.last_software_version},
       {"first_event_ms", ToLogMilliseconds(record.time_to_first_event)},
       {"whole_ms", ToLogMilliseconds(record.total_time)},
       {"events", record.event_count},
       {"framing", ToString(record.response_framing)},
       {"partial_event_bytes", record.partial_event_bytes},
       {"server_limit", record.named_rate_limit
                            ? fmt::format("{}", *record.named_rate_limit)
                            : "none"},
       {"retry_after_ms", ToLogMilliseconds(record.retry_after)},
       {"on_target", record.on_target},
       {"servers_lacked", FormatLimitCounts(record.no_capacity_counts)},
       {"waiting_ahead", record.waiting_ahead},
       {"expected_wait_ms", ToLogMilliseconds(record.expected_wait)},
       {"standing",
        record.standing ? ToString(*record.standing) : std::string_view()},
       {"quarantined_suspect", record.quarantined_suspect == 0
                                   ? ""
                                   : FormatPartId(record.quarantined_suspect)},
       {"configuration", record.configuration_version}});
  this->metrics.Observe({.outcome = record.outcome,
                         .cause = record.cause,
                         .execution = record.execution,
                         .retry_after = record.retry_after,
                         .customer = record.customer,
                         .class_name = record.route,
                         .tier = record.tier,
                         .on_target = record.on_target,
                         .time_to_first_token = record.time_to_first_event,
                         .total_time = record.total_time,
                         .tokens = record.event_count,
                         .attempts = record.attempts},
                        MonotonicNow());
}

void GatewayObserver::OnUnanswered(const UnansweredRecord& record) {
  ++this->request_counts.unanswered;
  this->log.Write(LogEvent::kRequestUnanswered,
                  {{"request", record.request_id},
                   {"cause", ToString(record.cause)},
                   {"whole", record.is_whole},
                   {"age_ms", ToLogMilliseconds(record.age)}});
}

void GatewayObserver::OnStopped(const StoppedRecord& record) {
  this->log.Write(LogEvent::kRequestStopped,
                  {{"request", record.request_id},
                   {"cause", ToString(record.cause)},
                   {"not_executed", record.not_executed},
                   {"held_bytes", record.held_bytes},
                   {"held_by_all", record.held_by_all},
                   {"waiting", record.waiting}});
}

void GatewayObserver::OnConnectionsClosed(
    const ConnectionsClosedRecord& record) {
  this->request_counts.connections_closed += record.closed;
  this->log.Write(LogEvent::kConnectionsClosed,
                  {{"closed", record.closed}, {"open", record.open}});
}

void GatewayObserver::OnEjected(const EjectedRecord& record) {
  this->log.Write(LogEvent::kServerEjected,
                  {{"server", record.server},
                   {"service", record.service},
                   {"after", record.result},
                   {"for_ms", ToLogMilliseconds(record.duration)}});
}

void GatewayObserver::OnUnreadableRateLimit(
    const UnreadableRateLimitRecord& record) {
  this->log.Write(LogEvent::kServerLimitUnreadable,
                  {{"request", record.request_id},
                   {"server", record.server},
                   {"text", record.text}});
}

void GatewayObserver::OnUnreadablePause(const UnreadablePauseRecord& record) {
  this->log.Write(LogEvent::kServerPauseUnreadable,
                  {{"request", record.request_id},
                   {"server", record.server},
                   {"text", record.text}});
}

void GatewayObserver::OnUnreadableBrittleness(
    const UnreadableBrittlenessRecord& record) {
  this->log.Write(LogEvent::kServerBrittleUnreadable,
                  {{"request", record.request_id},
                   {"server", record.server},
                   {"text", record.text}});
}

void GatewayObserver::OnUnreadableSlowdown(
    const UnreadableSlowdownRecord& record) {
  this->log.Write(LogEvent::kServerSlowdownUnreadable,
                  {{"request", record.request_id},
                   {"server", record.server},
                   {"text", record.text}});
}

}  // namespace rosemarycove
