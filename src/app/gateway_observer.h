// Converts the data path's records to log lines and metrics.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "app/event_log.h"
#include "app/metrics.h"
#include "proxy/proxy_observer.h"

namespace rosemarycove {

// How many requests the gateway has read as a whole, how many of them have an
// outcome, and how many OnUnanswered reported; how often requests were relayed;
// how many idle connections were closed since others waited; and how many
// requests were not handled since their callers had left.
struct RequestCounts {
  std::uint64_t read = 0;
  std::uint64_t ended = 0;
  std::uint64_t unanswered = 0;
  // Relayed to other instances, and for other instances.
  std::uint64_t relayed_out = 0;
  std::uint64_t relayed_in = 0;
  std::uint64_t connections_closed = 0;
  std::uint64_t callers_gone = 0;
};

// The attempts at servers in other data centres that ended, by reason.
struct LeftCounts {
  struct Count {
    std::uint64_t requests = 0;
    std::uint64_t bytes = 0;
  };
  std::map<LeaveReason, Count> by_reason;

  // In the Prometheus text exposition format.
  [[nodiscard]] std::string ToPrometheus() const;
};

// Logs every placement, failed attempt, outcome and ejection, and counts the
// outcomes in the metrics. Called on the event loop's thread.
class GatewayObserver : public ProxyObserver {
 public:
  GatewayObserver(EventLog& log, Metrics& metrics)
      : log(log), metrics(metrics) {}

  void OnRequestRead() override { ++this->request_counts.read; }
  void OnCallerGone() override { ++this->request_counts.callers_gone; }
  void OnRequestRan(const std::string& customer) override {
    if (this->run_counter) {
      this->run_counter(customer);
    }
  }
  void OnUnanswered(const UnansweredRecord& record) override;
  void OnStopped(const StoppedRecord& record) override;
  void OnConnectionsClosed(const ConnectionsClosedRecord& record) override;
  void OnPlaced(const PlacedRecord& record) override;
  void OnRelayed(const RelayedRecord& record) override;
  void OnLeft(const LeftRecord& record) override;
  void OnAttemptFailed(const AttemptFailedRecord& record) override;
  void OnEnded(const EndedRecord& record) override;
  void OnEjected(const EjectedRecord& record) override;
  void OnUnreadableRateLimit(const UnreadableRateLimitRecord& record) override;
  void OnUnreadablePause(const UnreadablePauseRecord& record) override;
  void OnUnreadableBrittleness(
      const UnreadableBrittlenessRecord& record) override;
  void OnUnreadableSlowdown(const UnreadableSlowdownRecord& record) override;

  // Sets what counts the customers' requests that ran.
  void set_run_counter(std::function<void(const std::string&)> counter) {
    this->run_counter = std::move(counter);
  }
  [[nodiscard]] const RequestCounts& counts() const {
    return this->request_counts;
  }

  [[nodiscard]] const LeftCounts& left() const { return this->left_counts; }

 private:
  EventLog& log;
  Metrics& metrics;
  RequestCounts request_counts;
  std::function<void(const std::string&)> run_counter;
  LeftCounts left_counts;
};

// The id of a prompt's part in hexadecimal, as written in log lines.
std::string FormatPartId(std::uint64_t part);
// Milliseconds with one decimal, as written in log lines.
double ToLogMilliseconds(Duration duration);

}  // namespace rosemarycove
