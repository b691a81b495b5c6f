// Events of the data path for logs and metrics.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/actions.h"
#include "core/admission.h"
#include "core/placer.h"
#include "core/types.h"
#include "proxy/body_budget.h"
#include "proxy/http_head.h"

namespace rosemarycove {

// A request was assigned to a backend server.
struct PlacedRecord {
  // The request id chosen by the caller; empty if it sent none. The records
  // below have the same id.
  std::string request_id;
  std::string route;
  std::string customer;
  int tier = 0;
  // The number of the attempt, from 1.
  int attempt = 0;
  ServerChoice choice;
  // See EndedRecord.
  std::string resumed_request;
  // The ages of the oldest load report of a peer and of the directory, which
  // the decision used.
  Duration ledger_age{};
  Duration directory_age{};
  std::uint64_t directory_revision = 0;
  std::uint64_t configuration_version = 0;
  // See PooledConnection.
  bool reused_connection = false;
  Duration connection_idle{};
};

// A request was relayed to another instance, since this one can't reach the
// backend servers.
struct RelayedRecord {
  std::string request_id;
  std::string route;
  std::string service;
  // The number of the attempt, from 1.
  int attempt = 0;
  // The instance that gets the request, and its data centre.
  std::string to_instance;
  std::string to_data_centre;
  // Attempts of this request that failed before.
  int failed_attempts = 0;
  bool reused_connection = false;
};

// What follows a failed attempt.
enum class NextStep : std::uint8_t {
  kAnotherServer,
  kSilentServer,  // The server that was silent, whose attempt is not ended.
  kGiveUp
};

// Returns the word that logs use.
std::string_view ToString(NextStep next);

// An attempt failed. Part of a stream may have been forwarded before, and an
// error response may be forwarded after no further attempt is allowed.
struct AttemptFailedRecord {
  std::string request_id;
  // The number of the attempt, from 1.
  int attempt = 0;
  // The id of the server, and the version of its software.
  std::string server;
  std::string software_version;
  // The word of the SendResult, or "withdrawn" if the attempt was not needed.
  std::string result;
  // What happened, as text.
  std::string reason;
  // Time since the attempt started.
  Duration elapsed{};
  bool may_have_executed = false;
  // The first event of the attempt had arrived.
  bool has_first_event = false;
  // See SharedParts; valid during the call only.
  std::span<const PromptPart> shared_parts;
  // See RequestHash.
  std::uint64_t request_hash = 0;
  NextStep next = NextStep::kGiveUp;
  // Why no further attempt is allowed; only for kGiveUp.
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
  // Whether a server executed the request.
  ExecutionStatus execution = ExecutionStatus::kNotExecuted;
  int status = 0;
  int attempts = 0;
  // The id of the server whose response completed the request; empty if there
  // is none.
  std::string server;
  // The instance that relayed the request to this one, and the instance to
  // which this one relayed it; empty if none.
  std::string relayed_from;
  std::string relayed_to;
  // The id of the request that received the first event of the stream that this
  // request resumes; empty if it resumes none.
  std::string resumed_request;
  // The software versions of the servers that sent the first and the last event
  // of this response; empty if there was none.
  std::string first_software_version;
  std::string last_software_version;
  // From arrival to the first event; zero if there was none.
  Duration time_to_first_event{};
  // From arrival to the end.
  Duration total_time{};
  int event_count = 0;
  // How the server marked the end of the last response.
  BodyFraming response_framing = BodyFraming::kNone;
  // The bytes of that response that follow its last complete event.
  std::size_t partial_event_bytes = 0;
  // The requests per second that the server named as its limit in the last
  // response; nullopt if none or unreadable.
  std::optional<double> named_rate_limit;
  // Retry-After of the response; zero if it has none.
  Duration retry_after{};
  // The request was completed within the targets of its route.
  bool on_target = false;
  // How many servers had no capacity for the request, by reason, at the
  // last attempt to place it.
  CapacityLimitCounts no_capacity_counts{};
  // When the request was queued or refused for lack of capacity: the number of
  // waiting requests that came first, and the expected wait behind them.
  int waiting_ahead = 0;
  Duration expected_wait{};
  // See AdmissionController; nullopt if admission control didn't apply.
  std::optional<Standing> standing;
  // The suspect because of which the request was refused, see
  // RequestQuarantine; 0 if there is none.
  std::uint64_t quarantined_suspect = 0;
  std::uint64_t configuration_version = 0;
};

// Why a caller's connection ended.
enum class CloseCause : std::uint8_t {
  kCallerClosed,      // The caller closed or reset it.
  kCallerNotReading,  // The response could not be sent in time.
  kIdleTimeout,       // No request arrived in time.
  kResponseSent,      // It was closed after a response.
  kIdleAtShutdown,    // It was idle while the instance shut down.
  kProcessEnds,       // The process was about to exit.
  kNoProgress,        // The caller did not read while memory was short.
  kRoomNeeded,        // It was idle while other connections waited.
};
std::string_view ToString(CloseCause cause);

// The instance ended a caller's connection on which it had read a request, or a
// part of one, that has no outcome.
struct UnansweredRecord {
  // Empty if the head was not complete.
  std::string request_id;
  CloseCause cause = CloseCause::kProcessEnds;
  // The request was read as a whole and may have been sent to a server.
  bool is_whole = false;
  // Since the first byte was read, or the whole request if it is whole.
  Duration age{};
};

// A request was ended, since memory is short.
struct StoppedRecord {
  // Empty if the head was not complete.
  std::string request_id;
  BudgetCause cause = BudgetCause::kNoProgress;
  // The request was not sent to a server, and its caller gets a refusal.
  bool not_executed = true;
  // What was held of it.
  std::size_t held_bytes = 0;
  // What all requests hold, and the number of those that wait.
  std::size_t held_by_all = 0;
  std::size_t waiting = 0;
};

// Idle connections were closed since others waited to be accepted.
struct ConnectionsClosedRecord {
  // Since the last record, and how many remain open.
  std::size_t closed = 0;
  std::size_t open = 0;
};

// A server was ejected after failures, for this duration.
struct EjectedRecord {
  std::string server;
  std::string service;
  // The word of the SendResult that caused the ejection.
  std::string result;
  Duration duration{};
};

// A response named a rate limit that can't be read; it changes nothing.
struct UnreadableRateLimitRecord {
  std::string request_id;
  std::string server;
  // What the response named.
  std::string text;
};

// A response asked for a pause that can't be read; it changes nothing.
struct UnreadablePauseRecord {
  std::string request_id;
  std::string server;
  // What the response said.
  std::string text;
};

// A response said that the server is brittle, but the rejections that it
// tolerates can't be read; it changes nothing.
struct UnreadableBrittlenessRecord {
  std::string request_id;
  std::string server;
  // What the response said.
  std::string text;
};

// A response said how long work takes at the server, but that can't be read;
// the last readable figure remains in use.
struct UnreadableSlowdownRecord {
  std::string request_id;
  std::string server;
  // What the response said.
  std::string text;
};

// An attempt at a server in another data centre ended. The bytes are those of
// the bodies.
struct LeftRecord {
  LeaveReason reason = LeaveReason::kNoServer;
  std::size_t request_bytes = 0;
  std::size_t response_bytes = 0;
};

// Receives the events on the event loop's thread; must not block.
class ProxyObserver {
 public:
  virtual ~ProxyObserver() = default;
  // A whole request was read. Its outcome is reported by OnEnded.
  virtual void OnRequestRead() = 0;
  // A request was not handled, since its caller had left while it waited to be
  // read.
  virtual void OnCallerGone() = 0;
  // A request of the customer began to run at a server, or may have. Reported
  // once per request, by the instance that sent it to the server: for a stream
  // at its first event, otherwise at the response or the end.
  virtual void OnRequestRan(const std::string& customer) = 0;
  virtual void OnUnanswered(const UnansweredRecord& record) = 0;
  virtual void OnStopped(const StoppedRecord& record) = 0;
  virtual void OnConnectionsClosed(const ConnectionsClosedRecord& record) = 0;
  virtual void OnPlaced(const PlacedRecord& record) = 0;
  virtual void OnRelayed(const RelayedRecord& record) = 0;
  virtual void OnLeft(const LeftRecord& record) = 0;
  virtual void OnAttemptFailed(const AttemptFailedRecord& record) = 0;
  virtual void OnEnded(const EndedRecord& record) = 0;
  virtual void OnEjected(const EjectedRecord& record) = 0;
  virtual void OnUnreadableRateLimit(
      const UnreadableRateLimitRecord& record) = 0;
  virtual void OnUnreadablePause(const UnreadablePauseRecord& record) = 0;
  virtual void OnUnreadableBrittleness(
      const UnreadableBrittlenessRecord& record) = 0;
  virtual void OnUnreadableSlowdown(const UnreadableSlowdownRecord& record) = 0;
};

}  // namespace rosemarycove
