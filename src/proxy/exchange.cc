#include "proxy/exchange.h"

#include <algorithm>
#include <utility>

#include "core/request_hash.h"
#include "http/http_status.h"
#include "http/sse_parser.h"
#include "net/clock.h"
#include "proxy/demand_meter.h"

namespace rosemarycove {
namespace {

// Responses up to this size, in bytes, are forwarded once they are complete, so
// that the request can be retried at another server if one ends early.
constexpr std::size_t kMaxBufferedBytes = std::size_t{64} << 10U;
// Maximum size, in bytes, of the body of a response that makes the attempt
// fail. A larger one is not read to its end.
constexpr std::size_t kMaxFailureBytes = std::size_t{256} << 10U;
// Reading from a server pauses while more than this many bytes wait to be sent
// to the caller; fewer while memory is short, which callers that read don't
// notice.
constexpr std::size_t kMaxUnsentBytes = std::size_t{256} << 10U;
constexpr std::size_t kMaxUnsentBytesWhenShort = std::size_t{32} << 10U;
// Connecting to a server of the same deployment takes a few milliseconds. A
// lost SYN packet is retransmitted only after a second, so another server is
// faster.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// Maximum number of retries after attempts that were certainly not executed.
constexpr int kMaxNotExecutedAttempts = 3;
// A request is not retried with less time than this until its deadline.
constexpr Duration kMinRetryTime = std::chrono::milliseconds(30);
// A repeatable request without a first event is sent to another server after a
// silence of this many times its target or its predicted time to the first
// event, whichever is longer.
constexpr int kSilenceTargets = 4;
constexpr int kSilencePredictions = 4;
constexpr Duration kMinSilenceTimeout = std::chrono::milliseconds(300);
// A resumable stream is resumed at another server after a silence of this many
// times its gap target; callers give up at about eight times.
constexpr int kSilenceGaps = 4;
// Callers leave a stream, also before its first event, after a gap of this many
// times its target or its gap target, or the minimum, whichever is longest.
constexpr int kPatienceTargets = 4;
constexpr int kPatienceGaps = 8;
constexpr Duration kMinPatience = std::chrono::seconds(2);
// Time in which another server begins to respond.
constexpr Duration kSwitchTime = std::chrono::milliseconds(250);
// When the server's whole data centre appears to be unreachable, both timeouts
// are at most this plus the predicted time to the first event.
constexpr Duration kSuspectedSilenceTimeout = std::chrono::milliseconds(250);
// Retry-After of an instance that has no configuration yet, and of services
// that are not configured.
constexpr Duration kNotReadyRetryAfter = std::chrono::milliseconds(500);
// Retry-After of an instance that is shutting down, while others are ready.
constexpr Duration kDrainingRetryAfter = std::chrono::milliseconds(100);
// Retry-After of an instance that has no memory left for a request.
constexpr Duration kNoMemoryRetryAfter = std::chrono::seconds(1);
// Retry-After of a resumed stream of unknown origin: another instance may be
// about to tell the origin.
constexpr Duration kUnknownSoftwareRetryAfter = std::chrono::milliseconds(500);
// A stream that was broken off waits for a server to go on at for this many
// times its gap target.
constexpr int kResumptionWaitGaps = 2;
// Fraction of its target that a request may wait for capacity. The rest has to
// suffice for the time to the first event.
constexpr double kMaxWaitFraction = 0.4;
// Fraction of its target for which a request waits for capacity at the server
// that has its prompt cached before other servers are considered.
constexpr double kAffinityWaitFraction = 0.15;
// A stream with fewer gaps between its events says little of the server's pace.
constexpr int kMinGapsToRecord = 2;
// Once this many waiting requests of a queue found no capacity, the rest are
// not tried in this round, since they differ only in size.
constexpr int kMaxFailedPlacements = 3;
// A reused connection that ends without a response, within this many times the
// time it took to connect and a margin, had been closed before.
constexpr int kStaleRoundTrips = 2;
constexpr Duration kStaleMargin = std::chrono::milliseconds(2);
constexpr Duration kMaxStaleTime = std::chrono::milliseconds(50);
// A server that sends events for this long after the first one has survived the
// prompt.
constexpr Duration kSurvivalTime = std::chrono::milliseconds(250);
constexpr char kServerGoesOn[] = "the silent server goes on";
constexpr int kFirstServerError = 500;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// Returns whether callers take the status code to mean that the request was not
// executed.
bool ImpliesNotExecuted(int status) {
  return status == http_status::kRequestTimeout ||
         status == http_status::kMisdirected ||
         status == http_status::kTooManyRequests ||
         status == http_status::kUnavailable;
}

// Returns whether a request that was not placed for this reason may wait.
bool MayWait(NoChoiceReason reason) {
  return reason == NoChoiceReason::kHeldBack ||
         reason == NoChoiceReason::kAwaitsAffinity ||
         reason == NoChoiceReason::kAwaitsSoftware;
}

WaitReason WaitReasonOf(NoChoiceReason reason) {
  switch (reason) {
    case NoChoiceReason::kAwaitsAffinity:
      return WaitReason::kAffinity;
    case NoChoiceReason::kAwaitsSoftware:
      return WaitReason::kSoftware;
    default:
      return WaitReason::kCapacity;
  }
}

// Returns whether the response is a stream of events. On stream routes the type
// may be missing.
bool IsEventStream(const Route& route, const ResponseHead& response) {
  const std::string_view type = response.MediaType();
  return type.empty() ? route.kind == RouteKind::kStream
                      : TokensEqual(type, "text/event-stream");
}

// Returns whether an instance ended a relayed request for a cause that may not
// exist at others.
bool IsEndingOfInstance(EndCause cause) {
  return cause == EndCause::kDraining || cause == EndCause::kNotReady ||
         cause == EndCause::kNoBackend || cause == EndCause::kUnknownRoute ||
         cause == EndCause::kUnknownApiKey ||
         cause == EndCause::kAmbiguousHeader;
}

bool HasNoBody(const RequestHead& request, const ResponseHead& response) {
  return request.method == "HEAD" || response.status == kNoContent ||
         response.status == kNotModified;
}

}  // namespace

class Exchange::SilentAttempt : public ResponseListener {
 public:
  SilentAttempt(Exchange& exchange, Attempt set_aside, EventSplitter splitter)
      : attempt(std::move(set_aside)),
        splitter(std::move(splitter)),
        exchange(exchange) {
    this->attempt.connection->SetListener(*this);
  }

  void OnSendStarted() override {}
  HeadDecision OnHead(const ResponseHead& head) override {
    return this->exchange.OnSilentHead(head);
  }
  void OnBody(std::string bytes) override {
    // Ends the life of this object.
    Exchange& owner = this->exchange;
    owner.WithdrawToSilentAttempt(kServerGoesOn);
    owner.OnBody(std::move(bytes));
  }
  void OnComplete() override {
    Exchange& owner = this->exchange;
    owner.WithdrawToSilentAttempt(kServerGoesOn);
    owner.OnComplete();
  }
  void OnFailed(FailureKind kind, const std::string& reason) override {
    this->exchange.OnSilentFailed(kind, reason);
  }

  Attempt attempt;
  // The state of the stream when the attempt was set aside.
  EventSplitter splitter;

