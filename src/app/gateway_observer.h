// Turns reports of the data path into log lines and metrics.
#pragma once

#include "app/event_log.h"
#include "app/metrics.h"
#include "proxy/proxy_observer.h"

namespace rosemarycove {

// Writes one line for each decision on a request.
class GatewayObserver : public ProxyObserver {
 public:
  GatewayObserver(EventLog& log, Metrics& metrics)
      : log(log), metrics(metrics) {}

  void OnPlaced(const PlacedRecord& record) override;
  void OnAttemptFailed(const AttemptFailedRecord& record) override;
  void OnEnded(const EndedRecord& record) override;
  void OnEjected(const EjectedRecord& record) override;

 private:
  EventLog& log;
  Metrics& metrics;
};

// Milliseconds with one decimal, as log lines state times.
double ToLogMilliseconds(Duration duration);

}  // namespace rosemarycove
