#include "http/caller_api.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/http_status.h"
#include "store/digest.h"
#include "wire/json_decoder.h"

namespace rosemarycove {
namespace {

using nlohmann::json;

// Interval between checks whether a waiting caller closed its connection.
constexpr auto kCallerCheckInterval = std::chrono::milliseconds(250);
// Assumed bytes of text per token, to estimate a prompt's length.
constexpr std::size_t kBytesPerToken = 4;
// Number of bytes at the start of the prompt that are hashed as its prefix.
constexpr std::size_t kPrefixBytes = 1024;
// Maximum number of levels of a request's JSON; schemas of tools have some.
constexpr int kMaxBodyDepth = 200;
// Maximum length of an idempotency key, in bytes.
constexpr std::size_t kMaxKeyBytes = 256;

int StatusOf(const FinishRequest& finish) {
  switch (finish.cause) {
    case EndCause::kUnknownModel:
    case EndCause::kUnknownService:
      return http_status::kNotFound;
    case EndCause::kClassNotAllowed:
      return http_status::kForbidden;
    case EndCause::kCustomerLimit:
    case EndCause::kClassLimit:
      return http_status::kTooManyRequests;
    case EndCause::kIdempotencyKeyTaken:
      return http_status::kConflict;
    case EndCause::kIdempotencyKeyReused:
      return http_status::kUnprocessable;
    case EndCause::kCallerLeft:
      return http_status::kClientClosed;
    case EndCause::kBackendError:
    case EndCause::kAnswerLost:
    case EndCause::kAnswerMalformed:
    case EndCause::kWrongAnswerId:
      return http_status::kBadGateway;
    case EndCause::kDraining:
      return finish.execution == ExecutionStatus::kNotExecuted
                 ? http_status::kUnavailable
                 : http_status::kBadGateway;
    default:
      return http_status::kUnavailable;
  }
}

std::string MessageOf(const FinishRequest& finish) {
  switch (finish.cause) {
    case EndCause::kUnknownModel:
      return "no service offers this model";
    case EndCause::kUnknownService:
      return "there is no such service";
    case EndCause::kClassNotAllowed:
      return "the customer may not use this class";
    case EndCause::kCustomerLimit:
      return "the customer has too many requests in flight";
    case EndCause::kClassLimit:
      return "the class has too many requests in flight";
    case EndCause::kQueueFull:
    case EndCause::kEvicted:
      return "too many requests wait; come back later";
    case EndCause::kLate:
    case EndCause::kMaxWait:
      return "the request waited too long and was not run";
    case EndCause::kDraining:
      return "the instance is stopping";
    case EndCause::kNotReady:
      return "the instance has no configuration yet";
    case EndCause::kNoBackend:
      return "no backend server took the request";
    case EndCause::kBackendError:
      return "the backend server answered with an error";
    case EndCause::kAnswerLost:
      return "the answer was lost on its way";
    case EndCause::kAnswerMalformed:
      return "the backend server's answer was malformed";
    case EndCause::kWrongAnswerId:
      return "the backend server answered another request";
    case EndCause::kIdempotencyKeyTaken:
      return "another request used this idempotency key; it may have run";
    case EndCause::kIdempotencyKeyReused:
      return "the idempotency key was used for a different request";
    case EndCause::kStoreUnavailable:
      return "the idempotency key can't be claimed now; nothing was run";
    default:
      return "the request did not complete";
  }
}

json ErrorBody(std::string_view message, std::string_view type,
               std::string_view code, std::string_view ran) {
  return {{"error", {{"message", message}, {"type", type}, {"code", code}}},
          {"ran", ran}};
}

void Reject(httplib::Response& response, int status, std::string_view message,
            std::string_view code) {
  response.status = status;
  response.set_content(ErrorBody(message, "refused", code, "no").dump(),
                       "application/json");
}

json OutcomeBody(const FinishRequest& finish, const std::string& request) {
  json body = ErrorBody(MessageOf(finish), ToString(finish.outcome),
                        ToString(finish.cause), ToString(finish.execution));
  body["request"] = request;
  return body;
}

// Returns the text of all messages, from which the prompt's length is estimated
// and its prefix hash computed.
std::string PromptText(const json& body) {
  std::string text;
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array()) {
    return text;
  }
  for (const json& message : *messages) {
    if (message.is_object() && message.contains("content")) {
      const json& content = message["content"];
      text += content.is_string() ? content.get<std::string>() : content.dump();
      text += '\n';
    }
  }
  return text;
}

// Returns why the body of a chat request is invalid; empty if it is valid.
std::string ValidationError(const json& body) {
  if (!body.is_object()) {
    return "the body is not a JSON object";
  }
  if (!body.contains("model") || !body["model"].is_string()) {
    return "model must be a string";
  }
  if (!body.contains("messages") || !body["messages"].is_array() ||
      body["messages"].empty()) {
    return "messages must be an array with at least one message";
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return "stream must be true or false";
  }
  if (body.contains("max_tokens") &&
      (!body["max_tokens"].is_number_integer() ||
       body["max_tokens"].get<std::int64_t>() < 1 ||
       body["max_tokens"].get<std::int64_t>() > 1'000'000)) {
    return "max_tokens must be a whole number from 1 to 1000000";
  }
  return {};
}

}  // namespace

