#include "tests/session.h"

#include <fmt/format.h>

#include <memory>
#include <utility>

#include "app/event_fields.h"
#include "app/event_log.h"

namespace rosemarycove {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);

}  // namespace

Session::Session(const ResourceSet& resources, const std::string& data_centre)
    : node(NodeOptions{.instance = "one", .data_centre = data_centre}),
      start(TimePoint{} + std::chrono::seconds(1000)),
      now(this->start) {
  for (const Backend& backend : resources.backends) {
    if (FindService(resources, backend.service)->kind == ServiceKind::kModel) {
      this->engines.emplace(
          backend.name,
          bench::VirtualEngine(
              {.token_time_base = backend.token_time_base,
               .token_time_per_stream = backend.token_time_per_stream,
               .prefill_rate = backend.prefill_rate,
               .max_streams = backend.max_streams}));
    }
  }
  this->Post(ResourcesChanged{
      .resources = std::make_shared<const ResourceSet>(resources)});
}

void Session::Arrive(Duration at, RequestArrived arrived, int tokens) {
  this->lengths[arrived.id] = tokens;
  this->script.emplace(this->start + at,
                       Scripted{.kind = Scripted::Kind::kArrive,
                                .arrived = std::move(arrived),
                                .tokens = tokens,
                                .backend = {}});
}

void Session::DisconnectCaller(Duration at, RequestId id) {
  this->script.emplace(this->start + at,
                       Scripted{.kind = Scripted::Kind::kDisconnectCaller,
                                .arrived = {.id = id},
                                .backend = {}});
}

void Session::CrashBackend(Duration at, const std::string& backend) {
  this->script.emplace(
      this->start + at,
      Scripted{
          .kind = Scripted::Kind::kCrash, .arrived = {}, .backend = backend});
}

void Session::LoseAnswers(Duration at, const std::string& backend) {
  this->script.emplace(this->start + at,
                       Scripted{.kind = Scripted::Kind::kLoseAnswers,
                                .arrived = {},
                                .backend = backend});
}

void Session::FailStore(Duration at) {
  this->script.emplace(
      this->start + at,
      Scripted{
          .kind = Scripted::Kind::kFailStore, .arrived = {}, .backend = {}});
}

void Session::WriteLine(const std::string& line) {
  this->text +=
      fmt::format("{:9.3f} {}\n", ToSeconds(this->now - this->start), line);
}

void Session::Post(const Event& event) {
  for (const Action& action : this->node.Handle(this->now, event)) {
    std::visit([this](const auto& what) { this->Perform(what); }, action);
  }
}

void Session::Perform(const PlacementDecision& action) {
  this->WriteLine(
      FormatEvent(LogEvent::kPlaced, ToLogFields(action), LogFormat::kText));
}

void Session::Perform(const FinishRequest& action) {
  this->WriteLine(FormatEvent(LogEvent::kRequestEnded, ToLogFields(action),
                              LogFormat::kText));
}

void Session::Perform(const ClaimKey& action) {
  ClaimResult result = ClaimResult::kUnavailable;
  if (!this->store_failed) {
    const auto [held, is_new] = this->claims.try_emplace(
        action.customer + "/" + action.key, action.fingerprint);
    result = is_new ? ClaimResult::kClaimed
             : held->second == action.fingerprint
                 ? ClaimResult::kIdempotencyKeyTaken
                 : ClaimResult::kIdempotencyKeyReused;
  }
  this->WriteLine(fmt::format("claim request={} key={} result={}", action.id,
                              action.key, static_cast<int>(result)));
  this->Post(ClaimAnswered{.id = action.id, .result = result});
}

void Session::Perform(const CancelAttempt& action) {
  this->WriteLine(
      fmt::format("cancel request={} attempt={}", action.id, action.attempt));
  for (auto stream = this->streams.begin(); stream != this->streams.end();
       ++stream) {
    if (stream->second.attempt == action.attempt) {
      this->engines.at(stream->second.backend).Cancel(stream->first);
      this->streams.erase(stream);
      return;
    }
  }
}

