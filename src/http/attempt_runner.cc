#include "http/attempt_runner.h"

#include <atomic>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/sse_parser.h"

namespace rosemarycove {
namespace {

using nlohmann::json;

// Progress is reported no more often than this.
constexpr Duration kProgressPeriod = std::chrono::milliseconds(100);
// Bytes of a whole answer that is not streamed.
constexpr std::size_t kMaxAnswer = 64U << 20U;
constexpr std::string_view kDone = "[DONE]";

constexpr int kFirstErrorStatus = 400;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

// Whether a stream's event is part of an answer: a JSON object that reports no
// error. Most events are only checked, not built.
bool IsAnswerEvent(std::string_view data) {
  if (data.empty() || data.front() != '{') {
    return false;
  }
  if (data.find("\"error\"") == std::string_view::npos) {
    return json::accept(data);
  }
  const json event = json::parse(data, nullptr, false);
  return event.is_object() && !event.contains("error");
}

// One sending and its answer, as far as it has come.
class Attempt : public AttemptCanceller {
 public:
  Attempt(PendingRequest& pending, const SendAttempt& attempt,
          AttemptListener& listener, std::string upstream_id)
      : pending(pending),
        attempt(attempt),
        listener(listener),
        upstream_id(std::move(upstream_id)) {}

  void Cancel() override {
    if (this->client != nullptr) {
      this->client->stop();
    }
    this->cancelled = true;
  }

  // Sends on the client and returns how it ended.
  AttemptResult Send(httplib::Client& target) {
    this->client = &target;
    this->pending.SetCanceller(this->attempt.attempt, this);
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    httplib::Request request = this->MakeRequest();
    const bool sent = !this->cancelled && target.send(request, response, error);
    this->pending.ClearCanceller();
    this->client = nullptr;
    return this->Judge(sent, error);
  }

  [[nodiscard]] int tokens() const { return this->token_count; }
  [[nodiscard]] bool passed_on() const { return this->has_passed_on; }

 private:
  httplib::Request MakeRequest() {
    const UpstreamRequest& upstream = this->pending.upstream();
    httplib::Request request;
    request.method = "POST";
    request.path = upstream.path;
    request.body = upstream.body;
    request.headers = {{"Content-Type", upstream.content_type},
                       {"X-Request-Id", this->upstream_id},
                       {"X-Priority", std::to_string(this->attempt.priority)}};
    request.response_handler = [this](const httplib::Response& response) {
      return this->TakeHeaders(response);
    };
    request.content_receiver = [this](const char* data, size_t size,
                                      uint64_t /*offset*/, uint64_t /*total*/) {
      return this->TakeBody({data, size});
    };
    return request;
  }

  bool TakeHeaders(const httplib::Response& response) {
    this->answer.status = response.status;
    this->answer.content_type = response.get_header_value("Content-Type");
    this->not_run = response.get_header_value("X-Ran") == "no";
    this->crossed =
        response.get_header_value("X-Request-Id") != this->upstream_id;
    this->streaming =
        response.status < kFirstErrorStatus && this->pending.upstream().stream;
    return !this->crossed && !this->cancelled;
  }

  bool TakeBody(std::string_view bytes) {
    if (!this->streaming) {
      this->answer.body += bytes;
      return this->answer.body.size() <= kMaxAnswer;
    }
    const bool good = this->parser.Feed(
        bytes, [this](std::string_view data) { return this->TakeEvent(data); });
    this->malformed = this->malformed || !good;
    return good;
  }

  bool TakeEvent(std::string_view data) {
    if (this->done || this->cancelled) {
      return false;
    }
    if (data == kDone) {
      this->done = true;
      return true;
    }
    if (!IsAnswerEvent(data)) {
      return false;
    }
    ++this->token_count;
    this->has_passed_on = true;
    std::string part = "data: ";
    part += data;
    part += "\n\n";
    if (!this->pending.PushChunk(std::move(part))) {
      this->abandoned = true;
      return false;
    }
    this->Report();
    return true;
  }