CallerApi::CallerApi(CallerApiOptions options, HttpServer& server,
                     CallerApiHost& host)
    : options(std::move(options)), server(server), host(host) {
  server.Post("/v1/chat/completions", [this](const httplib::Request& request,
                                             httplib::Response& response) {
    this->HandleChat(request, response);
  });
  server.Post(
      R"(/services/([^/]+)(/.*)?)",
      [this](const httplib::Request& request, httplib::Response& response) {
        this->HandleService(request, response);
      });
  server.Get("/v1/models", [this](const httplib::Request& request,
                                  httplib::Response& response) {
    this->HandleModels(request, response);
  });
  server.Get("/healthz",
             [](const httplib::Request&, httplib::Response& response) {
               response.set_content("ok\n", "text/plain");
             });
  server.Get(
      "/readyz", [this](const httplib::Request&, httplib::Response& response) {
        const bool ready = this->host.ready();
        response.status = ready ? http_status::kOk : http_status::kUnavailable;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
      });
  server.set_error_handler(
      [](const httplib::Request&, httplib::Response& response) {
        if (response.body.empty()) {
          const std::string code = std::to_string(response.status);
          response.set_content(
              ErrorBody("the request was not accepted (HTTP " + code + ")",
                        "refused", code, "no")
                  .dump(),
              "application/json");
        }
      });
}

std::optional<std::string> CallerApi::Authenticate(
    const httplib::Request& request, httplib::Response& response) {
  static constexpr std::string_view kScheme = "Bearer ";
  const std::string header = request.get_header_value("Authorization");
  if (header.starts_with(kScheme)) {
    std::optional<std::string> customer = this->host.FindCustomerByKeyHash(
        Sha256Hex(std::string_view(header).substr(kScheme.size())));
    if (customer) {
      return customer;
    }
  }
  if (!this->host.ready()) {
    response.set_header("Retry-After", "1");
    Reject(response, http_status::kUnavailable, "the instance is not ready",
           "not_ready");
    return std::nullopt;
  }
  Reject(response, http_status::kUnauthorized,
         "a known key is required: Authorization: Bearer KEY", "wrong_key");
  return std::nullopt;
}

void CallerApi::ReadHeaders(const httplib::Request& request,
                            RequestArrived& arrived) {
  arrived.id = this->host.NextRequestId();
  arrived.class_name = request.get_header_value("X-Request-Class");
  arrived.idempotency_key = request.get_header_value("Idempotency-Key");
  arrived.repeatable = request.get_header_value("X-Repeatable") != "false";
  if (!arrived.idempotency_key.empty()) {
    arrived.fingerprint = Sha256Hex(request.path + '\n' + request.body);
  }
}

void CallerApi::HandleChat(const httplib::Request& request,
                           httplib::Response& response) {
  const std::optional<std::string> customer =
      this->Authenticate(request, response);
  if (!customer) {
    return;
  }
  const json body = JsonDecoder({.max_depth = kMaxBodyDepth})
                        .Parse(request.body)
                        .value_or(json());
  const std::string error = ValidationError(body);
  if (!error.empty()) {
    Reject(response, http_status::kBadRequest, error, "bad_request");
    return;
  }
  const std::string prompt = PromptText(body);
  RequestArrived arrived{
      .customer = *customer,
      .class_name = {},
      .service = {},
      .model = body["model"].get<std::string>(),
      .prompt_tokens = static_cast<int>(prompt.size() / kBytesPerToken + 1),
      .max_tokens = body.value("max_tokens", 0),
      .prefix_hash =
          XXH3_64bits(prompt.data(), std::min(prompt.size(), kPrefixBytes)),
      .idempotency_key = {},
      .fingerprint = {}};
  this->ReadHeaders(request, arrived);
  if (arrived.idempotency_key.size() > kMaxKeyBytes) {
    Reject(response, http_status::kBadRequest, "Idempotency-Key is too long",
           "bad_request");
    return;
  }
  UpstreamRequest upstream{.path = "/v1/chat/completions",
                           .body = request.body,
                           .content_type = "application/json",
                           .stream = body.value("stream", false),
                           .repeatable = arrived.repeatable,
                           .is_model = true};
  this->Serve(std::move(arrived), std::move(upstream), response);
}