void Session::Perform(const SendAttempt& action) {
  const Running running{
      .id = action.id, .attempt = action.attempt, .backend = action.backend};
  if (this->is_down[action.backend]) {
    this->EndAttempt(running, AttemptResult::kNotSent);
    return;
  }
  const auto engine = this->engines.find(action.backend);
  if (engine == this->engines.end()) {
    this->script.emplace(this->now + kServiceTime,
                         Scripted{.kind = Scripted::Kind::kEndServiceCall,
                                  .arrived = {.id = action.id},
                                  .backend = action.backend,
                                  .attempt = action.attempt});
    return;
  }
  const bench::StreamId stream = this->next_stream++;
  this->streams[stream] = running;
  engine->second.AddStream(stream, 200, this->lengths.at(action.id),
                           action.priority, this->now);
}

void Session::EndAttempt(const Running& running, AttemptResult result) {
  this->Post(AttemptEnded{.id = running.id,
                          .attempt = running.attempt,
                          .result = result,
                          .tokens = running.tokens,
                          .forwarded = running.tokens > 0});
}

void Session::StepEngine(const std::string& name) {
  for (const bench::StreamProgress& progress :
       this->engines.at(name).FinishStep(this->now)) {
    Running& running = this->streams.at(progress.id);
    running.tokens = progress.tokens;
    this->Post(AttemptProgress{.id = running.id,
                               .attempt = running.attempt,
                               .tokens = progress.tokens,
                               .forwarded = true});
    if (progress.has_ended) {
      const Running ended = running;
      this->streams.erase(progress.id);
      this->EndAttempt(ended, AttemptResult::kCompleted);
    }
  }
}

void Session::RunScripted(const Scripted& what) {
  switch (what.kind) {
    case Scripted::Kind::kArrive:
      this->WriteLine(fmt::format(
          "arrive request={} customer={} class={} service={} model={} key={}",
          what.arrived.id, what.arrived.customer, what.arrived.class_name,
          what.arrived.service, what.arrived.model,
          what.arrived.idempotency_key));
      this->Post(what.arrived);
      return;
    case Scripted::Kind::kDisconnectCaller:
      this->WriteLine(fmt::format("leave request={}", what.arrived.id));
      this->Post(CallerDisconnected{.id = what.arrived.id});
      return;
    case Scripted::Kind::kLoseAnswers:
      this->WriteLine("answers are lost at " + what.backend);
      this->loses_answers[what.backend] = true;
      return;
    case Scripted::Kind::kFailStore:
      this->WriteLine("the store is out");
      this->store_failed = true;
      return;
    case Scripted::Kind::kEndServiceCall:
      this->EndAttempt({.id = what.arrived.id,
                        .attempt = what.attempt,
                        .backend = what.backend},
                       this->loses_answers[what.backend]
                           ? AttemptResult::kLost
                           : AttemptResult::kCompleted);
      return;
    case Scripted::Kind::kCrash:
      break;
  }
  this->WriteLine("crash " + what.backend);
  this->is_down[what.backend] = true;
  for (const bench::StreamId stream : this->engines.at(what.backend).Crash()) {
    const Running lost = this->streams.at(stream);
    this->streams.erase(stream);
    this->EndAttempt(lost, AttemptResult::kLost);
  }
}

std::string Session::Run() {
  TimePoint next_tick = this->start;
  while (!this->script.empty() || !this->streams.empty() ||
         this->node.waiting_count() > 0) {
    TimePoint at = next_tick;
    std::string engine;
    for (const auto& [name, state] : this->engines) {
      if (state.step_end_time() < at) {
        at = state.step_end_time();
        engine = name;
      }
    }
    if (!this->script.empty() && this->script.begin()->first <= at) {
      this->now = this->script.begin()->first;
      const Scripted what = this->script.begin()->second;
      this->script.erase(this->script.begin());
      this->RunScripted(what);
      continue;
    }
    this->now = at;
    if (!engine.empty()) {
      this->StepEngine(engine);
    } else {
      next_tick += kTickPeriod;
      this->Post(Tick{});
    }
  }
  return this->text;
}

}  // namespace rosemarycove
