// A caller's request from arrival to outcome.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "proxy/backend_connection.h"
#include "proxy/event_splitter.h"
#include "proxy/message_writer.h"
#include "proxy/proxy_context.h"

namespace rosemarycove {

// Receives the response of an exchange.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void Write(std::string bytes) = 0;
  // The response is complete. `keep_open`: the connection may be used for
  // another request.
  virtual void Finish(bool keep_open) = 0;
  // The response can't be completed. Closes the connection, so that what was
  // written does not look complete. `reset`: resets it, since an orderly close
  // would mark the end of the response.
  virtual void Abort(bool reset) = 0;
  // Bytes passed to Write and not yet sent to the caller.
  [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;
};

// Sends a request to backend servers until one responds or no further attempt
// is allowed. A request that may have run is sent again only if its route
// allows it. The caller is told that its request did not run only if no server
// can have run it. Used on the event loop's thread only.
class Exchange : public ResponseListener {
 public:
  Exchange(ProxyContext& context, RequestHead head, std::string body,
           ResponseSink& sink, TimePoint arrival);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start();
  // Checks timeouts; called periodically.
  void Tick(TimePoint now);
  // Called when the caller closed its connection.
  void OnCallerDisconnected();
  // Tries to send a waiting request; returns false if it was not sent.
  bool TryAdmit(TimePoint now);
  // Called when the bytes written were sent to the caller.
  void OnOutputSent();

  // ResponseListener
  void OnSendStarted() override;
  HeadDecision OnHead(const ResponseHead& head) override;
  void OnBody(std::string bytes) override;
  void OnComplete() override;
  void OnFailed(FailureKind kind, const std::string& reason) override;

 private:
  // How the response being received is handled.
  enum class ResponseMode : std::uint8_t {
    kNone,       // No head was received yet.
    kBuffered,   // Stored until it is complete, then forwarded.
    kForwarded,  // Forwarded as it arrives.
    kStream,     // Forwarded in complete events.
    kDiscarded,  // Read to its end and dropped; the attempt has failed.
  };

  // Why an attempt gave no response for the caller.
  struct Failure {
    SendResult result = SendResult::kUnreachable;
    bool may_have_executed = false;
    // The server is not tried again for this request.
    bool avoid_server = true;
    std::string reason;
  };

  bool ResolveRoute();
  bool CheckApiKey(const Route& route);
  void ChooseService();
  void Place();
  // `no_choice` is set if nothing is returned.
  std::optional<ServerChoice> ChooseServer(TimePoint now,
                                           NoChoiceReason& no_choice);
  void Send(const ServerChoice& chosen);
  void FailAttempt(const Failure& failure);
  [[nodiscard]] bool MayRetry(std::string& no_retry_reason);
  void EndAttempt();
  // Discards the head and the body received so far.
  void ClearResponse();
  void GiveUp(EndCause cause);
  void GiveUpWithoutServer(NoChoiceReason reason);
  [[nodiscard]] PlacementQueue& Queue() const;
  [[nodiscard]] Urgency RequestUrgency() const;
  void StartWaiting();
  void StopWaiting(bool admitted);
  void RespondLocally(int status, EndCause cause,
                      std::optional<Duration> retry_after);
  void RejectAsNotExecuted(EndCause cause, Duration retry_after);
  void ForwardHead(const ResponseHead& head, BodyFraming framing);
  void ForwardBuffered();
  void ForwardEvents(std::string events);
  void RecordFirstEvent();
  // Retries at another server if the current one has been silent for too long.
  void CheckSilence(TimePoint now);
  void End(Outcome outcome, EndCause cause, int status);
  [[nodiscard]] bool CanKeepOpen() const;
  [[nodiscard]] Duration Remaining(TimePoint now) const;
  [[nodiscard]] bool IsServerSuspected() const;

  ProxyContext& context;
  RequestHead request;
  std::string body;
  ResponseSink& sink;
  TimePoint arrival;
  TimePoint deadline;
  // Its id in the placement queue; nullopt while it does not wait.
  std::optional<RequestId> waiting_id;
  TimePoint wait_deadline;
  std::shared_ptr<const RoutingConfiguration> configuration;
  RequestInfo request_info;
  std::string customer;
  PlacementQuery query;
  // How many servers had no capacity for it, by reason, in the last placement.
  CapacityLimitCounts no_capacity_counts{};
  std::string service_name;

  // The current attempt.
  std::optional<ServerChoice> choice;
  std::shared_ptr<BackendConnection> connection;
  bool connection_reused = false;
  bool send_started = false;
  TimePoint sent_at;
  TimePoint last_bytes_at;
  bool first_event_received = false;
  ResponseMode response_mode = ResponseMode::kNone;
  // Set if the response is not for the caller: how the attempt fails once the
  // response is complete.
  std::optional<Failure> pending_failure;
  ResponseHead response;
  std::string buffered;
  EventSplitter splitter;

  // Over all attempts.
  int attempts = 0;
  // Attempts for which sending started.
  int sent_attempts = 0;
  // Failed attempts that certainly did not run.
  int not_executed_attempts = 0;
  // Attempts that may have run.
  int possible_executions = 0;
  bool head_forwarded = false;
  BodyFraming framing = BodyFraming::kNone;
  TimePoint first_event_at;
  Duration max_event_gap{};
  TimePoint last_event_at;
  Duration retry_after{};
  bool ended = false;
};

// Tries to send the waiting requests, most urgent first.
void AdmitWaiting(ProxyContext& context);

}  // namespace rosemarycove
