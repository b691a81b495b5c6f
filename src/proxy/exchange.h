// Handles a caller's request in the gateway, from its arrival to its outcome.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/admission_gate.h"
#include "proxy/backend_connection.h"
#include "proxy/event_splitter.h"
#include "proxy/message_writer.h"
#include "proxy/proxy_context.h"
#include "proxy/relay_fields.h"

namespace rosemarycove {

// Receives the response of an exchange.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void Write(std::string bytes) = 0;
  // The response is complete. `keep_open`: the connection may be used for
  // another request.
  virtual void Finish(bool keep_open) = 0;
  // The response can't be completed. Closes the connection once the part that
  // was written is sent, so that this part does not look complete. `reset`:
  // resets the connection, since an orderly close would mark the end of the
  // response.
  virtual void Abort(bool reset) = 0;
  // Returns whether there is memory for the request, now that its customer is
  // known.
  [[nodiscard]] virtual bool MayHold(const std::string& customer) = 0;
  // The number of bytes passed to Write and not yet sent to the caller.
  [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;
};

// What became of a waiting request that was tried again.
enum class AdmitResult : std::uint8_t {
  kLeftQueue,       // It was sent or has ended.
  kNoCapacity,      // It waits for capacity.
  kAwaitsAffinity,  // It waits for its affinity server.
};

// Sends a request to backend servers until one responds or no further attempt
// is allowed. A request whose servers are out of reach is relayed to another
// instance, which sends it to the servers and doesn't relay it again. A request
// that may have been executed is sent again only if its route allows it. The
// exchange reports "not executed" to the caller only if it is certain that no
// server executed the request. Owned by the caller's connection; used on the
// event loop's thread only.
class Exchange : public ResponseListener {
 public:
  // `from_instance`: another instance relays the request.
  Exchange(ProxyContext& context, RequestHead head, std::string request_body,
           ResponseSink& sink, TimePoint arrival, bool from_instance = false);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start();
  // Checks timeouts; called periodically.
  void Tick(TimePoint now);
  // Called when the caller closed its connection or does not read its response.
  // Ends the request.
  void OnCallerDisconnected();
  // Ends the request with a true outcome, since the process is about to exit:
  // "not executed" if that is certain.
  void CutOff();
  // Tries to place a waiting request.
  AdmitResult TryAdmit(TimePoint now);
  // Ends the request with a true outcome, since its server does not take it
  // while memory is short.
  void StopUnread();
  [[nodiscard]] bool has_ended() const { return this->ended; }
  // Returns the size of what is held of the request and its responses.
  [[nodiscard]] std::size_t HeldBytes() const;
  // Returns how many bytes of the request its server has not taken yet.
  [[nodiscard]] std::size_t UnwrittenBytes() const;
  [[nodiscard]] const std::string& request_id() const {
    return this->request_info.request_id;
  }
  [[nodiscard]] TimePoint arrived_at() const { return this->arrival; }
  // Called when written bytes were sent to the caller. Resumes reading from the
  // server if it was paused and little enough remains to be sent.
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
    kDiscarded,  // Read to its end and not forwarded; the attempt has failed.
  };

  // Why an attempt produced no response for the caller.
  struct Failure {
    SendResult result = SendResult::kUnreachable;
    bool may_have_executed = false;
    // The server is not tried again for this request.
    bool avoid_server = true;
    std::string reason;
    // The server of the next attempt, which the retry budget allows already;
    // nullopt if it is still to be decided.
    std::optional<ServerChoice> next = {};
  };

  // Receives the response of an attempt that was set aside.
  class SilentAttempt;

  // An attempt at a server, or at an instance that relays the request.
  struct Attempt {
    // From 1.
    int number = 0;
    // nullopt once the attempt has ended.
    std::optional<ServerChoice> choice;
    // The instance to which the request is relayed; the server of `choice` then
    // only has what that instance says of it.
    std::optional<RelayPeer> relay;
    // The server at the other end of the connection; for relayed requests, the
    // other instance.
    RegisteredServer connection_target;
    std::shared_ptr<BackendConnection> connection;
    bool connection_reused = false;
    // See PooledConnection.
    Duration connection_idle{};
    // The connection had been closed before if it is reused and ends within
    // this time.
    Duration stale_time{};
    bool send_started = false;
    // When the attempt started.
    TimePoint sent_at;
    // When bytes of the response last arrived; at first, when the attempt
    // started.
    TimePoint last_bytes_at;
    bool first_event_received = false;
    // When it was received, and how many events the splitter had counted then.
    TimePoint first_event_at;
    int first_event_count = 0;
    // When the last events were received, and the longest time between any.
    TimePoint last_event_at;
    Duration longest_gap{};
    bool survival_recorded = false;
    // The attempt tests whether a suspect still crashes servers.
    bool is_quarantine_trial = false;
    ResponseMode response_mode = ResponseMode::kNone;
    // Set if the response makes the attempt fail, which happens once the
    // response is complete; nullopt otherwise.
    std::optional<Failure> pending_failure;
    ResponseHead response;
    // The id of the server that sent the last response.
    std::string responding_server;
    // Bytes of the body that were received and not yet forwarded.
    std::string buffered;
    // Bytes of the body that were received.
    std::size_t response_bytes = 0;
    // Bytes of the body that were received in mode kDiscarded.
    std::size_t discarded_bytes = 0;
  };

