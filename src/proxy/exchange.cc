#include "proxy/exchange.h"

#include <algorithm>
#include <utility>

#include "http/http_status.h"

namespace rosemarycove {
namespace {

// Responses up to this size are passed on once they are whole, so that one
// that breaks off can be had from another server.
constexpr std::size_t kMostBuffered = std::size_t{64} << 10U;
// Reading from a server stops while its caller leaves this much unread.
constexpr std::size_t kMostUnsent = std::size_t{256} << 10U;
// A connection to a server within a deployment stands after a few
// milliseconds; a lost opening packet is sent again after a second.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// Servers that may be asked after others that certainly did not run it.
constexpr int kMostRejections = 3;
// Less time than this is of no use to another server.
constexpr Duration kLeastUseful = std::chrono::milliseconds(30);
// A repeatable request without an answer goes to another server after this
// many times its target or its predicted time.
constexpr int kPatienceInTargets = 4;
constexpr int kPatienceInPredictions = 4;
constexpr Duration kLeastPatience = std::chrono::milliseconds(300);
// A resumable stream goes on elsewhere after a pause of this many times its
// gap target; callers give up at about eight times.
constexpr int kPatienceInGaps = 4;
// The same when the server's whole data centre seems cut off.
constexpr Duration kSuspectedPatience = std::chrono::milliseconds(250);
// When to come back to an instance that has no configuration yet.
constexpr Duration kNotReadyRetry = std::chrono::milliseconds(500);
// Share of its target that a request may wait for room: what is left still has
// to hold the time to the first event.
constexpr double kWaitShare = 0.4;
// Share of its target for which it waits for its home alone.
constexpr double kHomeWaitShare = 0.15;
// Waiting requests that are tried without success before the others of the
// line are left for later; they differ in size only.
constexpr int kMostFailedTries = 3;
constexpr int kFirstServerError = 500;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// Status codes that tell a caller that its request did not run.
bool PromisesNotRun(int status) {
  return status == http_status::kRequestTimeout ||
         status == http_status::kMisdirected ||
         status == http_status::kTooManyRequests ||
         status == http_status::kUnavailable;
}

bool HasNoBody(const RequestHead& request, const ResponseHead& response) {
  return request.method == "HEAD" || response.status == kNoContent ||
         response.status == kNotModified;
}

}  // namespace

Exchange::Exchange(ProxyContext& context, RequestHead head, std::string body,
                   ResponseSink& sink, TimePoint arrival)
    : context(context),
      request(std::move(head)),
      body(std::move(body)),
      sink(sink),
      arrival(arrival),
      configuration(context.configuration) {
  this->context.buffered_body_bytes += this->body.size();
}

Exchange::~Exchange() {
  this->StopWaiting(false);
  this->EndAttempt();
  this->context.buffered_body_bytes -= this->body.size();
}

void Exchange::Start() {
  this->call = this->context.dialect.ReadRequest(this->request);
  if (this->call.has_conflicting_fields) {
    this->RespondLocally(http_status::kBadRequest, EndCause::kAmbiguous, {});
    return;
  }
  if (!this->configuration) {
    this->RefuseNotRun(EndCause::kNotReady, kNotReadyRetry);
    return;
  }
  if (!this->FindRoute()) {
    return;
  }
  this->PickService();
  this->Place();
}

bool Exchange::FindRoute() {
  const Route* route = this->configuration->FindRoute(
      this->request.fields.Find("host").value_or(""), this->request.Path());
  if (route == nullptr) {
    this->RespondLocally(http_status::kNotFound, EndCause::kUnknownRoute, {});
    return false;
  }
  this->query.route = route;
  this->query.tier = route->tier;
  if (!this->CheckKey(*route)) {
    this->RespondLocally(http_status::kUnauthorized, EndCause::kUnknownKey, {});
    return false;
  }
  this->deadline =
      this->arrival +
      std::min(route->timeout, this->call.timeout.value_or(route->timeout));
  return true;
}

bool Exchange::CheckKey(const Route& route) {
  if (!this->configuration->has_customers) {
    return true;
  }
  const auto found =
      this->call.api_key
          ? this->configuration->holder_by_key.find(*this->call.api_key)
          : this->configuration->holder_by_key.end();
  if (found == this->configuration->holder_by_key.end()) {
    return route.open;
  }
  this->customer = found->second.customer;
  this->query.tier = found->second.tier.value_or(route.tier);
  return true;
}

void Exchange::PickService() {
  const std::vector<RouteShare>& shares = this->query.route->shares;
  int total = 0;
  for (const RouteShare& share : shares) {
    total += share.weight;
  }
  int left = total <= 0 ? 0
                        : static_cast<int>(this->context.random() %
                                           static_cast<unsigned>(total));
  for (const RouteShare& share : shares) {
    this->service_name = share.service;
    left -= share.weight;
    if (left < 0) {
      break;
    }
  }
  this->query.service = this->configuration->FindService(this->service_name);
  this->query.parts = this->call.prompt_parts;
  this->query.prompt_tokens = this->call.prompt_tokens;
  this->query.answer_tokens = this->call.expected_output_tokens;
  this->query.home_until =
      this->arrival +
      FromSeconds(kHomeWaitShare * ToSeconds(this->query.route->target));
  this->query.bears_pauses =
      this->configuration->BearsPauses(*this->query.route, this->service_name);
  this->query.shortest_target =
      this->configuration->ShortestTarget(this->service_name);
  this->context.retry_budget.NoteRequest(this->service_name, this->arrival);
  if (this->query.service != nullptr) {
    this->context.placer.NoteRequest(this->query, this->arrival);
  }
}

Duration Exchange::Remaining(TimePoint now) const {
  return this->deadline - now;
}

void Exchange::Place() {
  const TimePoint now = std::chrono::steady_clock::now();
  if (this->query.service == nullptr) {
    this->GiveUpForWantOfServer(NoChoice::kNoServer);
    return;
  }
  NoChoice why_not = NoChoice::kNoServer;
  std::optional<ServerChoice> picked;
  if (this->Line().HasBefore(this->UrgencyOf())) {
    why_not = NoChoice::kHeldBack;
  } else {
    picked = this->Choose(now, why_not);
  }
  if (!picked && why_not == NoChoice::kHeldBack) {
    this->WaitForRoom();
    return;
  }
  if (!picked) {
    this->GiveUpForWantOfServer(why_not);
    return;
  }
  this->Send(*picked);
}

std::optional<ServerChoice> Exchange::Choose(TimePoint now, NoChoice& why_not) {
  std::optional<ServerChoice> picked =
      this->context.placer.Choose(this->query, now, why_not);
  this->lacks = picked ? RoomLackCounts{} : this->context.placer.last_lacks();
  return picked;
}

WaitingLine& Exchange::Line() const {
  return this->context.waiting_lines[this->service_name];
}

Urgency Exchange::UrgencyOf() const {
  return {.tier = this->query.tier, .route_tier = this->query.route->tier};
}

void Exchange::WaitForRoom() {
  const TimePoint now = std::chrono::steady_clock::now();
  const Duration longest =
      FromSeconds(kWaitShare * ToSeconds(this->query.route->target));
  const Duration expected = this->Line().ExpectedWait(this->UrgencyOf(), now);
  if (expected > longest) {
    this->GiveUpForWantOfServer(NoChoice::kHeldBack);
    return;
  }
  this->wait_until = this->arrival + longest;
  this->waiting_as = this->context.next_request_id++;
  this->Line().Add(*this->waiting_as, this->UrgencyOf(), this->wait_until);
  this->context.waiting_requests.emplace(*this->waiting_as, this);
}

void Exchange::StopWaiting(bool admitted) {
  if (this->waiting_as) {
    this->Line().Remove(*this->waiting_as, admitted,
                        std::chrono::steady_clock::now());
    this->context.waiting_requests.erase(*this->waiting_as);
    this->waiting_as.reset();
  }
}

bool Exchange::TryAdmit(TimePoint now) {
  NoChoice why_not = NoChoice::kNoServer;
  const std::optional<ServerChoice> picked = this->Choose(now, why_not);
  if (!picked && why_not == NoChoice::kHeldBack) {
    return false;
  }
  this->StopWaiting(picked.has_value());
  if (picked) {
    this->Send(*picked);
  } else {
    this->GiveUpForWantOfServer(why_not);
  }
  return picked.has_value();
}

void AdmitWaiting(ProxyContext& context) {
  const TimePoint now = std::chrono::steady_clock::now();
  for (const auto& [service, line] : context.waiting_lines) {
    int failed = 0;
    for (const RequestId id : line.InOrder()) {
      const auto found = context.waiting_requests.find(id);
      if (found != context.waiting_requests.end() &&
          !found->second->TryAdmit(now) && ++failed >= kMostFailedTries) {
        break;
      }
    }
  }
}

void Exchange::Send(const ServerChoice& picked) {
  const TimePoint now = std::chrono::steady_clock::now();
  std::optional<PooledConnection> taken =
      this->context.pool.Acquire(picked.server, now);
  if (!taken) {
    this->query.tried.push_back(picked.server.id);
    this->Place();
    return;
  }
  this->choice = picked;
  this->connection = std::move(taken->connection);
  this->reused = taken->reused;
  this->sent = false;
  this->sent_at = now;
  this->last_progress = now;
  this->first_event_seen = false;
  this->taking = Taking::kNothing;
  this->discarded_for.reset();
  this->buffered.clear();
  this->splitter.DiscardPartialEvent();
  ++this->attempts;
  this->context.placer.Begin(this->query, picked, now);
  this->context.observer.OnPlaced(
      {.request = this->call.request_id,
       .route = this->query.route->name,
       .customer = this->customer,
       .tier = this->query.tier,
       .attempt = this->attempts,
       .choice = picked,
       .ledger_age = this->context.placer.ledger().Age(now),
       .directory_age = now - this->context.directory.read_at(),
       .directory_revision = this->context.directory.as_of(),
       .configuration_version = this->configuration->version,
       .reused_connection = this->reused});
  const std::string resume_from = this->splitter.last_id().empty()
                                      ? this->call.last_event_id
                                      : this->splitter.last_id();
  std::string bytes = WriteRequestHead(
      this->request, this->body.size(), this->context.dialect, this->call,
      {.remaining = this->Remaining(now),
       .server_id = picked.server.id,
       .customer = this->customer,
       .urgency = this->UrgencyOf(),
       .last_tier = this->configuration->last_tier,
       .last_event_id = resume_from});
  bytes.append(this->body);
  this->connection->Send(std::move(bytes), this->request.method == "HEAD",
                         *this);
}

void Exchange::OnSendStarted() {
  this->sent = true;
  ++this->arrivals;
}

HeadDecision Exchange::OnHead(const ResponseHead& head) {
  const ResponseInfo answer = this->context.dialect.ReadResponse(head);
  if (!answer.request_id.empty() &&
      answer.request_id != this->call.request_id) {
    return HeadDecision::kSkip;
  }
  const TimePoint now = std::chrono::steady_clock::now();
  this->last_progress = now;
  this->response = head;
  if (answer.load) {
    this->context.placer.ReportLoad(this->choice->server.id,
                                    answer.load->running, answer.load->waiting,
                                    now);
  }
  if (answer.not_executed) {
    this->taking = Taking::kDiscarded;
    this->discarded_for =
        Failure{.result = answer.is_misdirected ? SendResult::kUnreachable
                                                : SendResult::kFull,
                .may_have_run = false,
                .why = "status " + std::to_string(head.status) + ", not run"};
    return HeadDecision::kAccept;
  }
  const bool foreign = head.IsSuccess() && !answer.has_server_seal;
  const bool failed = head.status >= kFirstServerError ||
                      PromisesNotRun(head.status) || foreign;
  if (failed) {
    this->discarded_for =
        Failure{.result = foreign ? SendResult::kMalformed : SendResult::kError,
                .may_have_run = true,
                .why = "status " + std::to_string(head.status)};
    // Kept, to be passed on if no other server may be asked.
    this->taking = Taking::kBuffered;
    return HeadDecision::kAccept;
  }
  if (this->query.route->kind == RouteKind::kStream && head.IsSuccess() &&
      !HasNoBody(this->request, head)) {
    this->taking = Taking::kStream;
    if (!this->head_passed_on) {
      this->PassHeadOn(head, this->request.http_1_0 ? BodyFraming::kUntilClose
                                                    : BodyFraming::kChunked);
    }
    return HeadDecision::kAccept;
  }
  this->taking = Taking::kBuffered;
  return HeadDecision::kAccept;
}

void Exchange::PassHeadOn(const ResponseHead& head, BodyFraming how) {
  this->head_passed_on = true;
  this->framing = how;
  this->sink.Write(WriteResponseHead(head, how, !this->CallerKeeps()));
}

bool Exchange::CallerKeeps() const {
  return this->request.KeepsAlive() && !this->context.is_draining;
}

void Exchange::NoteFirstEvent() {
  if (this->first_event_seen) {
    return;
  }
  const TimePoint now = std::chrono::steady_clock::now();
  this->first_event_seen = true;
  this->context.placer.FirstEvent(this->query, *this->choice,
                                  now - this->sent_at, now);
  if (this->first_event_at == TimePoint{}) {
    this->first_event_at = now;
    this->last_event_at = now;
  }
  this->context.placer.Observe(*this->choice, SendResult::kAnswered, now);
}

void Exchange::OnBody(std::string bytes) {
  this->last_progress = std::chrono::steady_clock::now();
  switch (this->taking) {
    case Taking::kNothing:
    case Taking::kDiscarded:
      return;
    case Taking::kBuffered:
      this->buffered.append(bytes);
      if (this->buffered.size() > kMostBuffered && !this->discarded_for) {
        this->taking = Taking::kPassedOn;
        this->PassHeadOn(this->response, this->response.length
                                             ? BodyFraming::kLength
                                             : BodyFraming::kChunked);
        this->PassBufferedOn();
      }
      return;
    case Taking::kPassedOn:
      this->buffered = std::move(bytes);
      this->PassBufferedOn();
      return;
    case Taking::kStream:
      this->PassEventsOn(this->splitter.Feed(bytes));
      return;
  }
}

void Exchange::PassBufferedOn() {
  if (this->buffered.empty()) {
    return;
  }
  this->sink.Write(this->framing == BodyFraming::kChunked
                       ? WriteChunk(this->buffered)
                       : std::move(this->buffered));
  this->buffered.clear();
  if (this->connection && this->sink.unsent_bytes() > kMostUnsent) {
    this->connection->PauseReading();
  }
}

void Exchange::PassEventsOn(std::string events) {
  if (events.empty()) {
    return;
  }
  this->NoteFirstEvent();
  const TimePoint now = std::chrono::steady_clock::now();
  this->longest_gap = std::max(this->longest_gap, now - this->last_event_at);
  this->last_event_at = now;
  this->buffered = std::move(events);
  this->PassBufferedOn();
}

void Exchange::OnCallerDrained() {
  if (this->connection && this->sink.unsent_bytes() <= kMostUnsent) {
    this->connection->ResumeReading();
  }
}

void Exchange::OnComplete() {
  const std::shared_ptr<BackendConnection> done = std::move(this->connection);
  this->context.pool.Release(this->choice->server, done);
  if (this->discarded_for) {
    this->FailAttempt(*std::exchange(this->discarded_for, std::nullopt));
    return;
  }
  this->NoteFirstEvent();
  switch (this->taking) {
    case Taking::kNothing:
    case Taking::kDiscarded:
      return;
    case Taking::kBuffered:
      // A body without a length is whole now and gets one.
      if (!HasNoBody(this->request, this->response)) {
        this->response.length = this->buffered.size();
      }
      this->PassHeadOn(this->response, this->response.length
                                           ? BodyFraming::kLength
                                           : BodyFraming::kNone);
      break;
    case Taking::kPassedOn:
      break;
    case Taking::kStream:
      this->buffered = this->splitter.TakePartialEvent();
      break;
  }
  this->PassBufferedOn();
  if (this->framing == BodyFraming::kChunked) {
    this->sink.Write(std::string(kLastChunk));
  }
  const bool ran_well = this->response.IsSuccess();
  this->End(ran_well ? Outcome::kCompleted : Outcome::kFailed,
            ran_well ? EndCause::kAnswered : EndCause::kBackendError,
            this->response.status);
}

void Exchange::OnFailed(FailurePhase when, const std::string& why) {
  this->connection.reset();
  if (this->discarded_for) {
    Failure failure = *std::exchange(this->discarded_for, std::nullopt);
    this->DropResponse();
    this->FailAttempt(failure);
    return;
  }
  Failure failure{.why = why};
  switch (when) {
    case FailurePhase::kNotSent:
      // An idle connection that the server closed says nothing of the server.
      failure.avoid_server = !this->reused;
      break;
    case FailurePhase::kNoResponse:
      failure.may_have_run = true;
      break;
    case FailurePhase::kMalformedResponse:
    case FailurePhase::kDuringResponse:
      failure.result = SendResult::kMalformed;
      failure.may_have_run = true;
      break;
  }
  this->DropResponse();
  this->FailAttempt(failure);
}

void Exchange::DropResponse() {
  this->response = {};
  this->buffered.clear();
}

void Exchange::EndAttempt() {
  if (this->connection) {
    this->connection->Abort();
    this->connection.reset();
  }
  if (this->choice) {
    this->context.placer.End(*this->choice);
    this->choice.reset();
  }
}

void Exchange::FailAttempt(const Failure& failure) {
  const TimePoint now = std::chrono::steady_clock::now();
  const ServerChoice failed = *this->choice;
  const bool quiet =
      failure.result == SendResult::kUnreachable && !failure.avoid_server;
  if (!quiet && this->context.placer.Observe(failed, failure.result, now)) {
    this->context.observer.OnEjected(
        {.server = failed.server.id,
         .service = failed.server.service,
         .result = std::string(ToString(failure.result)),
         .duration =
             this->context.placer.health().EjectedUntil(failed.server.id) -
             now});
  }
  this->EndAttempt();
  if (failure.avoid_server) {
    this->query.tried.push_back(failed.server.id);
  }
  if (failure.may_have_run) {
    ++this->ran_at;
  } else {
    ++this->rejections;
  }
  std::string why_not;
  const bool again = this->MayTryAgain(why_not);
  this->context.observer.OnAttemptFailed(
      {.request = this->call.request_id,
       .attempt = this->attempts,
       .server = failed.server.id,
       .result = std::string(ToString(failure.result)),
       .reason = failure.why,
       .elapsed = now - this->sent_at,
       .may_have_run = failure.may_have_run,
       .next = again ? NextStep::kAnotherServer : NextStep::kGiveUp,
       .next_reason = why_not});
  if (again) {
    this->DropResponse();
    this->Place();
    return;
  }
  if (failure.result == SendResult::kError && this->response.status != 0 &&
      !this->head_passed_on && !PromisesNotRun(this->response.status)) {
    this->response.length = this->buffered.size();
    this->PassHeadOn(this->response, BodyFraming::kLength);
    this->PassBufferedOn();
    this->End(Outcome::kFailed, EndCause::kBackendError, this->response.status);
    return;
  }
  this->GiveUp(failure.may_have_run ? EndCause::kAnswerLost
                                    : EndCause::kNoBackend);
}

bool Exchange::MayTryAgain(std::string& why_not) {
  const Route& route = *this->query.route;
  if (this->Remaining(std::chrono::steady_clock::now()) < kLeastUseful) {
    why_not = "no time left";
    return false;
  }
  if (this->ran_at > 0 && !route.MayRepeat()) {
    why_not = "may have run and must not run twice";
    return false;
  }
  if (this->ran_at >= std::max(1, route.attempts)) {
    why_not = "attempts of the route used up";
    return false;
  }
  if (this->rejections > kMostRejections) {
    why_not = "rejected too often";
    return false;
  }
  if (this->head_passed_on &&
      (route.kind != RouteKind::kStream || !route.resumable)) {
    why_not = "part of the answer was passed on";
    return false;
  }
  if (this->arrivals > 0 &&
      !this->context.retry_budget.Spend(this->service_name,
                                        std::chrono::steady_clock::now())) {
    why_not = "retry budget spent";
    return false;
  }
  return true;
}

void Exchange::GiveUpForWantOfServer(NoChoice why) {
  const bool full = why == NoChoice::kFull || why == NoChoice::kHeldBack;
  const EndCause cause = full ? EndCause::kQueueFull : EndCause::kNoBackend;
  this->GiveUp(cause);
}

void Exchange::GiveUp(EndCause cause) {
  if (this->head_passed_on) {
    this->sink.Abort(this->framing == BodyFraming::kUntilClose);
    this->End(Outcome::kFailed, cause, this->response.status);
    return;
  }
  if (this->ran_at > 0) {
    this->RespondLocally(cause == EndCause::kMaxWait
                             ? http_status::kGatewayTimeout
                             : http_status::kBadGateway,
                         cause, {});
    return;
  }
  const TimePoint now = std::chrono::steady_clock::now();
  this->RefuseNotRun(cause,
                     this->query.service == nullptr
                         ? kNotReadyRetry
                         : this->context.placer.RoomIn(this->query, now));
}

void Exchange::RefuseNotRun(EndCause cause, Duration least) {
  // Spread, so that callers refused together do not come back together.
  std::uniform_real_distribution<double> spread(1.0, 1.6);
  this->retry_after =
      FromSeconds(ToSeconds(least) * spread(this->context.random));
  this->RespondLocally(http_status::kUnavailable, cause, this->retry_after);
}

void Exchange::RespondLocally(int status, EndCause cause,
                              std::optional<Duration> retry) {
  this->sink.Write(
      WriteLocalResponse({.status = status,
                          .retry_after = retry,
                          .body = std::string(ToString(cause)) + "\n",
                          .close = !this->CallerKeeps(),
                          .head_only = this->request.method == "HEAD"}));
  this->End(this->ran_at > 0 ? Outcome::kUnknown : Outcome::kRefused, cause,
            status);
}

bool Exchange::ServerSuspected() const {
  return this->choice && this->context.placer.suspected_data_centres().contains(
                             this->choice->server.data_centre);
}

void Exchange::Tick(TimePoint now) {
  if (this->is_ended) {
    return;
  }
  if (this->waiting_as && now >= std::min(this->wait_until, this->deadline)) {
    this->StopWaiting(false);
    this->GiveUpForWantOfServer(NoChoice::kHeldBack);
    return;
  }
  if (!this->choice) {
    return;
  }
  if (now >= this->deadline) {
    if (this->sent) {
      ++this->ran_at;
    }
    this->context.placer.ObserveSilence(this->query, *this->choice,
                                        now - this->sent_at, now);
    this->EndAttempt();
    this->GiveUp(EndCause::kMaxWait);
    return;
  }
  if (!this->connection->is_connected() && !this->sent &&
      now - this->sent_at > kConnectTimeout) {
    this->connection->Abort();
    this->OnFailed(FailurePhase::kNotSent, "connection timed out");
    return;
  }
  this->Watch(now);
}

void Exchange::Watch(TimePoint now) {
  const Route& route = *this->query.route;
  if (!route.MayRepeat() || !this->sent || this->discarded_for ||
      this->ran_at + 1 >= route.attempts) {
    return;
  }
  const Duration silence = now - this->last_progress;
  Duration patience{};
  if (!this->first_event_seen) {
    patience = std::max({kPatienceInTargets * route.target,
                         kPatienceInPredictions * this->choice->predicted_first,
                         kLeastPatience});
  } else if (route.kind == RouteKind::kStream && route.gap_target) {
    patience = std::max(kPatienceInGaps * *route.gap_target, kLeastPatience);
  } else {
    return;
  }
  if (this->ServerSuspected()) {
    patience =
        std::min(patience, kSuspectedPatience + this->choice->predicted_first);
  }
  if (silence <= patience) {
    return;
  }
  this->context.placer.ObserveSilence(this->query, *this->choice, silence, now);
  this->connection->Abort();
  this->connection.reset();
  this->DropResponse();
  this->FailAttempt(
      {.result = SendResult::kSilent, .may_have_run = true, .why = "silent"});
}

void Exchange::OnCallerDisconnected() {
  if (this->is_ended) {
    return;
  }
  if (this->sent) {
    ++this->ran_at;
  }
  this->EndAttempt();
  this->End(Outcome::kCancelled, EndCause::kCallerLeft, 0);
}

void Exchange::End(Outcome outcome, EndCause cause, int status) {
  if (this->is_ended) {
    return;
  }
  this->is_ended = true;
  this->StopWaiting(false);
  const TimePoint now = std::chrono::steady_clock::now();
  const std::string server = this->choice ? this->choice->server.id : "";
  const Route* route = this->query.route;
  const bool answered = this->first_event_at != TimePoint{};
  const bool on_target =
      outcome == Outcome::kCompleted && route != nullptr && answered &&
      this->first_event_at - this->arrival <= route->target &&
      (!route->gap_target || this->longest_gap <= *route->gap_target);
  Ran ran = this->ran_at > 0 ? Ran::kUnknown : Ran::kNo;
  if (answered) {
    ran = Ran::kYes;
  }
  this->context.observer.OnEnded(
      {.request = this->call.request_id,
       .route = route == nullptr ? "" : route->name,
       .service = this->service_name,
       .customer = this->customer,
       .tier = this->query.tier,
       .outcome = outcome,
       .cause = cause,
       .ran = ran,
       .status = status,
       .attempts = this->attempts,
       .server = server,
       .time_to_first_event =
           answered ? this->first_event_at - this->arrival : Duration{},
       .total_time = now - this->arrival,
       .event_count = this->splitter.event_count(),
       .retry_after = this->retry_after,
       .on_target = on_target,
       .lacks = this->lacks,
       .configuration_version =
           this->configuration ? this->configuration->version : 0});
  this->EndAttempt();
  if (outcome != Outcome::kCancelled) {
    this->sink.Finish(this->CallerKeeps() &&
                      this->framing != BodyFraming::kUntilClose);
  }
}

}  // namespace rosemarycove
