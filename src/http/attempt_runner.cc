#include "http/attempt_runner.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/sse_parser.h"
#include "net/clock.h"
#include "wire/json_decoder.h"

namespace rosemarycove {
namespace {

using nlohmann::json;

// Minimum time between two progress reports of an attempt.
constexpr Duration kProgressInterval = std::chrono::milliseconds(100);
// Maximum size in bytes of a response that is not streamed.
constexpr std::size_t kMaxResponseBytes = 64U << 20U;
// More tokens than any response has.
constexpr std::int64_t kMaxTokens = 1'000'000'000;
constexpr std::string_view kDoneEvent = "[DONE]";

constexpr int kFirstErrorStatus = 400;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

// Returns whether the event's data is a JSON object without an "error" member.
// Most events are only validated; the JSON value is built only if the text
// contains "error".
bool IsResponseEvent(std::string_view data) {
  if (data.empty() || data.front() != '{') {
    return false;
  }
  if (data.find("\"error\"") == std::string_view::npos) {
    return json::accept(data);
  }
  const json event = JsonDecoder().Parse(data).value_or(json());
  return event.is_object() && !event.contains("error");
}

// One request to a backend server and the state of its response. Only Cancel
// may be called from another thread.
class Attempt : public AttemptCanceller {
 public:
  Attempt(PendingRequest& pending, const SendAttempt& attempt,
          AttemptListener& listener, std::string upstream_id)
      : pending(pending),
        attempt(attempt),
        listener(listener),
        upstream_id(std::move(upstream_id)) {}

  void Cancel() override {
    // Before the end of the connection, which may complete a response.
    this->cancelled = true;
    if (this->client != nullptr) {
      this->client->stop();
    }
  }

  // Sends the request with the client and blocks until the attempt has ended.
  AttemptResult Send(BackendClient& target) {
    this->client = &target;
    this->pending.SetCanceller(this->attempt.attempt, this);
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    httplib::Request request = this->MakeRequest();
    const bool sent = !this->cancelled && target.send(request, response, error);
    this->pending.ClearCanceller();
    this->client = nullptr;
    return this->DetermineResult(sent, error);
  }

  [[nodiscard]] int tokens() const { return this->token_count; }
  [[nodiscard]] bool forwarded() const { return this->has_forwarded; }

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
      return this->OnHeaders(response);
    };
    request.content_receiver = [this](const char* data, size_t size,
                                      uint64_t /*offset*/, uint64_t /*total*/) {
      return this->OnBody({data, size});
    };
    return request;
  }

  bool OnHeaders(const httplib::Response& response) {
    this->response.status = response.status;
    this->response.content_type = response.get_header_value("Content-Type");
    this->not_executed = response.get_header_value("X-Ran") == "no";
    this->id_mismatch =
        response.get_header_value("X-Request-Id") != this->upstream_id;
    this->streaming =
        response.status < kFirstErrorStatus && this->pending.upstream().stream;
    return !this->id_mismatch && !this->cancelled;
  }

  bool OnBody(std::string_view bytes) {
    if (!this->streaming) {
      this->response.body += bytes;
      return this->response.body.size() <= kMaxResponseBytes;
    }
    const bool accepted = this->parser.Feed(
        bytes, [this](std::string_view data) { return this->OnEvent(data); });
    this->malformed = this->malformed || !accepted;
    return accepted;
  }

  bool OnEvent(std::string_view data) {
    if (this->done_received || this->cancelled) {
      return false;
    }
    if (data == kDoneEvent) {
      this->done_received = true;
      return true;
    }
    if (!IsResponseEvent(data)) {
      return false;
    }
    ++this->token_count;
    this->has_forwarded = true;
    std::string chunk = "data: ";
    chunk += data;
    chunk += "\n\n";
    if (!this->pending.PushChunk(std::move(chunk))) {
      this->caller_stopped = true;
      return false;
    }
    this->ReportProgress();
    return true;
  }