  void Report() {
    const auto now = std::chrono::steady_clock::now();
    if (this->token_count > 1 && now - this->reported < kProgressPeriod) {
      return;
    }
    this->reported = now;
    this->listener.OnProgress({.id = this->pending.id(),
                               .attempt = this->attempt.attempt,
                               .tokens = this->token_count,
                               .passed_on = true});
  }

  AttemptResult Judge(bool sent, httplib::Error error) {
    if (this->cancelled && this->answer.status == 0) {
      return AttemptResult::kLost;
    }
    if (this->crossed) {
      return AttemptResult::kWrongId;
    }
    if (error == httplib::Error::Connection ||
        error == httplib::Error::ConnectionTimeout) {
      return AttemptResult::kNotSent;
    }
    if (this->abandoned) {
      return AttemptResult::kAbandoned;
    }
    if (this->malformed) {
      return AttemptResult::kMalformed;
    }
    if (!sent) {
      return AttemptResult::kLost;
    }
    return this->JudgeWhole();
  }

  AttemptResult JudgeWhole() {
    const bool busy = this->answer.status == kTooManyRequests ||
                      this->answer.status == kServiceUnavailable;
    if (busy && this->not_run) {
      return AttemptResult::kNotRun;
    }
    if (this->answer.status >= kFirstErrorStatus) {
      this->pending.SetResponse(std::move(this->answer));
      return AttemptResult::kAnsweredError;
    }
    if (this->streaming) {
      return this->done ? AttemptResult::kCompleted : AttemptResult::kLost;
    }
    if (this->pending.upstream().is_model && !this->CountWholeTokens()) {
      return AttemptResult::kMalformed;
    }
    this->pending.SetResponse(std::move(this->answer));
    return AttemptResult::kCompleted;
  }

  // Takes the token count of a model's answer; false when it is no answer.
  bool CountWholeTokens() {
    const json body = json::parse(this->answer.body, nullptr, false);
    if (!body.is_object() || !body.contains("choices")) {
      return false;
    }
    const json usage = body.value("usage", json::object());
    if (usage.is_object() && usage.contains("completion_tokens") &&
        usage["completion_tokens"].is_number_integer()) {
      this->token_count = usage["completion_tokens"].get<int>();
    }
    return true;
  }

  PendingRequest& pending;
  const SendAttempt& attempt;
  AttemptListener& listener;
  std::string upstream_id;
  httplib::Client* client = nullptr;
  std::atomic<bool> cancelled = false;
  SseParser parser;
  UpstreamResponse answer;
  bool crossed = false;
  bool streaming = false;
  bool not_run = false;
  bool malformed = false;
  bool abandoned = false;
  bool done = false;
  bool has_passed_on = false;
  int token_count = 0;
  std::chrono::steady_clock::time_point reported;
};

}  // namespace

AttemptRunner::AttemptRunner(ClientPool& clients, AttemptListener& listener,
                             std::string process)
    : clients(clients), listener(listener), process(std::move(process)) {}

void AttemptRunner::Run(PendingRequest& pending, const SendAttempt& attempt) {
  // An idle connection can close as it is used, and then nobody knows whether
  // the call ran: what must not run twice gets a connection of its own.
  std::unique_ptr<httplib::Client> client =
      pending.upstream().repeatable ? this->clients.Acquire(attempt.address)
                                    : this->clients.MakeClient(attempt.address);
  Attempt run(pending, attempt, this->listener,
              UpstreamId(this->process, pending.id()));
  const AttemptResult result = run.Send(*client);
  if (result == AttemptResult::kCompleted) {
    this->clients.Release(attempt.address, std::move(client));
  }
  this->listener.OnEnded({.id = pending.id(),
                          .attempt = attempt.attempt,
                          .result = result,
                          .tokens = run.tokens(),
                          .passed_on = run.passed_on()});
}

}  // namespace rosemarycove