void CallerApi::HandleService(const httplib::Request& request,
                              httplib::Response& response) {
  const std::optional<std::string> customer =
      this->Authenticate(request, response);
  if (!customer) {
    return;
  }
  RequestArrived arrived{.customer = *customer,
                         .class_name = {},
                         .service = request.matches[1],
                         .model = {},
                         .idempotency_key = {},
                         .fingerprint = {}};
  this->ReadHeaders(request, arrived);
  if (arrived.idempotency_key.size() > kMaxKeyBytes) {
    Reject(response, http_status::kBadRequest, "Idempotency-Key is too long",
           "bad_request");
    return;
  }
  const std::string path = request.matches[2];
  UpstreamRequest upstream{
      .path = path.empty() ? "/" : path,
      .body = request.body,
      .content_type = request.get_header_value("Content-Type"),
      .stream = false,
      .repeatable = false,
      .is_model = false};
  if (upstream.content_type.empty()) {
    upstream.content_type = "application/octet-stream";
  }
  this->Serve(std::move(arrived), std::move(upstream), response);
}

void CallerApi::HandleModels(const httplib::Request& request,
                             httplib::Response& response) {
  if (!this->Authenticate(request, response)) {
    return;
  }
  json data = json::array();
  for (const Service& service : this->host.resources()->services) {
    for (const std::string& model : service.models) {
      data.push_back(
          {{"id", model}, {"object", "model"}, {"owned_by", service.name}});
    }
  }
  response.set_content(json{{"object", "list"}, {"data", data}}.dump(),
                       "application/json");
}

void CallerApi::Serve(RequestArrived arrived, UpstreamRequest upstream,
                      httplib::Response& response) {
  const RequestId id = arrived.id;
  const int socket = HttpServer::CurrentSocket();
  const auto pending =
      std::make_shared<PendingRequest>(id, std::move(upstream));
  this->host.Submit(std::move(arrived), pending);
  PendingRequest::Update update = pending->Wait(kCallerCheckInterval);
  bool disconnected = false;
  while (!update.chunk && !update.finished) {
    if (!disconnected && PeerHasClosed(socket)) {
      disconnected = true;
      pending->Abandon();
      this->host.OnCallerDisconnected(id);
    }
    update = pending->Wait(kCallerCheckInterval);
  }
  const std::string request_id = UpstreamId(this->options.process, id);
  response.set_header("X-Request-Id", request_id);
  response.set_header("X-Instance", this->options.instance);
  if (update.chunk) {
    this->Stream(pending, std::move(*update.chunk), response);
    return;
  }
  const FinishRequest finish = pending->outcome();
  response.set_header("X-Outcome", std::string(ToString(finish.outcome)));
  response.set_header("X-Request-Class", finish.class_name);
  if (finish.attempts > 0) {
    response.set_header("X-Backend", pending->backend());
  }
  if (finish.retry_after > Duration{}) {
    response.set_header("Retry-After",
                        std::to_string(static_cast<int>(
                            std::ceil(ToSeconds(finish.retry_after)))));
  }
  const UpstreamResponse answer = pending->response();
  const bool has_answer = finish.outcome == Outcome::kCompleted ||
                          finish.cause == EndCause::kBackendError;
  if (has_answer && answer.status != 0) {
    response.status = answer.status;
    response.set_content(answer.body, answer.content_type);
    return;
  }
  if (finish.outcome == Outcome::kCompleted) {
    // The stream had no event but the final one, so no chunk was forwarded.
    response.set_content("data: [DONE]\n\n", "text/event-stream");
    return;
  }
  response.status = StatusOf(finish);
  response.set_content(OutcomeBody(finish, request_id).dump(),
                       "application/json");
}

void CallerApi::Stream(const std::shared_ptr<PendingRequest>& pending,
                       std::string first, httplib::Response& response) {
  response.set_header("X-Backend", pending->backend());
  response.set_header("Cache-Control", "no-cache");
  const int socket = HttpServer::CurrentSocket();
  const std::string request_id =
      UpstreamId(this->options.process, pending->id());
  const auto end_stream = [this, pending] {
    pending->Abandon();
    this->host.OnCallerDisconnected(pending->id());
  };
  response.set_chunked_content_provider(
      "text/event-stream",
      [pending, socket, request_id, end_stream, first = std::move(first)](
          size_t offset, httplib::DataSink& sink) {
        if (offset == 0) {
          return sink.write(first.data(), first.size());
        }
        PendingRequest::Update update = pending->Wait(kCallerCheckInterval);
        if (update.chunk) {
          return sink.write(update.chunk->data(), update.chunk->size());
        }
        if (!update.finished) {
          return !pending->has_overflowed() && !PeerHasClosed(socket);
        }
        const FinishRequest finish = pending->outcome();
        const std::string last =
            finish.outcome == Outcome::kCompleted
                ? "data: [DONE]\n\n"
                : "data: " + OutcomeBody(finish, request_id).dump() + "\n\n";
        sink.write(last.data(), last.size());
        sink.done();
        return true;
      },
      [end_stream](bool /*success*/) { end_stream(); });
}

}  // namespace rosemarycove
