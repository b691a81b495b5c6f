// One caller's request from its arrival to its one outcome.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "proxy/backend_connection.h"
#include "proxy/event_splitter.h"
#include "proxy/message_writer.h"
#include "proxy/proxy_context.h"

namespace rosemarycove {

// Where the response goes.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void Write(std::string bytes) = 0;
  // The response is whole. `keep`: the connection may take another request.
  virtual void Finish(bool keep) = 0;
  // The response can't be made whole: the connection is cut, so that what was
  // written does not look complete. `reset`: an orderly end would look so.
  virtual void Abort(bool reset) = 0;
  // Bytes written and not yet taken by the caller.
  [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;
};

// Sends a request to backend servers until one answers or none may be asked
// any more. What was sent and may have run is sent again only where the route
// allows it; a refusal as not run is given only when no server got it.
class Exchange : public ResponseListener {
 public:
  Exchange(ProxyContext& context, RequestHead head, std::string body,
           ResponseSink& sink, TimePoint arrival);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start();
  // Does what is due by time.
  void Tick(TimePoint now);
  // The caller closed its connection.
  void OnCallerDisconnected();
  // Tries to place a waiting request; false when there is still no room.
  bool TryAdmit(TimePoint now);
  // The caller took what was written.
  void OnCallerDrained();

  // ResponseListener
  void OnSendStarted() override;
  HeadDecision OnHead(const ResponseHead& head) override;
  void OnBody(std::string bytes) override;
  void OnComplete() override;
  void OnFailed(FailurePhase when, const std::string& why) override;

 private:
  // What is done with the response that is coming in.
  enum class Taking : std::uint8_t {
    kNothing,    // No head yet.
    kBuffered,   // Kept until whole, then passed on.
    kPassedOn,   // Passed on as it comes.
    kStream,     // Events, passed on one by one.
    kDiscarded,  // Read to its end and dropped; another server is asked.
  };

  // Why an attempt gave no answer for the caller.
  struct Failure {
    SendResult result = SendResult::kUnreachable;
    bool may_have_run = false;
    // Not to be tried again for this request.
    bool avoid_server = true;
    std::string why;
  };

  bool FindRoute();
  bool CheckKey(const Route& route);
  void PickService();
  void Place();
  std::optional<ServerChoice> Choose(TimePoint now, NoChoice& why_not);
  void Send(const ServerChoice& picked);
  void FailAttempt(const Failure& failure);
  [[nodiscard]] bool MayTryAgain(std::string& why_not);
  void EndAttempt();
  // Forgets what came of a response that is not passed on.
  void DropResponse();
  void GiveUp(EndCause cause);
  void GiveUpForWantOfServer(NoChoice why);
  [[nodiscard]] WaitingLine& Line() const;
  [[nodiscard]] Urgency UrgencyOf() const;
  void WaitForRoom();
  void StopWaiting(bool admitted);
  void RespondLocally(int status, EndCause cause,
                      std::optional<Duration> retry);
  void RefuseNotRun(EndCause cause, Duration retry_after);
  void PassHeadOn(const ResponseHead& head, BodyFraming framing);
  void PassBufferedOn();
  void PassEventsOn(std::string events);
  void NoteFirstEvent();
  void Watch(TimePoint now);
  void End(Outcome outcome, EndCause cause, int status);
  [[nodiscard]] bool CallerKeeps() const;
  [[nodiscard]] Duration Remaining(TimePoint now) const;
  [[nodiscard]] bool ServerSuspected() const;

  ProxyContext& context;
  RequestHead request;
  std::string body;
  ResponseSink& sink;
  TimePoint arrival;
  TimePoint deadline;
  // Its place in the waiting line, while it waits.
  std::optional<RequestId> waiting_as;
  TimePoint wait_until;
  std::shared_ptr<const RoutingConfiguration> configuration;
  RequestInfo call;
  std::string customer;
  PlacementQuery query;
  // What the servers lacked when none had room for it.
  RoomLackCounts lacks{};
  std::string service_name;

  // The attempt that is on its way.
  std::optional<ServerChoice> choice;
  std::shared_ptr<BackendConnection> connection;
  bool reused = false;
  bool sent = false;
  TimePoint sent_at;
  TimePoint last_progress;
  bool first_event_seen = false;
  Taking taking = Taking::kNothing;
  std::optional<Failure> discarded_for;
  ResponseHead response;
  std::string buffered;
  EventSplitter splitter;

  // What happened over all attempts.
  int attempts = 0;
  int arrivals = 0;
  int rejections = 0;
  // Servers where it may have run.
  int ran_at = 0;
  bool head_passed_on = false;
  BodyFraming framing = BodyFraming::kNone;
  TimePoint first_event_at;
  Duration longest_gap{};
  TimePoint last_event_at;
  Duration retry_after{};
  bool is_ended = false;
};

// Places waiting requests, first come by tier and slack, while there is room.
void AdmitWaiting(ProxyContext& context);

}  // namespace rosemarycove