  // Reads what the instance that relays the request says of it. If that can't
  // be read, responds with an error and returns false.
  bool ReadRelayedRequest();
  // Sets the route, the customer and the deadline. If that fails, responds with
  // an error and returns false.
  bool ResolveRoute();
  // Returns whether the caller may use the route; sets the customer and the
  // tier.
  bool CheckApiKey(const Route& route);
  // Requires the software that began the stream that the request resumes, if it
  // resumes one. If that is unknown, refuses the request and returns false.
  bool RequireStreamSoftware();
  // Records which software began the stream of this response.
  void RecordStreamOrigin();
  // Returns whether the request goes on with a stream that a caller received in
  // part.
  [[nodiscard]] bool ResumesStream() const {
    return !this->request_info.last_event_id.empty() ||
           !this->request_info.resumed_request.empty();
  }
  // Sets the ids by which the request and its parts are recognized elsewhere.
  void SetSuspects();
  // Chooses one of the route's services at random, by weight; for a stream that
  // goes on, the one that began it.
  void ChooseService();
  // Returns the route's service that has servers of this software.
  [[nodiscard]] std::string ServiceOf(std::uint64_t software,
                                      const std::string& default_service) const;
  // Passes the arrived request to admission control.
  void EnterAdmission();
  // Sends the request to a server, queues it or gives up.
  void Place();
  // Returns whether the instance shuts down and a server that gets the request
  // at this time would probably not end it before the cut-off.
  [[nodiscard]] bool IsTooLate(TimePoint sent_at) const;
  // Gives up and returns true if it is too late to send the request.
  bool GiveUpIfTooLate(TimePoint now);
  // Gives up and returns true if one of the request's suspects is quarantined.
  bool GiveUpIfQuarantined(TimePoint now);
  // Ends the current attempt and the request, and returns true, if one of its
  // suspects was quarantined meanwhile and the server has just begun to run it.
  bool StopIfQuarantined(TimePoint now);
  // `no_choice` is set to the reason if nullopt is returned.
  std::optional<ServerChoice> ChooseServer(TimePoint now,
                                           NoChoiceReason& no_choice);
  // Starts an attempt.
  void Send(const ServerChoice& chosen);
  // Relays the request to another instance, or gives up if none can take it.
  void Relay();
  // Describes the instances that may get the request.
  [[nodiscard]] RelayQuery MakeRelayQuery() const;
  // Sets the state of a new attempt on this connection.
  void BeginAttempt(const ServerChoice& chosen, PooledConnection acquired,
                    TimePoint now);
  // Returns the id of the last event that the caller has of the stream that
  // this request goes on with; empty if there is none.
  [[nodiscard]] std::string ResumeFrom() const;
  // Handles the head of the response to a relayed request. Returns whether a
  // server's response follows; otherwise the attempt has failed.
  bool OnRelayedHead(ResponseHead& head);
  // Sets the current attempt aside, since its server is silent, and sends the
  // request to another server. Whichever of the two responds first goes on, and
  // only then the other attempt is ended.
  void SendBesideSilent(const ServerChoice& next);
  // Makes the attempt that was set aside the current one again. The current one
  // must have ended.
  void ReturnToSilentAttempt();
  // Ends the current attempt, which is no longer needed, and returns to the one
  // that was set aside.
  void WithdrawToSilentAttempt(const std::string& reason);
  // Ends the attempt that was set aside, if there is one, and records why.
  void EndSilentAttempt(const Failure& failure);
  // Ends the attempt that was set aside, if there is one, since the current one
  // responds.
  void ReplaceSilentAttempt();
  // Ends the current attempt and the one that was set aside.
  void EndAllAttempts();
  // The number of attempts under way that may have been executed.
  [[nodiscard]] int CountRunningAttempts() const;
  // Handles the head of the response to the attempt that was set aside.
  HeadDecision OnSilentHead(const ResponseHead& head);
  // Handles a failure of its connection.
  void OnSilentFailed(FailureKind kind, const std::string& reason);
  // Records the failure of an attempt at this server.
  void RecordFailure(const ServerChoice& failed, const Failure& failure,
                     TimePoint now);
  // Reports that an attempt gave no response for the caller.
  void ReportFailure(const Attempt& attempt, const RegisteredServer& server,
                     const std::string& result, const Failure& failure,
                     NextStep next, const std::string& next_reason);
  // Ends the attempt at the other instance as failed, then relays the request
  // again or ends it.
  void FailRelayedAttempt(const Failure& failure);
  // Ends the current attempt as failed, then starts another one or ends the
  // request.
  void FailAttempt(const Failure& failure);
  // Closes the connection without reading the rest of the response, and fails
  // the attempt.
  void AbandonResponse(const Failure& failure);
  // Returns whether another attempt is allowed, and spends retry budget on it
  // if a request was sent before. `no_retry_reason` is set if it is not
  // allowed.
  [[nodiscard]] bool MayRetry(std::string& no_retry_reason);
  // Aborts the attempt, if it hasn't ended, and removes it from the server's
  // load.
  void EndAttempt(Attempt& attempt);
  // Forwards the head of the current stream unless one was forwarded.
  void ForwardStreamHead();
  // Discards the head and the body received so far.
  void ClearResponse();
  // Ends the request without a server's response: aborts the response if its
  // head was forwarded, else responds with an error. `min_delay` is the minimum
  // time until a retry if the request was not executed; estimated if nullopt.
  void GiveUp(EndCause cause, std::optional<Duration> min_delay = {});
  // Gives up because no server could be chosen.
  void GiveUpWithoutServer(NoChoiceReason reason);
  // The queue of the side of the service's partition that the route prefers.
  [[nodiscard]] PlacementQueue& Queue() const;
  [[nodiscard]] Urgency RequestUrgency() const;
  // Queues the request for placement, or gives up if the expected wait for
  // capacity is too long.
  void StartWaiting(WaitReason reason);
  // Removes the request from the queue, if it waits. `admitted`: it is sent
  // now.
  void StopWaiting(bool admitted);
  // Responds with a status of this instance itself and ends the request.
  void RespondLocally(int status, EndCause cause,
                      std::optional<Duration> retry_after);
  // Responds that the request was not executed. Retry-After is `min_delay` plus
  // jitter.
  void RejectAsNotExecuted(EndCause cause, Duration min_delay);
  // Responds the same with this Retry-After.
  void RefuseUntil(EndCause cause, Duration delay);
  // Returns whether a response on the attempt's connection is certainly to it.
  [[nodiscard]] bool IsOwnResponse(const Attempt& attempt,
                                   const ResponseInfo& response_info) const;
  // Returns why a response with this head makes the attempt fail; nullopt if it
  // doesn't.
  static std::optional<Failure> FailureOf(const ResponseHead& head,
                                          const ResponseInfo& info);
  void ForwardHead(const ResponseHead& head, BodyFraming framing);
  // Returns how the end of a body of unknown length is marked for the caller.
  [[nodiscard]] BodyFraming FramingWithoutLength() const;
  // Forwards `buffered`. Pauses reading from the server if too many bytes wait
  // to be sent to the caller.
  void ForwardBuffered();
  void ForwardEvents(std::string events);
  // How many bytes may wait to be sent to the caller before reading from the
  // server pauses.
  [[nodiscard]] std::size_t MaxUnsentBytes() const;
  // Returns why a stream whose framing ended is not complete: a server that
  // breaks it off may still close the connection in order. Empty if it is
  // complete.
  [[nodiscard]] std::string_view IncompleteStreamReason() const;
  // Records what the head of an own response says of the server.
  void RecordHead(const ResponseInfo& info, TimePoint now);
  // Records the server's load and slowdown.
  void RecordLoad(const ResponseInfo& info, TimePoint now);
  // Records the gaps between the events of an attempt that ends.
  void RecordGaps(const Attempt& attempt, TimePoint now);
  // Returns the failure of the current attempt, and records the end of its
  // connection.
  Failure MakeFailure(FailureKind kind, const std::string& reason);
  // Records what the server says about the requests that it takes: now, in the
  // next time, and at all.
  void RecordAvailability(const ResponseHead& head, const ResponseInfo& info,
                          TimePoint now);
  // Records whether the server says that it is brittle.
  void RecordBrittleness(const ResponseInfo& info, TimePoint now);
  // Gives the attempt up, and returns true, if its request waits for a new
  // connection and the server has asked for a pause meanwhile.
  bool StopIfPaused(TimePoint now);
  // Records the first event of the current attempt, which is the complete
  // response if it is not a stream.
  void RecordFirstEvent();
  // Reports that the request ran at a server, or may have, unless the instance
  // that relayed it has.
  void ReportRun();
  // Records that the server survived the prompt; only the first call of an
  // attempt has an effect.
  void RecordSurvival(TimePoint now);
  // Returns whether the server has not yet survived the current attempt.
  [[nodiscard]] bool HasJustBegun(TimePoint now) const;
  // Records that the server's connection ended, which shows a crash if it had
  // just begun to run the request.
  void RecordConnectionEnd();
  // Sends the request to another server too if the current attempt's server has
  // been silent for long and another one can take it now. A silent server may
  // go on, so neither the request nor the attempt is ended for its silence.
  void CheckSilence(TimePoint now);
  // Returns a server that can take the request besides the current one,
  // and spends retry budget on it; nullopt if there is none.
  std::optional<ServerChoice> ChooseBesideSilent(TimePoint now);
  // Reports the outcome and completes the response; only the first call has an
  // effect.
  void End(Outcome outcome, EndCause cause, int status);
  // Decides whether the caller's connection may be used for another request,
  // as the head of the response announces it. Returns whether it is closed.
  bool DecideClose();
  [[nodiscard]] Duration Remaining(TimePoint now) const;
  // Returns whether the data centre appears to be unreachable.
  [[nodiscard]] bool IsSuspected(const std::string& data_centre) const;
  // Returns whether this instance may have lost the path to the server.
  [[nodiscard]] bool MayBeOutOfReach(const RegisteredServer& server,
                                     TimePoint now) const;
  // Returns a connection for this request, a new one if the path to the target
  // may be lost.
  std::optional<PooledConnection> AcquireConnection(
      const RegisteredServer& target, bool may_be_out_of_reach, TimePoint now);