 private:
  Exchange& exchange;
};

Exchange::Exchange(ProxyContext& context, RequestHead head,
                   std::string request_body, ResponseSink& sink,
                   TimePoint arrival, bool from_instance)
    : context(context),
      request(std::move(head)),
      body(std::make_shared<const std::string>(std::move(request_body))),
      sink(sink),
      arrival(arrival),
      received_at(arrival),
      configuration(context.configuration),
      admission(context.admission, context.placer) {
  if (from_instance) {
    this->relayed_from.emplace();
  }
}

Exchange::~Exchange() {
  this->StopWaiting(false);
  this->EndAllAttempts();
}

std::size_t Exchange::HeldBytes() const {
  // The parts of the prompt and the ids of those that are shared.
  const std::size_t part_bytes =
      this->query.parts.capacity() * sizeof(PromptPart) +
      this->suspects.parts.capacity() * sizeof(std::uint64_t);
  return sizeof(*this) + this->request.HeldBytes() + part_bytes +
         this->body->size() + this->current.buffered.size() +
         this->splitter.partial_event().size();
}

std::size_t Exchange::UnwrittenBytes() const {
  return this->current.connection ? this->current.connection->unwritten_bytes()
                                  : 0;
}

std::size_t Exchange::MaxUnsentBytes() const {
  return this->context.body_budget.is_calm() ? kMaxUnsentBytes
                                             : kMaxUnsentBytesWhenShort;
}

bool Exchange::ReadRelayedRequest() {
  std::optional<RelayedRequest> relayed = TakeRelayedRequest(this->request);
  if (!relayed) {
    this->RespondLocally(http_status::kBadRequest, EndCause::kAmbiguousHeader,
                         {});
    return false;
  }
  this->relayed_from = std::move(relayed);
  this->arrival -= this->relayed_from->age;
  this->possible_executions = this->relayed_from->possible_executions;
  return true;
}

void Exchange::Start() {
  if (this->relayed_from && !this->ReadRelayedRequest()) {
    return;
  }
  this->request_info = this->context.dialect.ReadRequest(this->request);
  this->query.parts = std::move(this->request_info.prompt_parts);
  if (this->relayed_from && !this->relayed_from->last_event_id.empty()) {
    this->request_info.last_event_id = this->relayed_from->last_event_id;
  }
  if (this->request_info.has_conflicting_fields) {
    this->RespondLocally(http_status::kBadRequest, EndCause::kAmbiguousHeader,
                         {});
    return;
  }
  if (!this->configuration) {
    this->RejectAsNotExecuted(EndCause::kNotReady, kNotReadyRetryAfter);
    return;
  }
  if (!this->ResolveRoute()) {
    return;
  }
  // The request may have waited until there was memory to read it.
  if (MonotonicNow() >= this->deadline) {
    this->GiveUp(EndCause::kMaxWait);
    return;
  }
  if (!this->context.shutdown.AcceptsAt(this->received_at)) {
    this->RejectAsNotExecuted(EndCause::kDraining, kDrainingRetryAfter);
    return;
  }
  this->SetSuspects();
  if (!this->sink.MayHold(this->customer)) {
    this->RejectAsNotExecuted(EndCause::kNoMemory, kNoMemoryRetryAfter);
    return;
  }
  if (!this->RequireStreamSoftware()) {
    return;
  }
  this->ChooseService();
  this->EnterAdmission();
  this->Place();
}

void Exchange::EnterAdmission() {
  // The instance that got the request from its caller has admitted it. A stream
  // that goes on was admitted before.
  if (this->relayed_from || this->ResumesStream()) {
    return;
  }
  // Without the body, so that callers may change other parts of it.
  const std::span<const PromptPart> parts = this->query.parts;
  const std::uint64_t identity =
      parts.empty()
          ? this->suspects.request_hash
          : RequestHash(
                RequestHash(
                    {.method = this->request.method,
                     .target = this->request.target,
                     .host = this->request.fields.Find("host").value_or(""),
                     .caller = this->customer,
                     .body = {}}),
                parts);
  this->admission.Arrive({.customer = IdHash(this->customer),
                          .identity = identity,
                          .time_limit = this->deadline - this->arrival},
                         this->query, this->arrival);
}

bool Exchange::RequireStreamSoftware() {
  if (this->query.route->kind != RouteKind::kStream) {
    return true;
  }
  this->stream_hash = StreamHash(this->customer, this->request_info.request_id);
  if (!this->ResumesStream()) {
    return true;
  }
  std::optional<std::uint64_t> software;
  if (!this->request_info.resumed_request.empty()) {
    this->stream_hash =
        StreamHash(this->customer, this->request_info.resumed_request);
    software = this->context.stream_origins.Find(this->stream_hash);
  }
  if (!software) {
    const TimePoint now = MonotonicNow();
    software = this->context.software_history.OnlySoftware(
        this->query.route->ServiceNames(),
        now - this->context.directory_current_at, now);
  }
  if (!software) {
    this->GiveUp(EndCause::kUnknownSoftware, kUnknownSoftwareRetryAfter);
    return false;
  }
  this->query.required_software = software;
  return true;
}

void Exchange::RecordStreamOrigin() {
  const Route& route = *this->query.route;
  if (!route.is_resumable ||
      this->current.response_mode != ResponseMode::kStream) {
    return;
  }
  const std::uint64_t software = SoftwareHash(this->current.choice->server);
  this->query.required_software = software;
  this->context.stream_origins.Add(
      {.stream = this->stream_hash, .software = software}, MonotonicNow());
}

bool Exchange::ResolveRoute() {
  const Route* route = this->configuration->FindRoute(
      this->request.fields.Find("host").value_or(""), this->request.Path());
  if (route == nullptr) {
    this->RespondLocally(http_status::kNotFound, EndCause::kUnknownRoute, {});
    return false;
  }
  this->query.route = route;
  this->query.tier = route->tier;
  if (!this->CheckApiKey(*route)) {
    this->RespondLocally(http_status::kUnauthorized, EndCause::kUnknownApiKey,
                         {});
    return false;
  }
  this->deadline =
      this->arrival +
      std::min(route->timeout,
               this->request_info.timeout.value_or(route->timeout));
  return true;
}

bool Exchange::CheckApiKey(const Route& route) {
  if (!this->configuration->requires_keys) {
    return true;
  }
  const auto found =
      this->request_info.api_key
          ? this->configuration->holder_by_key.find(*this->request_info.api_key)
          : this->configuration->holder_by_key.end();
  if (found == this->configuration->holder_by_key.end()) {
    return route.allows_anonymous;
  }
  this->customer = found->second.customer;
  this->query.tier = found->second.tier.value_or(route.tier);
  return true;
}

void Exchange::SetSuspects() {
  const std::uint64_t content_hash =
      RequestHash({.method = this->request.method,
                   .target = this->request.target,
                   .host = this->request.fields.Find("host").value_or(""),
                   .caller = this->customer,
                   .body = *this->body});
  const std::vector<PromptPart>& parts = this->query.parts;
  this->suspects = {.content_hash = content_hash,
                    .request_hash = RequestHash(content_hash, parts)};
  this->suspects.parts.reserve(parts.size());
  for (const PromptPart& part : SharedParts(parts)) {
    this->suspects.parts.push_back(part.id);
  }
}

void Exchange::ChooseService() {
  const std::vector<WeightedService>& services = this->query.route->services;
  int total_weight = 0;
  for (const WeightedService& weighted : services) {
    total_weight += weighted.weight;
  }
  int remaining_weight =
      total_weight <= 0 ? 0
                        : static_cast<int>(this->context.random() %
                                           static_cast<unsigned>(total_weight));
  for (const WeightedService& weighted : services) {
    this->service_name = weighted.service;
    remaining_weight -= weighted.weight;
    if (remaining_weight < 0) {
      break;
    }
  }
  if (this->query.required_software) {
    this->service_name =
        this->ServiceOf(*this->query.required_software, this->service_name);
  }
  if (this->query.route->is_resumable && !this->query.required_software) {
    this->query.excluded_software = this->context.software_history.NewSoftware(
        this->service_name, this->arrival);
  }
  this->query.service = this->configuration->FindService(this->service_name);
  this->query.prompt_tokens = this->request_info.prompt_tokens;
  this->query.body_bytes = this->body->size();
  this->query.expected_output_tokens =
      this->request_info.expected_output_tokens;
  this->query.affinity_wait_until =
      this->arrival +
      FromSeconds(kAffinityWaitFraction * ToSeconds(this->query.route->target));
  this->query.tolerates_pauses = this->configuration->ToleratesPauses(
      *this->query.route, this->service_name,
      this->context.prompt_sizes.Record(this->query.route->name,
                                        this->query.prompt_tokens));
  this->query.shortest_target =
      this->configuration->ShortestTarget(this->service_name);
  // The instance that got the request from its caller counts it.
  if (this->relayed_from) {
    return;
  }
  this->context.retry_budget.RecordRequest(this->service_name, this->arrival);
  if (this->query.service != nullptr) {
    this->context.placer.RecordRequest(this->query, this->arrival);
  }
}

std::string Exchange::ServiceOf(std::uint64_t software,
                                const std::string& default_service) const {
  const std::vector<std::string> names = this->query.route->ServiceNames();
  for (const auto& [id, server] : this->context.directory.servers()) {
    if (SoftwareHash(server) == software &&
        std::find(names.begin(), names.end(), server.service) != names.end()) {
      return server.service;
    }
  }
  return default_service;
}

Duration Exchange::Remaining(TimePoint now) const {
  return this->deadline - now;
}

bool Exchange::IsTooLate(TimePoint sent_at) const {
  // The rest of a stream whose beginning was forwarded is broken off in any
  // case if it isn't sent on.
  if (!this->context.shutdown.has_started() || this->head_forwarded) {
    return false;
  }
  // Once it may have been executed, the request can't be refused, and what is
  // more likely than not to end in time is worth an attempt.
  const Route& route = *this->query.route;
  const Duration usual = this->possible_executions > 0
                             ? this->context.durations.MedianTime(route)
                             : this->context.durations.LongTime(route);
  return !this->context.shutdown.HasTimeFor(
      std::clamp(this->Remaining(sent_at), Duration{}, usual), sent_at);
}

bool Exchange::GiveUpIfTooLate(TimePoint now) {
  if (!this->IsTooLate(now)) {
    return false;
  }
  this->GiveUp(EndCause::kDraining, kDrainingRetryAfter);
  return true;
}

bool Exchange::GiveUpIfQuarantined(TimePoint now) {
  const std::optional<QuarantinedSuspect> found =
      this->context.quarantine.FindQuarantined(this->suspects, now);
  if (!found) {
    return false;
  }
  this->quarantined_suspect = found->suspect;
  this->GiveUp(EndCause::kQuarantined, found->remaining);
  return true;
}

void Exchange::Place() {
  const TimePoint now = MonotonicNow();
  if (this->GiveUpIfTooLate(now) || this->GiveUpIfQuarantined(now)) {
    return;
  }
  if (this->query.service == nullptr) {
    this->GiveUpWithoutServer(NoChoiceReason::kNoServer);
    return;
  }
  NoChoiceReason no_choice = NoChoiceReason::kNoServer;
  this->query.withheld = this->context.placement_queues.WithheldOnArrival(
      this->service_name, this->RequestUrgency());
  const std::optional<ServerChoice> chosen = this->ChooseServer(now, no_choice);
  if (!chosen && MayWait(no_choice)) {
    this->StartWaiting(WaitReasonOf(no_choice));
    return;
  }
  if (!chosen && no_choice == NoChoiceReason::kOutOfReach) {
    this->Relay();
    return;
  }
  if (!chosen) {
    this->GiveUpWithoutServer(no_choice);
    return;
  }
  this->Send(*chosen);
}

std::optional<ServerChoice> Exchange::ChooseServer(TimePoint now,
                                                   NoChoiceReason& no_choice) {
  this->admission.Prepare(this->query, now);
  this->query.may_relay =
      !this->relayed_from &&
      this->context.placer.reach().HasFailures(this->service_name) &&
      this->context.relays.HasPeer(this->MakeRelayQuery(), now);
  std::optional<ServerChoice> chosen =
      this->context.placer.Choose(this->query, now, no_choice);
  this->no_capacity_counts = chosen
                                 ? CapacityLimitCounts{}
                                 : this->context.placer.last_capacity_limits();
  return chosen;
}

PlacementQueue& Exchange::Queue() const {
  return this->context.placement_queues.Of(this->service_name,
                                           this->query.tolerates_pauses);
}

Urgency Exchange::RequestUrgency() const {
  return {.tier = this->query.tier, .route_tier = this->query.route->tier};
}

void Exchange::StartWaiting(WaitReason reason) {
  const TimePoint now = MonotonicNow();
  Duration max_wait =
      FromSeconds(kMaxWaitFraction * ToSeconds(this->query.route->target));
  this->waiting_ahead = this->Queue().CountAhead(this->RequestUrgency());
  this->expected_wait = this->Queue().ExpectedWait(this->RequestUrgency(), now);
  bool waits = this->expected_wait <= max_wait;
  Duration order_delay{};
  if (const std::optional<WaitDecision> decision =
          this->admission.DecideWait(this->waiting_ahead, now)) {
    waits = decision->waits || this->head_forwarded;
    max_wait = decision->max_wait;
    order_delay = decision->order_delay;
    this->expected_wait = decision->expected;
  }
  if (reason == WaitReason::kCapacity && !waits) {
    this->GiveUpWithoutServer(NoChoiceReason::kHeldBack);
    return;
  }
  if (this->IsTooLate(now + this->expected_wait)) {
    this->GiveUp(EndCause::kDraining, kDrainingRetryAfter);
    return;
  }
  this->wait_deadline = this->arrival + max_wait;
  if (this->head_forwarded) {
    this->wait_deadline =
        std::max(this->wait_deadline,
                 now + kResumptionWaitGaps *
                           this->query.route->gap_target.value_or(Duration{}));
  }
  this->waiting_id = this->context.next_request_id++;
  this->Queue().Add(*this->waiting_id, this->RequestUrgency(),
                    this->wait_deadline + order_delay, reason);
  this->context.waiting_requests.emplace(*this->waiting_id, this);
}

void Exchange::StopWaiting(bool admitted) {
  if (this->waiting_id) {
    this->Queue().Remove(*this->waiting_id, admitted, MonotonicNow());
    this->context.waiting_requests.erase(*this->waiting_id);
    this->waiting_id.reset();
  }
}

AdmitResult Exchange::TryAdmit(TimePoint now) {
  if (this->GiveUpIfTooLate(now) || this->GiveUpIfQuarantined(now)) {
    return AdmitResult::kLeftQueue;
  }
  NoChoiceReason no_choice = NoChoiceReason::kNoServer;
  this->query.withheld = this->context.placement_queues.WithheldWhileWaiting(
      this->service_name, this->query.tolerates_pauses, this->RequestUrgency());
  const std::optional<ServerChoice> chosen = this->ChooseServer(now, no_choice);
  if (!chosen && MayWait(no_choice)) {
    const WaitReason reason = WaitReasonOf(no_choice);
    this->Queue().SetReason(*this->waiting_id, reason);
    return reason == WaitReason::kCapacity ? AdmitResult::kNoCapacity
                                           : AdmitResult::kAwaitsAffinity;
  }
  this->StopWaiting(chosen.has_value());
  if (chosen) {
    this->Send(*chosen);
  } else if (no_choice == NoChoiceReason::kOutOfReach) {
    this->Relay();
  } else {
    this->GiveUpWithoutServer(no_choice);
  }
  return AdmitResult::kLeftQueue;
}

namespace {

void AdmitWaitingOf(const PlacementQueue& queue, ProxyContext& context,
                    TimePoint now) {
  int failed = 0;
  for (const RequestId id : queue.OrderedIds()) {
    const auto found = context.waiting_requests.find(id);
    if (found != context.waiting_requests.end() &&
        found->second->TryAdmit(now) == AdmitResult::kNoCapacity &&
        ++failed >= kMaxFailedPlacements) {
      return;
    }
  }
}

}  // namespace

void AdmitWaiting(ProxyContext& context) {
  const TimePoint now = MonotonicNow();
  for (const auto& [service, queues] : context.placement_queues.all()) {
    AdmitWaitingOf(queues.unreserved, context, now);
    AdmitWaitingOf(queues.reserved, context, now);
  }
}

void Exchange::Send(const ServerChoice& chosen) {
  const TimePoint now = MonotonicNow();
  std::optional<PooledConnection> acquired = this->AcquireConnection(
      chosen.server, this->MayBeOutOfReach(chosen.server, now), now);
  if (!acquired) {
    this->query.tried_servers.push_back(chosen.server.id);
    if (this->silent_attempt) {
      this->ReturnToSilentAttempt();
    } else {
      this->Place();
    }
    return;
  }
  this->BeginAttempt(chosen, std::move(*acquired), now);
  this->admission.Admit(now);
  this->context.placer.RecordSend(this->query, chosen, now);
  this->current.is_quarantine_trial =
      this->context.quarantine.RecordSend(this->suspects, now);
  this->context.observer.OnPlaced(
      {.request_id = this->request_info.request_id,
       .route = this->query.route->name,
       .customer = this->customer,
       .tier = this->query.tier,
       .attempt = this->current.number,
       .choice = chosen,
       .resumed_request = this->request_info.resumed_request,
       .ledger_age = this->context.placer.ledger().MaxPeerAge(now),
       .directory_age = now - this->context.directory.read_at(),
       .directory_revision = this->context.directory.revision(),
       .configuration_version = this->configuration->version,
       .reused_connection = this->current.connection_reused,
       .connection_idle = this->current.connection_idle});
  std::string bytes =
      WriteRequestHead(this->request, this->body->size(), this->context.dialect,
                       this->request_info,
                       {.remaining = this->Remaining(now),
                        .server_id = chosen.server.id,
                        .customer = this->customer,
                        .urgency = this->RequestUrgency(),
                        .max_tier = this->configuration->max_tier,
                        .last_event_id = this->ResumeFrom()});
  this->current.connection->Send(
      std::move(bytes), this->request.method == "HEAD", *this, this->body);
}

std::string Exchange::ResumeFrom() const {
  return this->splitter.last_id().empty() ? this->request_info.last_event_id
                                          : this->splitter.last_id();
}

RelayQuery Exchange::MakeRelayQuery() const {
  return {.service = this->service_name,
          .data_centre = this->context.data_centre,
          .min_configuration_version = this->configuration->version,
          .tried = this->tried_instances};
}

void Exchange::Relay() {
  const TimePoint now = MonotonicNow();
  std::optional<RelayPeer> peer =
      this->context.relays.Choose(this->MakeRelayQuery(), now);
  if (!peer) {
    this->GiveUpWithoutServer(NoChoiceReason::kOutOfReach);
    return;
  }
  const RegisteredServer target{.id = "instance " + peer->instance,
                                .service = this->service_name,
                                .address = peer->address,
                                .data_centre = peer->data_centre};
  std::optional<PooledConnection> acquired = this->AcquireConnection(
      target, this->IsSuspected(target.data_centre), now);
  if (!acquired) {
    this->tried_instances.push_back(peer->instance);
    this->Relay();
    return;
  }
  this->BeginAttempt({.server = target}, std::move(*acquired), now);
  this->current.relay = std::move(peer);
  this->relayed_to = this->current.relay->instance;
  this->relayed_ending.reset();
  this->context.relays.RecordSend(this->current.relay->instance, now);
  this->context.observer.OnRelayed(
      {.request_id = this->request_info.request_id,
       .route = this->query.route->name,
       .service = this->service_name,
       .attempt = this->current.number,
       .to_instance = this->current.relay->instance,
       .to_data_centre = this->current.relay->data_centre,
       .failed_attempts = this->attempts - 1,
       .reused_connection = this->current.connection_reused});
  std::string bytes = WriteRelayedRequestHead(
      this->request, this->body->size(), this->context.dialect,
      {.from_instance = this->context.instance,
       .age = now - this->arrival,
       .last_event_id = this->ResumeFrom(),
       .possible_executions = this->possible_executions});
  this->current.connection->Send(
      std::move(bytes), this->request.method == "HEAD", *this, this->body);
}

void Exchange::BeginAttempt(const ServerChoice& chosen,
                            PooledConnection acquired, TimePoint now) {
  const Duration connect_time = acquired.connection->connect_time();
  this->current = {
      .number = ++this->attempts,
      .choice = chosen,
      .connection_target = chosen.server,
      .connection = std::move(acquired.connection),
      .connection_reused = acquired.reused,
      .connection_idle = acquired.idle,
      .stale_time = std::min(kStaleRoundTrips * connect_time + kStaleMargin,
                             kMaxStaleTime),
      .sent_at = now,
      .last_bytes_at = now};
  this->splitter.DiscardPartialEvent();
}

void Exchange::OnSendStarted() {
  this->current.send_started = true;
  // The other instance counts what it sends to servers.
  if (!this->current.relay) {
    ++this->sent_attempts;
  }
}

bool Exchange::IsOwnResponse(const Attempt& attempt,
                             const ResponseInfo& response_info) const {
  if (attempt.relay) {
    return true;
  }
  // On a kept connection, a response without an id may belong to an earlier
  // request: servers at fault write responses more than once.
  return response_info.request_id.empty()
             ? !attempt.connection->has_received_response()
             : response_info.request_id == this->request_info.request_id;
}

void Exchange::RecordAvailability(const ResponseHead& head,
                                  const ResponseInfo& info, TimePoint now) {
  if (info.is_misdirected) {
    return;
  }
  const RegisteredServer& server = this->current.choice->server;
  ServerAvailability& availability = this->context.placer.availability();
  // A late response to another request says it as well.
  if (info.is_leaving) {
    availability.RecordLeaving(server, now);
  }
  // The rest is said to the instance that sent the request to the server.
  if (this->current.relay || !this->IsOwnResponse(this->current, info) ||
      (!info.is_from_server && !info.not_executed)) {
    return;
  }
  if (!info.unreadable_pause.empty()) {
    this->context.observer.OnUnreadablePause(
        {.request_id = this->request_info.request_id,
         .server = server.id,
         .text = info.unreadable_pause});
  }
  if (info.pause > Duration{}) {
    availability.RecordPause(server, info.pause, now);
  } else if (!info.not_executed && head.status != http_status::kUnavailable) {
    availability.RecordAnswer(server, this->current.sent_at, now);
  }
}

bool Exchange::OnRelayedHead(ResponseHead& head) {
  std::optional<RelayedResponse> relayed = TakeRelayedResponse(head);
  if (!relayed) {
    this->current.pending_failure =
        Failure{.result = SendResult::kMalformed,
                .may_have_executed = true,
                .reason = "no response of an instance"};
  } else if (relayed->ending) {
    this->relayed_ending = relayed->ending;
    this->current.pending_failure =
        Failure{.result = SendResult::kFull,
                .may_have_executed = !this->relayed_ending->not_executed,
                .reason = "ended by the other instance, " +
                          std::string(ToString(this->relayed_ending->cause))};
  }
  if (this->current.pending_failure) {
    this->current.response_mode = ResponseMode::kDiscarded;
    return false;
  }
  const auto& servers = this->context.directory.servers();
  const auto found = servers.find(relayed->server);
  if (found != servers.end()) {
    this->current.choice->server = found->second;
  } else {
    this->current.choice->server.id = relayed->server;
  }
  return true;
}

void Exchange::RecordBrittleness(const ResponseInfo& info, TimePoint now) {
  if (!info.unreadable_brittleness.empty()) {
    this->context.observer.OnUnreadableBrittleness(
        {.request_id = this->request_info.request_id,
         .server = this->current.choice->server.id,
         .text = info.unreadable_brittleness});
  } else if (!info.is_misdirected &&
             (info.is_from_server || info.not_executed)) {
    this->context.placer.ObserveBrittleness(this->current.choice->server,
                                            info.rejections_tolerated,
                                            this->current.sent_at, now);
  }
}

void Exchange::RecordHead(const ResponseInfo& info, TimePoint now) {
  this->current.responding_server = this->current.choice->server.id;
  if (!this->current.relay) {
    this->context.placer.RecordResponseHead(*this->current.choice,
                                            now - this->current.sent_at, now);
  }
  this->named_rate_limit = info.rate_limit;
  // An unreadable limit changes nothing.
  if (!info.unreadable_rate_limit.empty()) {
    this->context.observer.OnUnreadableRateLimit(
        {.request_id = this->request_info.request_id,
         .server = this->current.choice->server.id,
         .text = info.unreadable_rate_limit});
  } else if (!this->current.relay && !info.is_misdirected &&
             (info.is_from_server || info.not_executed)) {
    this->context.placer.ObserveRateLimit(this->current.choice->server,
                                          info.rate_limit,
                                          this->current.sent_at, now);
  }
  this->RecordBrittleness(info, now);
  this->RecordLoad(info, now);
}

void Exchange::RecordLoad(const ResponseInfo& info, TimePoint now) {
  const RegisteredServer& server = this->current.choice->server;
  if (info.load) {
    this->context.placer.ApplyLoadReport(server.id, info.load->running,
                                         info.load->waiting, now);
  }
  // The last readable figure remains in use.
  if (!info.unreadable_slowdown.empty()) {
    this->context.observer.OnUnreadableSlowdown(
        {.request_id = this->request_info.request_id,
         .server = server.id,
         .text = info.unreadable_slowdown});
  } else if (info.load && info.load->slowdown && !this->current.relay &&
             !info.is_misdirected &&
             (info.is_from_server || info.not_executed)) {
    this->context.placer.ObserveSlowdown(server, *info.load->slowdown, now);
  }
}

void Exchange::RecordGaps(const Attempt& attempt, TimePoint now) {
  const int gaps = this->splitter.event_count() - attempt.first_event_count;
  if (attempt.first_event_received && gaps >= kMinGapsToRecord) {
    this->context.placer.RecordGaps(
        this->query, *attempt.choice,
        {.mean = (attempt.last_event_at - attempt.first_event_at) / gaps,
         .longest = attempt.longest_gap},
        now);
  }
}

std::optional<Exchange::Failure> Exchange::FailureOf(const ResponseHead& head,
                                                     const ResponseInfo& info) {
  if (info.not_executed) {
    return Failure{
        .result =
            info.is_misdirected ? SendResult::kUnreachable : SendResult::kFull,
        .may_have_executed = false,
        .reason = "status " + std::to_string(head.status) + ", not run"};
  }
  // Another program may listen on the address and report success.
  const bool is_foreign = head.IsSuccess() && !info.is_from_server;
  if (head.status >= kFirstServerError || ImpliesNotExecuted(head.status) ||
      is_foreign) {
    return Failure{
        .result = is_foreign ? SendResult::kMalformed : SendResult::kError,
        .may_have_executed = true,
        .reason = "status " + std::to_string(head.status)};
  }
  return std::nullopt;
}

HeadDecision Exchange::OnHead(const ResponseHead& received_head) {
  ResponseHead head = received_head;
  if (this->current.relay && !this->OnRelayedHead(head)) {
    return HeadDecision::kAccept;
  }
  const ResponseInfo response_info = this->context.dialect.ReadResponse(head);
  const TimePoint now = MonotonicNow();
  this->RecordAvailability(head, response_info, now);
  if (!this->IsOwnResponse(this->current, response_info)) {
    return HeadDecision::kSkip;
  }
  this->RecordHead(response_info, now);
  this->current.last_bytes_at = now;
  this->current.response = head;
  this->response_framing = head.framing;
  this->current.pending_failure = FailureOf(head, response_info);
  if (this->current.pending_failure) {
    // An error is stored, to be forwarded if no further attempt is allowed.
    this->current.response_mode = response_info.not_executed
                                      ? ResponseMode::kDiscarded
                                      : ResponseMode::kBuffered;
    return HeadDecision::kAccept;
  }
  // What goes on with a stream has a type if the stream has one.
  const bool lacks_type =
      this->head_forwarded && this->stream_has_type && head.MediaType().empty();
  const bool is_stream = head.IsSuccess() && !lacks_type &&
                         IsEventStream(*this->query.route, head) &&
                         !HasNoBody(this->request, head);
  if (this->head_forwarded && !is_stream) {
    this->current.pending_failure =
        Failure{.result = SendResult::kError,
                .may_have_executed = true,
                .reason = "status " + std::to_string(head.status) +
                          " instead of the rest of the stream"};
    this->current.response_mode = ResponseMode::kDiscarded;
    return HeadDecision::kAccept;
  }
  if (is_stream) {
    this->current.response_mode = ResponseMode::kStream;
    if (!this->silent_attempt) {
      this->ForwardStreamHead();
    }
    return HeadDecision::kAccept;
  }
  this->current.response_mode = ResponseMode::kBuffered;
  return HeadDecision::kAccept;
}

void Exchange::ForwardStreamHead() {
  if (!this->head_forwarded) {
    this->stream_has_type = !this->current.response.MediaType().empty();
    this->ForwardHead(this->current.response, this->FramingWithoutLength());
  }
}

void Exchange::ForwardHead(const ResponseHead& head, BodyFraming body_framing) {
  this->head_forwarded = true;
  this->framing = body_framing;
  if (!this->relayed_from) {
    this->sink.Write(
        WriteResponseHead(head, body_framing, this->DecideClose()));
    return;
  }
  ResponseHead told_head = head;
  SetRelayedServer(told_head, this->current.responding_server);
  this->sink.Write(
      WriteResponseHead(told_head, body_framing, this->DecideClose()));
}

BodyFraming Exchange::FramingWithoutLength() const {
  return this->request.is_http_1_0 ? BodyFraming::kUntilClose
                                   : BodyFraming::kChunked;
}

bool Exchange::DecideClose() {
  this->announced_close = !this->request.KeepsAlive() ||
                          this->context.is_draining ||
                          this->framing == BodyFraming::kUntilClose;
  return this->announced_close;
}

void Exchange::RecordFirstEvent() {
  if (this->current.first_event_received) {
    return;
  }
  this->ReplaceSilentAttempt();
  const TimePoint now = MonotonicNow();
  this->current.first_event_received = true;
  this->current.first_event_at = now;
  this->current.last_event_at = now;
  this->current.first_event_count = this->splitter.event_count();
  this->last_software_version = this->current.choice->server.software_version;
  if (this->current.relay) {
    this->context.relays.RecordResult(this->current.relay->instance, true, now);
  } else {
    this->context.placer.RecordFirstEvent(this->query, *this->current.choice,
                                          now - this->current.sent_at, now);
    this->context.placer.RecordResult(*this->current.choice,
                                      SendResult::kAnswered, now);
  }
  if (this->first_event_at == TimePoint{}) {
    if (!this->current.relay) {
      // Otherwise the other instance reports it.
      this->ReportRun();
    }
    this->RecordStreamOrigin();
    this->first_software_version = this->last_software_version;
    this->first_event_at = now;
    this->last_event_at = now;
  }
}

void Exchange::ReportRun() {
  // The instance that relayed the request has reported a stream that it began.
  const bool is_reported = this->relayed_from &&
                           !this->relayed_from->last_event_id.empty() &&
                           this->relayed_from->possible_executions > 0;
  if (!is_reported) {
    this->context.observer.OnRequestRan(this->customer);
  }
}

void Exchange::RecordSurvival(TimePoint now) {
  if (!this->current.survival_recorded) {
    this->current.survival_recorded = true;
    this->context.quarantine.RecordSurvival(this->suspects, now);
  }
}

bool Exchange::HasJustBegun(TimePoint now) const {
  return !this->current.survival_recorded &&
         (!this->current.first_event_received ||
          now - this->current.first_event_at < kSurvivalTime);
}

void Exchange::RecordConnectionEnd() {
  if (this->current.relay) {
    return;
  }
  const TimePoint now = MonotonicNow();
  // A server that had closed an idle connection resets it at once when bytes
  // arrive.
  const bool was_stale = this->current.connection_reused &&
                         this->current.response.status == 0 &&
                         now - this->current.sent_at < this->current.stale_time;
  if (!was_stale && this->HasJustBegun(now)) {
    this->context.quarantine.RecordCrash(this->current.choice->server.id,
                                         this->suspects, this->current.sent_at,
                                         now);
  }
}

void Exchange::OnBody(std::string bytes) {
  this->current.response_bytes += bytes.size();
  this->current.last_bytes_at = MonotonicNow();
  switch (this->current.response_mode) {
    case ResponseMode::kNone:
      return;
    case ResponseMode::kDiscarded:
      this->current.discarded_bytes += bytes.size();
      if (this->current.discarded_bytes > kMaxFailureBytes) {
        this->AbandonResponse(
            *std::exchange(this->current.pending_failure, std::nullopt));
      }
      return;
    case ResponseMode::kBuffered:
      this->current.buffered.append(bytes);
      if (this->current.pending_failure &&
          this->current.buffered.size() > kMaxFailureBytes) {
        this->current.pending_failure.reset();
        this->AbandonResponse({.result = SendResult::kMalformed,
                               .may_have_executed = true,
                               .reason = "endless error response"});
        return;
      }
      if (this->current.buffered.size() > kMaxBufferedBytes &&
          !this->current.pending_failure) {
        this->ReplaceSilentAttempt();
        this->current.response_mode = ResponseMode::kForwarded;
        this->ForwardHead(this->current.response,
                          this->current.response.length
                              ? BodyFraming::kLength
                              : this->FramingWithoutLength());
        this->ForwardBuffered();
      }
      return;
    case ResponseMode::kForwarded:
      this->current.buffered = std::move(bytes);
      this->ForwardBuffered();
      return;
    case ResponseMode::kStream:
      this->ForwardEvents(this->splitter.Feed(bytes));
      if (this->splitter.partial_event().size() > SseParser::kMaxEventBytes) {
        this->AbandonResponse({.result = SendResult::kMalformed,
                               .may_have_executed = true,
                               .reason = "endless event"});
      }
      return;
  }
}

void Exchange::AbandonResponse(const Failure& failure) {
  this->current.connection->Abort();
  this->current.connection.reset();
  this->ClearResponse();
  this->FailAttempt(failure);
}

void Exchange::ForwardBuffered() {
  if (this->current.buffered.empty()) {
    return;
  }
  this->sink.Write(this->framing == BodyFraming::kChunked
                       ? WriteChunk(this->current.buffered)
                       : std::move(this->current.buffered));
  this->current.buffered.clear();
  if (this->current.connection &&
      this->sink.unsent_bytes() > this->MaxUnsentBytes()) {
    this->current.connection->PauseReading();
  }
}

void Exchange::ForwardEvents(std::string events) {
  if (events.empty()) {
    return;
  }
  this->RecordFirstEvent();
  this->ForwardStreamHead();
  const TimePoint now = MonotonicNow();
  if (now - this->current.first_event_at >= kSurvivalTime) {
    this->RecordSurvival(now);
  }
  this->max_event_gap =
      std::max(this->max_event_gap, now - this->last_event_at);
  this->last_event_at = now;
  this->current.longest_gap =
      std::max(this->current.longest_gap, now - this->current.last_event_at);
  this->current.last_event_at = now;
  this->current.buffered = std::move(events);
  this->ForwardBuffered();
}

void Exchange::OnOutputSent() {
  if (this->current.connection &&
      this->sink.unsent_bytes() <= this->MaxUnsentBytes()) {
    this->current.connection->ResumeReading();
  }
}

void Exchange::OnComplete() {
  const std::shared_ptr<BackendConnection> done =
      std::move(this->current.connection);
  this->context.pool.Release(this->current.connection_target, done);
  if (this->current.pending_failure) {
    this->FailAttempt(
        *std::exchange(this->current.pending_failure, std::nullopt));
    return;
  }
  if (this->current.response_mode == ResponseMode::kStream) {
    const std::string_view reason = this->IncompleteStreamReason();
    if (!reason.empty()) {
      this->RecordConnectionEnd();
      this->ClearResponse();
      this->FailAttempt({.result = SendResult::kMalformed,
                         .may_have_executed = true,
                         .reason = std::string(reason)});
      return;
    }
  }
  this->RecordFirstEvent();
  if (this->current.response.IsSuccess()) {
    this->RecordSurvival(MonotonicNow());
  }
  switch (this->current.response_mode) {
    case ResponseMode::kNone:
    case ResponseMode::kDiscarded:
      return;
    case ResponseMode::kBuffered:
      // The body is complete, so its length is known even if the server did not
      // send it.
      if (!HasNoBody(this->request, this->current.response)) {
        this->current.response.length = this->current.buffered.size();
      }
      this->ForwardHead(this->current.response, this->current.response.length
                                                    ? BodyFraming::kLength
                                                    : BodyFraming::kNone);
      break;
    case ResponseMode::kForwarded:
      break;
    case ResponseMode::kStream:
      this->ForwardStreamHead();
      break;
  }
  this->ForwardBuffered();
  if (this->framing == BodyFraming::kChunked) {
    this->sink.Write(std::string(kLastChunk));
  }
  const bool succeeded = this->current.response.IsSuccess();
  this->End(succeeded ? Outcome::kCompleted : Outcome::kFailed,
            succeeded ? EndCause::kAnswered : EndCause::kBackendError,
            this->current.response.status);
}

std::string_view Exchange::IncompleteStreamReason() const {
  if (!this->splitter.partial_event().empty()) {
    return "stream ended within an event";
  }
  if (this->current.response.framing == BodyFraming::kUntilClose &&
      !this->current.first_event_received) {
    return "connection closed before the first event";
  }
  return {};
}

void Exchange::OnFailed(FailureKind kind, const std::string& reason) {
  this->current.connection.reset();
  if (this->current.pending_failure) {
    Failure failure =
        *std::exchange(this->current.pending_failure, std::nullopt);
    this->ClearResponse();
    this->FailAttempt(failure);
    return;
  }
  const Failure failure = this->MakeFailure(kind, reason);
  this->ClearResponse();
  this->FailAttempt(failure);
}

Exchange::Failure Exchange::MakeFailure(FailureKind kind,
                                        const std::string& reason) {
  Failure failure{.reason = reason};
  switch (kind) {
    case FailureKind::kNotSent:
      // The server may close an idle connection, so a failure of a reused one
      // is no fault of the server.
      failure.avoid_server = !this->current.connection_reused;
      break;
    case FailureKind::kNoResponse:
      failure.may_have_executed = true;
      this->RecordConnectionEnd();
      break;
    case FailureKind::kTimedOut:
      failure.may_have_executed = true;
      break;
    case FailureKind::kDuringResponse:
      this->RecordConnectionEnd();
      [[fallthrough]];
    case FailureKind::kMalformedResponse:
      failure.result = SendResult::kMalformed;
      failure.may_have_executed = true;
      break;
  }
  return failure;
}

void Exchange::ClearResponse() {
  this->current.response = {};
  this->current.buffered.clear();
}

void Exchange::EndAttempt(Attempt& attempt) {
  if (attempt.connection) {
    attempt.connection->Abort();
    attempt.connection.reset();
  }
  if (attempt.relay) {
    this->context.relays.RecordEnd(attempt.relay->instance);
    attempt.relay.reset();
  } else if (attempt.choice) {
    const TimePoint now = MonotonicNow();
    if (attempt.choice->leave_reason) {
      this->context.observer.OnLeft({.reason = *attempt.choice->leave_reason,
                                     .request_bytes = this->body->size(),
                                     .response_bytes = attempt.response_bytes});
    }
    this->RecordGaps(attempt, now);
    this->context.placer.RecordEnd(*attempt.choice, now - attempt.sent_at);
    if (attempt.send_started) {
      RecordAttemptDemand(
          this->context, *this->configuration,
          {.query = this->query,
           .choice = *attempt.choice,
           .running = now - attempt.sent_at,
           .first_event =
               attempt.first_event_received
                   ? std::optional(attempt.first_event_at - attempt.sent_at)
                   : std::nullopt},
          now);
    }
  }
  attempt.choice.reset();
}

void Exchange::EndAllAttempts() {
  this->EndAttempt(this->current);
  if (this->silent_attempt) {
    this->EndAttempt(this->silent_attempt->attempt);
    this->silent_attempt.reset();
  }
}

int Exchange::CountRunningAttempts() const {
  const bool is_refused = this->current.pending_failure &&
                          !this->current.pending_failure->may_have_executed;
  const bool may_run =
      this->current.choice && this->current.send_started && !is_refused;
  return (may_run ? 1 : 0) + (this->silent_attempt ? 1 : 0);
}

void Exchange::SendBesideSilent(const ServerChoice& next) {
  this->silent_attempt = std::make_unique<SilentAttempt>(
      *this, std::exchange(this->current, {}), this->splitter);
  this->Send(next);
}

void Exchange::ReturnToSilentAttempt() {
  const std::unique_ptr<SilentAttempt> returned =
      std::move(this->silent_attempt);
  this->current = std::move(returned->attempt);
  this->splitter = std::move(returned->splitter);
  this->current.connection->SetListener(*this);
}

void Exchange::WithdrawToSilentAttempt(const std::string& reason) {
  const RegisteredServer server = this->current.choice->server;
  // The silent attempt is one of these.
  const bool may_have_executed = this->CountRunningAttempts() > 1;
  if (may_have_executed) {
    ++this->possible_executions;
  }
  this->EndAttempt(this->current);
  this->ReportFailure(
      this->current, server, "withdrawn",
      {.may_have_executed = may_have_executed, .reason = reason},
      NextStep::kSilentServer, "");
  this->ReturnToSilentAttempt();
}

void Exchange::EndSilentAttempt(const Failure& failure) {
  if (!this->silent_attempt) {
    return;
  }
  const std::unique_ptr<SilentAttempt> ended = std::move(this->silent_attempt);
  const ServerChoice failed = *ended->attempt.choice;
  this->RecordFailure(failed, failure, MonotonicNow());
  this->EndAttempt(ended->attempt);
  this->ReportFailure(ended->attempt, failed.server,
                      std::string(ToString(failure.result)), failure,
                      NextStep::kAnotherServer, "");
}

void Exchange::ReplaceSilentAttempt() {
  this->EndSilentAttempt({.result = SendResult::kSilent,
                          .may_have_executed = true,
                          .reason = "silent"});
}

HeadDecision Exchange::OnSilentHead(const ResponseHead& head) {
  const ResponseInfo info = this->context.dialect.ReadResponse(head);
  Attempt& attempt = this->silent_attempt->attempt;
  if (!this->IsOwnResponse(attempt, info)) {
    return HeadDecision::kSkip;
  }
  const std::optional<Failure> failure = FailureOf(head, info);
  if (!failure) {
    this->WithdrawToSilentAttempt(kServerGoesOn);
    return this->OnHead(head);
  }
  // What it says of the server concerns this attempt, not the current one.
  const TimePoint now = MonotonicNow();
  std::swap(this->current, attempt);
  this->RecordAvailability(head, info, now);
  this->RecordHead(info, now);
  std::swap(this->current, attempt);
  this->EndSilentAttempt(*failure);
  return HeadDecision::kAccept;
}

void Exchange::OnSilentFailed(FailureKind kind, const std::string& reason) {
  Attempt& attempt = this->silent_attempt->attempt;
  std::swap(this->current, attempt);
  const Failure failure = this->MakeFailure(kind, reason);
  std::swap(this->current, attempt);
  this->EndSilentAttempt(failure);
}

void Exchange::RecordFailure(const ServerChoice& failed, const Failure& failure,
                             TimePoint now) {
  const bool is_stale_connection =
      failure.result == SendResult::kUnreachable && !failure.avoid_server;
  if (!is_stale_connection &&
      this->context.placer.RecordResult(failed, failure.result, now)) {
    this->context.observer.OnEjected(
        {.server = failed.server.id,
         .service = failed.server.service,
         .result = std::string(ToString(failure.result)),
         .duration =
             this->context.placer.health().EjectedUntil(failed.server.id) -
             now});
  }
  if (failure.avoid_server) {
    this->query.tried_servers.push_back(failed.server.id);
  }
  if (failure.may_have_executed) {
    ++this->possible_executions;
  } else {
    ++this->not_executed_attempts;
  }
}

void Exchange::ReportFailure(const Attempt& attempt,
                             const RegisteredServer& server,
                             const std::string& result, const Failure& failure,
                             NextStep next, const std::string& next_reason) {
  this->context.observer.OnAttemptFailed(
      {.request_id = this->request_info.request_id,
       .attempt = attempt.number,
       .server = server.id,
       .software_version = server.software_version,
       .result = result,
       .reason = failure.reason,
       .elapsed = MonotonicNow() - attempt.sent_at,
       .may_have_executed = failure.may_have_executed,
       .has_first_event = attempt.first_event_received,
       .shared_parts = SharedParts(this->query.parts),
       .request_hash = this->suspects.request_hash,
       .next = next,
       .next_reason = next_reason});
}

void Exchange::FailRelayedAttempt(const Failure& failure) {
  const TimePoint now = MonotonicNow();
  const std::string instance = this->current.relay->instance;
  const std::optional<RelayedResponse::Ending> ending =
      std::exchange(this->relayed_ending, std::nullopt);
  const bool is_stale_connection =
      failure.result == SendResult::kUnreachable && !failure.avoid_server;
  if (!is_stale_connection) {
    this->tried_instances.push_back(instance);
    this->context.relays.RecordResult(instance, ending.has_value(), now);
  }
  this->EndAttempt(this->current);
  if (ending) {
    this->sent_attempts += ending->sent_attempts;
  }
  if (failure.may_have_executed) {
    ++this->possible_executions;
  } else {
    ++this->not_executed_attempts;
  }
  const bool is_too_late = this->IsTooLate(now);
  std::string no_retry_reason = "may have run at the other instance";
  bool retry = false;
  if (ending && !IsEndingOfInstance(ending->cause)) {
    no_retry_reason = "other instances have the same servers";
  } else if (is_too_late) {
    no_retry_reason = "the instance is about to exit";
  } else if (!failure.may_have_executed) {
    retry = this->MayRetry(no_retry_reason);
  }
  this->ReportFailure(this->current, this->current.connection_target,
                      std::string(ToString(failure.result)), failure,
                      retry ? NextStep::kAnotherServer : NextStep::kGiveUp,
                      retry ? "" : no_retry_reason);
  this->ClearResponse();
  if (retry) {
    this->Place();
    return;
  }
  if (failure.may_have_executed) {
    this->GiveUp(EndCause::kAnswerLost);
  } else if (is_too_late) {
    this->GiveUp(EndCause::kDraining, kDrainingRetryAfter);
  } else if (!ending || IsEndingOfInstance(ending->cause)) {
    this->GiveUp(EndCause::kNoBackend);
  } else if (ending->retry_after > Duration{}) {
    this->GiveUp(ending->cause, ending->retry_after);
  } else {
    this->GiveUp(ending->cause);
  }
}

void Exchange::FailAttempt(const Failure& failure) {
  // A response of a server fails as such, whoever passes it on.
  const bool is_relayed = this->current.relay.has_value();
  if (is_relayed && (failure.result != SendResult::kError ||
                     this->current.response.status == 0)) {
    this->FailRelayedAttempt(failure);
    return;
  }
  const TimePoint now = MonotonicNow();
  const ServerChoice failed = *this->current.choice;
  if (is_relayed) {
    this->query.tried_servers.push_back(failed.server.id);
    ++this->possible_executions;
  } else {
    this->RecordFailure(failed, failure, now);
  }
  this->EndAttempt(this->current);
  if (this->silent_attempt && !failure.next) {
    this->ReportFailure(this->current, failed.server,
                        std::string(ToString(failure.result)), failure,
                        NextStep::kSilentServer, "");
    this->ReturnToSilentAttempt();
    return;
  }
  std::string no_retry_reason = "the other instance has retried";
  const bool is_too_late = !failure.next && this->IsTooLate(now);
  if (is_too_late) {
    no_retry_reason = "the instance is about to exit";
  }
  const bool retry =
      !is_relayed &&
      (failure.next || (!is_too_late && this->MayRetry(no_retry_reason)));
  this->ReportFailure(this->current, failed.server,
                      std::string(ToString(failure.result)), failure,
                      retry ? NextStep::kAnotherServer : NextStep::kGiveUp,
                      retry ? "" : no_retry_reason);
  if (retry) {
    this->ClearResponse();
    if (failure.next) {
      this->Send(*failure.next);
    } else {
      this->Place();
    }
    return;
  }
  if (failure.result == SendResult::kError &&
      this->current.response.status != 0 && !this->head_forwarded &&
      !ImpliesNotExecuted(this->current.response.status)) {
    this->current.response.length = this->current.buffered.size();
    this->ForwardHead(this->current.response, BodyFraming::kLength);
    this->ForwardBuffered();
    this->End(Outcome::kFailed, EndCause::kBackendError,
              this->current.response.status);
    return;
  }
  if (is_too_late && !failure.may_have_executed) {
    this->GiveUp(EndCause::kDraining, kDrainingRetryAfter);
    return;
  }
  this->GiveUp(failure.may_have_executed ? EndCause::kAnswerLost
                                         : EndCause::kNoBackend);
}

bool Exchange::MayRetry(std::string& no_retry_reason) {
  const Route& route = *this->query.route;
  if (this->Remaining(MonotonicNow()) < kMinRetryTime) {
    no_retry_reason = "no time left";
    return false;
  }
  if (this->possible_executions > 0 && !route.MayRepeat()) {
    no_retry_reason = "may have run and must not run twice";
    return false;
  }
  if (this->possible_executions >= std::max(1, route.max_attempts)) {
    no_retry_reason = "attempts of the route used up";
    return false;
  }
  if (this->not_executed_attempts > kMaxNotExecutedAttempts) {
    no_retry_reason = "rejected too often";
    return false;
  }
  if (this->head_forwarded &&
      (route.kind != RouteKind::kStream || !route.is_resumable)) {
    no_retry_reason = "part of the response was forwarded";
    return false;
  }
  if (this->sent_attempts > 0 && !this->context.retry_budget.TrySpend(
                                     this->service_name, MonotonicNow())) {
    no_retry_reason = "retry budget spent";
    return false;
  }
  return true;
}

void Exchange::GiveUpWithoutServer(NoChoiceReason reason) {
  switch (reason) {
    case NoChoiceReason::kRateLimited:
      this->GiveUp(EndCause::kRateLimited);
      return;
    case NoChoiceReason::kSoftwareGone:
      this->GiveUp(EndCause::kSoftwareGone);
      return;
    case NoChoiceReason::kPaused:
      this->GiveUp(EndCause::kServersPaused);
      return;
    case NoChoiceReason::kFull:
    case NoChoiceReason::kHeldBack:
    case NoChoiceReason::kAwaitsSoftware:
      this->GiveUp(EndCause::kQueueFull);
      return;
    case NoChoiceReason::kNoServer:
    case NoChoiceReason::kUnreachable:
    case NoChoiceReason::kOutOfReach:
    case NoChoiceReason::kAwaitsAffinity:
      this->GiveUp(EndCause::kNoBackend);
      return;
  }
}

void Exchange::GiveUp(EndCause cause, std::optional<Duration> min_delay) {
  if (this->head_forwarded) {
    this->sink.Abort(this->framing == BodyFraming::kUntilClose);
    this->End(Outcome::kFailed, cause, this->current.response.status);
    return;
  }
  if (this->possible_executions > 0) {
    this->RespondLocally(cause == EndCause::kMaxWait
                             ? http_status::kGatewayTimeout
                             : http_status::kBadGateway,
                         cause, {});
    return;
  }
  if (cause == EndCause::kQueueFull && !min_delay) {
    const std::optional<Duration> retry_after = this->admission.Refuse(
        this->Queue().CountAhead(this->RequestUrgency()), MonotonicNow());
    if (retry_after) {
      this->RefuseUntil(cause, *retry_after);
      return;
    }
  }
  if (!min_delay) {
    const TimePoint now = MonotonicNow();
    min_delay = this->query.service == nullptr
                    ? kNotReadyRetryAfter
                    : this->context.placer.EstimateRetryDelay(this->query, now);
  }
  this->RejectAsNotExecuted(cause, *min_delay);
}

void Exchange::RejectAsNotExecuted(EndCause cause, Duration min_delay) {
  // Jitter, so that callers rejected together do not retry together.
  std::uniform_real_distribution<double> jitter(1.0, 1.6);
  this->RefuseUntil(
      cause, FromSeconds(ToSeconds(min_delay) * jitter(this->context.random)));
}

void Exchange::RefuseUntil(EndCause cause, Duration delay) {
  if (cause == EndCause::kQueueFull) {
    RecordRefusedDemand(this->context, *this->configuration, this->query,
                        MonotonicNow());
  }
  this->retry_after = delay;
  this->RespondLocally(http_status::kUnavailable, cause, this->retry_after);
}

void Exchange::RespondLocally(int status, EndCause cause,
                              std::optional<Duration> retry_after) {
  LocalResponse local_response{.status = status,
                               .retry_after = retry_after,
                               .body = std::string(ToString(cause)) + "\n",
                               .close = this->DecideClose(),
                               .head_only = this->request.method == "HEAD"};
  if (this->relayed_from) {
    local_response.fields = RelayedEndingFields(
        {.cause = cause,
         .not_executed = this->possible_executions ==
                         this->relayed_from->possible_executions,
         .sent_attempts = this->sent_attempts,
         .retry_after = retry_after.value_or(Duration{})});
  }
  this->sink.Write(WriteLocalResponse(local_response));
  this->End(
      this->possible_executions > 0 ? Outcome::kUnknown : Outcome::kRefused,
      cause, status);
}

std::optional<PooledConnection> Exchange::AcquireConnection(
    const RegisteredServer& target, bool may_be_out_of_reach, TimePoint now) {
  ConnectionPool& pool = this->context.pool;
  const std::string& id = this->request_info.request_id;
  return may_be_out_of_reach ? pool.AcquireNew(target, id)
                             : pool.Acquire(target, id, now);
}

bool Exchange::MayBeOutOfReach(const RegisteredServer& server,
                               TimePoint now) const {
  return this->IsSuspected(server.data_centre) ||
         this->context.placer.health().StatusOf(server.id, now) !=
             ServerHealthStatus::kHealthy;
}

bool Exchange::IsSuspected(const std::string& data_centre) const {
  return this->context.placer.suspected_data_centres().contains(data_centre);
}

void Exchange::Tick(TimePoint now) {
  if (this->ended) {
    return;
  }
  if (this->waiting_id &&
      now >= std::min(this->wait_deadline, this->deadline)) {
    this->StopWaiting(false);
    this->GiveUpWithoutServer(NoChoiceReason::kHeldBack);
    return;
  }
  if (this->waiting_id && this->GiveUpIfTooLate(now)) {
    return;
  }
  if (!this->current.choice) {
    return;
  }
  if (now >= this->deadline) {
    this->possible_executions += this->CountRunningAttempts();
    this->context.durations.Observe(*this->query.route,
                                    now - this->current.sent_at);
    if (!this->current.relay) {
      this->context.placer.ObserveSilence(this->query, *this->current.choice,
                                          now - this->current.sent_at, now);
    }
    this->EndAllAttempts();
    this->GiveUp(EndCause::kMaxWait);
    return;
  }
  if (!this->current.connection->is_connected() &&
      !this->current.send_started &&
      now - this->current.sent_at > kConnectTimeout) {
    this->current.connection->Abort();
    this->OnFailed(FailureKind::kNotSent, "connection timed out");
    return;
  }
  if (this->StopIfPaused(now) || this->StopIfQuarantined(now)) {
    return;
  }
  this->CheckSilence(now);
}

bool Exchange::StopIfPaused(TimePoint now) {
  if (this->current.send_started ||
      !this->context.placer.availability().IsPaused(
          this->current.choice->server, now)) {
    return false;
  }
  this->current.connection->Abort();
  this->FailAttempt({.result = SendResult::kFull,
                     .may_have_executed = false,
                     .reason = "not sent, the server asked for a pause"});
  return true;
}

bool Exchange::StopIfQuarantined(TimePoint now) {
  if (this->current.is_quarantine_trial || !this->query.route->MayRepeat() ||
      !this->current.send_started || !this->HasJustBegun(now) ||
      this->context.quarantine.quarantined_count() == 0) {
    return false;
  }
  const std::optional<QuarantinedSuspect> found =
      this->context.quarantine.FindQuarantined(this->suspects, now);
  if (!found) {
    return false;
  }
  if (this->silent_attempt) {
    this->WithdrawToSilentAttempt("a part of the request is quarantined");
    return true;
  }
  this->quarantined_suspect = found->suspect;
  ++this->possible_executions;
  this->EndAttempt(this->current);
  this->GiveUp(EndCause::kQuarantined);
  return true;
}

void Exchange::CheckSilence(TimePoint now) {
  const Route& route = *this->query.route;
  // While the caller does not read, the server is not read either.
  if (this->current.connection->is_paused()) {
    this->current.last_bytes_at = now;
    return;
  }
  // The other instance looks for a silence itself.
  if (this->current.relay || !route.MayRepeat() ||
      !this->current.send_started || this->current.pending_failure ||
      this->possible_executions + this->CountRunningAttempts() >=
          route.max_attempts) {
    return;
  }
  const Duration silence = now - this->current.last_bytes_at;
  Duration timeout{};
  if (!this->current.first_event_received) {
    timeout = std::max(
        {kSilenceTargets * route.target,
         kSilencePredictions * this->current.choice->predicted_first_event,
         kMinSilenceTimeout});
  } else if (route.kind == RouteKind::kStream && route.gap_target) {
    timeout = std::max(kSilenceGaps * *route.gap_target, kMinSilenceTimeout);
  } else {
    return;
  }
  // A stream that moves in a drain may not end before the cut-off, while the
  // rest of the silent one may be short. It moves when its caller would leave.
  if (this->context.shutdown.has_started() &&
      route.kind == RouteKind::kStream) {
    const Duration patience = std::max(
        {kPatienceTargets * route.target,
         kPatienceGaps * route.gap_target.value_or(Duration{}), kMinPatience});
    timeout = std::max(timeout, patience - kSwitchTime);
  }
  if (this->IsSuspected(this->current.choice->server.data_centre)) {
    timeout =
        std::min(timeout, kSuspectedSilenceTimeout +
                              this->current.choice->predicted_first_event);
  }
  if (silence <= timeout ||
      now - this->silence_checked_at < kMinSilenceTimeout) {
    return;
  }
  this->silence_checked_at = now;
  const std::optional<ServerChoice> next = this->ChooseBesideSilent(now);
  if (!next) {
    return;
  }
  this->context.placer.ObserveSilence(this->query, *this->current.choice,
                                      silence, now);
  if (!this->silent_attempt) {
    this->SendBesideSilent(*next);
    return;
  }
  // The first server may still go on, and of the second one the caller has got
  // nothing.
  this->AbandonResponse({.result = SendResult::kSilent,
                         .may_have_executed = true,
                         .reason = "silent",
                         .next = next});
}

std::optional<ServerChoice> Exchange::ChooseBesideSilent(TimePoint now) {
  if (this->context.quarantine.FindQuarantined(this->suspects, now)) {
    return std::nullopt;
  }
  NoChoiceReason no_choice = NoChoiceReason::kNoServer;
  this->query.withheld = this->context.placement_queues.WithheldOnArrival(
      this->service_name, this->RequestUrgency());
  const std::size_t tried_count = this->query.tried_servers.size();
  this->query.tried_servers.push_back(this->current.choice->server.id);
  if (this->silent_attempt) {
    this->query.tried_servers.push_back(
        this->silent_attempt->attempt.choice->server.id);
  }
  std::optional<ServerChoice> next = this->ChooseServer(now, no_choice);
  this->query.tried_servers.resize(tried_count);
  std::string no_retry_reason;
  if (next && !this->MayRetry(no_retry_reason)) {
    next.reset();
  }
  return next;
}

void Exchange::CutOff() {
  if (this->ended) {
    return;
  }
  this->possible_executions += this->CountRunningAttempts();
  this->StopWaiting(false);
  this->EndAllAttempts();
  this->GiveUp(EndCause::kDraining, kDrainingRetryAfter);
}

void Exchange::StopUnread() {
  if (this->ended) {
    return;
  }
  this->possible_executions += this->CountRunningAttempts();
  this->EndAllAttempts();
  this->GiveUp(this->possible_executions > 0 ? EndCause::kAnswerLost
                                             : EndCause::kNoBackend);
}

void Exchange::OnCallerDisconnected() {
  if (this->ended) {
    return;
  }
  if (this->current.send_started || this->silent_attempt) {
    ++this->possible_executions;
  }
  this->EndAllAttempts();
  this->End(Outcome::kCancelled, EndCause::kCallerLeft, 0);
}

void Exchange::End(Outcome outcome, EndCause cause, int status) {
  if (this->ended) {
    return;
  }
  this->ended = true;
  this->StopWaiting(false);
  const TimePoint now = MonotonicNow();
  const std::string server =
      this->current.choice ? this->current.choice->server.id : "";
  const Route* route = this->query.route;
  const bool has_first_event = this->first_event_at != TimePoint{};
  const bool on_target =
      outcome == Outcome::kCompleted && route != nullptr && has_first_event &&
      this->first_event_at - this->arrival <= route->target &&
      (!route->gap_target || this->max_event_gap <= *route->gap_target);
  ExecutionStatus execution = this->possible_executions > 0
                                  ? ExecutionStatus::kUnknown
                                  : ExecutionStatus::kNotExecuted;
  if (has_first_event) {
    execution = ExecutionStatus::kExecuted;
  } else if (this->possible_executions > 0 && this->relayed_to.empty()) {
    this->ReportRun();
  }
  this->context.observer.OnEnded(
      {.request_id = this->request_info.request_id,
       .route = route == nullptr ? "" : route->name,
       .service = this->service_name,
       .customer = this->customer,
       .tier = this->query.tier,
       .outcome = outcome,
       .cause = cause,
       .execution = execution,
       .status = status,
       .attempts = this->attempts,
       .server = server,
       .relayed_from =
           this->relayed_from ? this->relayed_from->from_instance : "",
       .relayed_to = this->relayed_to,
       .resumed_request = this->request_info.resumed_request,
       .first_software_version = this->first_software_version,
       .last_software_version = this->last_software_version,
       .time_to_first_event =
           has_first_event ? this->first_event_at - this->arrival : Duration{},
       .total_time = now - this->arrival,
       .event_count = this->splitter.event_count(),
       .response_framing = this->response_framing,
       .partial_event_bytes = this->splitter.partial_event().size(),
       .named_rate_limit = this->named_rate_limit,
       .retry_after = this->retry_after,
       .on_target = on_target,
       .no_capacity_counts = this->no_capacity_counts,
       .waiting_ahead = this->waiting_ahead,
       .expected_wait = this->expected_wait,
       .standing = this->admission.standing(),
       .quarantined_suspect = this->quarantined_suspect,
       .configuration_version =
           this->configuration ? this->configuration->version : 0});
  if (outcome == Outcome::kCompleted) {
    this->context.durations.Observe(*route, now - this->current.sent_at);
  }
  this->EndAllAttempts();
  if (outcome == Outcome::kCompleted) {
    this->context.stream_origins.RecordCompletion(this->stream_hash);
  }
  if (outcome != Outcome::kCancelled) {
    this->sink.Finish(!this->announced_close);
  }
}

}  // namespace rosemarycove
