#include "proxy/relay_fields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace rosemarycove {
namespace {

namespace field {
// In requests.
constexpr std::string_view kFrom = "Relay-From";
constexpr std::string_view kAge = "Relay-Age-Ms";
constexpr std::string_view kLastEvent = "Relay-Last-Event";
constexpr std::string_view kPossibleExecutions = "Relay-Possible-Executions";
// In responses.
constexpr std::string_view kServer = "Relay-Server";
constexpr std::string_view kCause = "Relay-Cause";
constexpr std::string_view kNotExecuted = "Relay-Not-Executed";
constexpr std::string_view kSent = "Relay-Sent";
constexpr std::string_view kRetryAfter = "Relay-Retry-After-Ms";

constexpr std::array kAll = {kFrom,   kAge,        kLastEvent,
                             kServer, kCause,      kNotExecuted,
                             kSent,   kRetryAfter, kPossibleExecutions};
}  // namespace field

// Bounds of the numbers that another instance may name.
constexpr int kMaxAttempts = 100;
constexpr std::int64_t kMaxMilliseconds = 86'400'000;

bool IsRelayField(std::string_view name) {
  return std::any_of(
      field::kAll.begin(), field::kAll.end(),
      [name](std::string_view known) { return TokensEqual(name, known); });
}

// Returns the number in the field, which must be from 0 to `max`; nullopt if it
// is missing or invalid.
std::optional<std::int64_t> ReadNumber(const HeaderFields& fields,
                                       std::string_view name,
                                       std::int64_t max) {
  const auto text = fields.Find(name);
  if (!text) {
    return std::nullopt;
  }
  std::int64_t number = 0;
  const auto [rest, error] =
      std::from_chars(text->data(), text->data() + text->size(), number);
  if (error != std::errc() || rest != text->data() + text->size() ||
      number < 0 || number > max) {
    return std::nullopt;
  }
  return number;
}

std::string ReadText(const HeaderFields& fields, std::string_view name) {
  return std::string(fields.Find(name).value_or(""));
}

void RemoveRelayFields(HeaderFields& fields) {
  for (const std::string_view name : field::kAll) {
    fields.Remove(name);
  }
}

void AddField(std::string& text, std::string_view name,
              std::string_view value) {
  text.append(name).append(": ").append(value).append("\r\n");
}

std::string ToMillisecondText(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::optional<RelayedResponse::Ending> ReadEnding(const HeaderFields& fields) {
  const std::optional<EndCause> cause =
      EndCauseOf(ReadText(fields, field::kCause));
  const auto not_executed = ReadNumber(fields, field::kNotExecuted, 1);
  const auto sent = ReadNumber(fields, field::kSent, kMaxAttempts);
  const auto retry_after =
      ReadNumber(fields, field::kRetryAfter, kMaxMilliseconds);
  if (!cause || !not_executed || !sent || !retry_after) {
    return std::nullopt;
  }
  return RelayedResponse::Ending{
      .cause = *cause,
      .not_executed = *not_executed == 1,
      .sent_attempts = static_cast<int>(*sent),
      .retry_after = std::chrono::milliseconds(*retry_after)};
}

}  // namespace

std::string WriteRelayedRequestHead(const RequestHead& head,
                                    std::size_t body_bytes,
                                    const CallDialect& dialect,
                                    const RelayedRequest& relayed) {
  std::string text;
  text.reserve(1024);
  text.append(head.method).append(" ").append(head.target);
  text.append(" HTTP/1.1\r\n");
  for (const HeaderFieldView field : head.fields) {
    // The other instance reads the fields that servers don't get.
    const bool is_for_instances =
        dialect.AlwaysForwards(field.name) || !dialect.Forwards(field.name);
    if (TokensEqual(field.name, "content-length") || IsRelayField(field.name) ||
        (field.is_hop_by_hop && !is_for_instances)) {
      continue;
    }
    AddField(text, field.name, field.value);
  }
  AddField(text, field::kFrom, relayed.from_instance);
  AddField(text, field::kAge, ToMillisecondText(relayed.age));
  AddField(text, field::kPossibleExecutions,
           std::to_string(relayed.possible_executions));
  if (!relayed.last_event_id.empty()) {
    AddField(text, field::kLastEvent, relayed.last_event_id);
  }
  AddField(text, "Content-Length", std::to_string(body_bytes));
  text.append("\r\n");
  return text;
}

std::optional<RelayedRequest> TakeRelayedRequest(RequestHead& head) {
  const auto age = ReadNumber(head.fields, field::kAge, kMaxMilliseconds);
  const auto possible_executions =
      ReadNumber(head.fields, field::kPossibleExecutions, kMaxAttempts);
  RelayedRequest relayed{
      .from_instance = ReadText(head.fields, field::kFrom),
      .last_event_id = ReadText(head.fields, field::kLastEvent)};
  RemoveRelayFields(head.fields);
  if (!age || !possible_executions || relayed.from_instance.empty()) {
    return std::nullopt;
  }
  relayed.age = std::chrono::milliseconds(*age);
  relayed.possible_executions = static_cast<int>(*possible_executions);
  return relayed;
}

void SetRelayedServer(ResponseHead& head, const std::string& server) {
  RemoveRelayFields(head.fields);
  head.fields.Add(field::kServer, server);
}

std::vector<HeaderField> RelayedEndingFields(
    const RelayedResponse::Ending& ending) {
  return {
      {std::string(field::kCause), std::string(ToString(ending.cause))},
      {std::string(field::kNotExecuted), ending.not_executed ? "1" : "0"},
      {std::string(field::kSent),
       std::to_string(std::min(ending.sent_attempts, kMaxAttempts))},
      {std::string(field::kRetryAfter), ToMillisecondText(ending.retry_after)}};
}

std::optional<RelayedResponse> TakeRelayedResponse(ResponseHead& head) {
  RelayedResponse response{.server = ReadText(head.fields, field::kServer),
                           .ending = ReadEnding(head.fields)};
  RemoveRelayFields(head.fields);
  if (response.server.empty() && !response.ending) {
    return std::nullopt;
  }
  return response;
}

}  // namespace rosemarycove