  ProxyContext& context;
  RequestHead request;
  // Shared with the connections to which it is being written.
  std::shared_ptr<const std::string> body;
  ResponseSink& sink;
  // When the request arrived from its caller; here, or at the instance that
  // relays it.
  TimePoint arrival;
  // When it arrived here.
  TimePoint received_at;
  TimePoint deadline;
  // The request's id in the placement queue; nullopt while it does not wait.
  std::optional<RequestId> waiting_id;
  TimePoint wait_deadline;
  std::shared_ptr<const RoutingConfiguration> configuration;
  RequestInfo request_info;
  std::string customer;
  PlacementQuery query;
  // How many servers had no capacity for the request, by reason, in the last
  // placement.
  CapacityLimitCounts no_capacity_counts{};
  AdmissionGate admission;
  // See EndedRecord.
  int waiting_ahead = 0;
  Duration expected_wait{};
  // The StreamHash of this response's stream, if it is one.
  std::uint64_t stream_hash = 0;
  RequestSuspects suspects;
  // The suspect because of which the request was refused; 0 if there is none.
  std::uint64_t quarantined_suspect = 0;
  std::string service_name;

  // Set if another instance relays the request.
  std::optional<RelayedRequest> relayed_from;
  // The instances to which this request was relayed without success.
  std::vector<std::string> tried_instances;
  // The instance to which it was relayed last; empty if none.
  std::string relayed_to;