  void ReportProgress() {
    const auto now = MonotonicNow();
    if (this->token_count > 1 && now - this->last_report < kProgressInterval) {
      return;
    }
    this->last_report = now;
    this->listener.OnProgress({.id = this->pending.id(),
                               .attempt = this->attempt.attempt,
                               .tokens = this->token_count,
                               .forwarded = true});
  }

  AttemptResult DetermineResult(bool sent, httplib::Error error) {
    if (this->cancelled && this->response.status == 0) {
      return AttemptResult::kLost;
    }
    if (this->id_mismatch) {
      return AttemptResult::kWrongId;
    }
    if (error == httplib::Error::Connection ||
        error == httplib::Error::ConnectionTimeout) {
      return AttemptResult::kNotSent;
    }
    if (this->caller_stopped) {
      return AttemptResult::kAbandoned;
    }
    if (this->malformed) {
      return AttemptResult::kMalformed;
    }
    if (!sent || this->cancelled) {
      return AttemptResult::kLost;
    }
    return this->DetermineResponseResult();
  }

  AttemptResult DetermineResponseResult() {
    const bool busy = this->response.status == kTooManyRequests ||
                      this->response.status == kServiceUnavailable;
    if (busy && this->not_executed) {
      return AttemptResult::kNotExecuted;
    }
    if (this->response.status >= kFirstErrorStatus) {
      this->pending.SetResponse(std::move(this->response));
      return AttemptResult::kAnsweredError;
    }
    if (this->streaming) {
      return this->done_received ? AttemptResult::kCompleted
                                 : AttemptResult::kLost;
    }
    if (this->pending.upstream().is_model && !this->ReadTokenCount()) {
      return AttemptResult::kMalformed;
    }
    this->pending.SetResponse(std::move(this->response));
    return AttemptResult::kCompleted;
  }

  // Reads the token count from a model's response that is not streamed. Returns
  // false if the body is not a chat completion.
  bool ReadTokenCount() {
    const json body = JsonDecoder().Parse(this->response.body).value_or(json());
    if (!body.is_object() || !body.contains("choices")) {
      return false;
    }
    const auto usage = body.find("usage");
    if (usage != body.end() && usage->is_object() &&
        usage->contains("completion_tokens") &&
        (*usage)["completion_tokens"].is_number_integer()) {
      this->token_count = static_cast<int>(std::clamp<std::int64_t>(
          (*usage)["completion_tokens"].get<std::int64_t>(), 0, kMaxTokens));
    }
    return true;
  }

  PendingRequest& pending;
  const SendAttempt& attempt;
  AttemptListener& listener;
  std::string upstream_id;
  BackendClient* client = nullptr;
  std::atomic<bool> cancelled = false;
  SseParser parser;
  UpstreamResponse response;
  bool id_mismatch = false;
  bool streaming = false;
  bool not_executed = false;
  bool malformed = false;
  bool caller_stopped = false;
  bool done_received = false;
  bool has_forwarded = false;
  int token_count = 0;
  TimePoint last_report;
};

}  // namespace

AttemptRunner::AttemptRunner(ClientPool& clients, AttemptListener& listener,
                             std::string process)
    : clients(clients), listener(listener), process(std::move(process)) {}

void AttemptRunner::Run(PendingRequest& pending, const SendAttempt& attempt) {
  // The server may close an idle connection while the request is being sent; it
  // is then unknown whether the request ran. A request that must not run twice
  // therefore always gets a new connection.
  std::unique_ptr<BackendClient> client =
      pending.upstream().repeatable ? this->clients.Acquire(attempt.address)
                                    : this->clients.MakeClient(attempt.address);
  Attempt run(pending, attempt, this->listener,
              UpstreamId(this->process, pending.id()));
  const AttemptResult result = run.Send(*client);
  if (result == AttemptResult::kCompleted && client->is_reusable()) {
    this->clients.Release(attempt.address, std::move(client));
  }
  this->listener.OnEnded({.id = pending.id(),
                          .attempt = attempt.attempt,
                          .result = result,
                          .tokens = run.tokens(),
                          .forwarded = run.forwarded()});
}

}  // namespace rosemarycove