  Attempt current;
  // How the other instance ended the request, if it did.
  std::optional<RelayedResponse::Ending> relayed_ending;
  // When another server was last sought because of a silence.
  TimePoint silence_checked_at;
  // How the server marked the end of the last response.
  BodyFraming response_framing = BodyFraming::kNone;
  // The limit that the last response named.
  std::optional<double> named_rate_limit;
  EventSplitter splitter;
  // The attempt that was set aside; null if there is none.
  std::unique_ptr<SilentAttempt> silent_attempt;

  // Over all attempts.
  int attempts = 0;
  // Attempts for which sending started.
  int sent_attempts = 0;
  // Failed attempts that were certainly not executed.
  int not_executed_attempts = 0;
  // Attempts that may have been executed.
  int possible_executions = 0;
  bool head_forwarded = false;
  // The head of the stream that was forwarded names a content type.
  bool stream_has_type = false;
  // The response announced that the connection is closed after it.
  bool announced_close = false;
  // How the end of the response is marked for the caller.
  BodyFraming framing = BodyFraming::kNone;
  // The software versions of the servers that sent the first and the last
  // event.
  std::string first_software_version;
  std::string last_software_version;
  // When the first event was received; TimePoint{} before.
  TimePoint first_event_at;
  Duration max_event_gap{};
  TimePoint last_event_at;
  // Retry-After of the response; zero if it has none.
  Duration retry_after{};
  bool ended = false;
};

// Tries to send the waiting requests, most urgent first.
void AdmitWaiting(ProxyContext& context);

}  // namespace rosemarycove
