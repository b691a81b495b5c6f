// Tests of the fields with which instances relay requests to each other.
#include "platform/call_dialect.h"
#include "proxy/relay_fields.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

RequestHead MakeRequest() {
  RequestHead head;
  head.method = "POST";
  head.target = "/a/?b=c";
  head.fields.Add("Host", "site.example");
  head.fields.Add("Authorization", "Token key-1");
  head.fields.Add("Connection", "close");
  return head;
}

// Returns the fields in the text of a head.
RequestHead Parse(const std::string& text) {
  RequestHead head;
  std::size_t at = text.find("\r\n") + 2;
  while (text.compare(at, 2, "\r\n") != 0) {
    const std::size_t end = text.find("\r\n", at);
    const std::size_t colon = text.find(": ", at);
    head.fields.Add(text.substr(at, colon - at),
                    text.substr(colon + 2, end - colon - 2));
    at = end + 2;
  }
  return head;
}

const platform::PlatformCallDialect kDialect;

}  // namespace

TEST_GROUP(RelayFields){};

TEST(RelayFields, RequestKeepsItsFieldsAndGetsThoseOfTheInstance) {
  const std::string text =
      WriteRelayedRequestHead(MakeRequest(), 3, kDialect,
                              {.from_instance = "a",
                               .age = std::chrono::milliseconds(25),
                               .last_event_id = "7",
                               .possible_executions = 1});
  CHECK(text.starts_with("POST /a/?b=c HTTP/1.1\r\n"));
  RequestHead head = Parse(text);
  CHECK(head.fields.Find("authorization") == "Token key-1");
  CHECK(!head.fields.Find("connection"));
  const auto relayed = TakeRelayedRequest(head);
  CHECK(relayed.has_value());
  CHECK(relayed->from_instance == "a");
  CHECK(relayed->age == std::chrono::milliseconds(25));
  CHECK(relayed->last_event_id == "7");
  CHECK_EQUAL(1, relayed->possible_executions);
  CHECK(!head.fields.Find("relay-from"));
}

TEST(RelayFields, FieldsOfTheCallerAreReplaced) {
  RequestHead request = MakeRequest();
  request.fields.Add("Relay-Possible-Executions", "9");
  request.fields.Add("relay-from", "caller");
  RequestHead head = Parse(
      WriteRelayedRequestHead(request, 0, kDialect, {.from_instance = "a"}));
  CHECK_EQUAL(1, head.fields.Count("relay-from"));
  const auto relayed = TakeRelayedRequest(head);
  CHECK(relayed->from_instance == "a");
  CHECK_EQUAL(0, relayed->possible_executions);
}

TEST(RelayFields, InvalidFieldsAreRefused) {
  for (const char* age : {"", "-1", "1x", "99999999999999999999"}) {
    RequestHead head;
    head.fields.Add("Relay-From", "a");
    head.fields.Add("Relay-Age-Ms", age);
    head.fields.Add("Relay-Possible-Executions", "0");
    CHECK(!TakeRelayedRequest(head));
  }
  ResponseHead response;
  response.fields.Add("Relay-Cause", "no such cause");
  response.fields.Add("Relay-Not-Executed", "1");
  response.fields.Add("Relay-Sent", "0");
  response.fields.Add("Relay-Retry-After-Ms", "0");
  CHECK(!TakeRelayedResponse(response));
}

TEST(RelayFields, EndingIsReadAsItWasWritten) {
  ResponseHead head;
  for (const HeaderField& field :
       RelayedEndingFields({.cause = EndCause::kQueueFull,
       .not_executed = true,
       .sent_attempts = 2,
       .retry_after = std::chrono::milliseconds(150)})) {
    head.fields.Add(field.name, field.value);
  }
  const auto response = TakeRelayedResponse(head);
  CHECK(response && response->ending);
  CHECK(response->ending->cause == EndCause::kQueueFull);
  CHECK(response->ending->not_executed);
  CHECK_EQUAL(2, response->ending->sent_attempts);
  CHECK(response->ending->retry_after == std::chrono::milliseconds(150));
  CHECK_EQUAL(0U, head.fields.size());
}

// Guards against a server whose response has such fields, by which it could
// make an instance believe that the request has not run.
TEST(RelayFields, FieldsOfAServerAreReplaced) {
  ResponseHead head;
  for (const HeaderField& field : RelayedEndingFields(
           {.cause = EndCause::kDraining, .not_executed = true})) {
    head.fields.Add(field.name, field.value);
  }
  head.fields.Add("Relay-Server", "other");
  SetRelayedServer(head, "s-1");
  const auto response = TakeRelayedResponse(head);
  CHECK(response->server == "s-1");
  CHECK(!response->ending);
}

TEST(RelayFields, RemovalKeepsTheMarksOfOthers) {
  HeaderFields fields;
  fields.Add("X-Removed", "1");
  fields.Add("X-Listed", "2");
  fields.Add("Connection", "keep-alive, x-listed");
  fields.Add("X-Forwarded", "3");
  fields.MarkConnectionFields();
  fields.Remove("x-removed");
  std::string hop_by_hop;
  for (const HeaderFieldView field : fields) {
    hop_by_hop += field.is_hop_by_hop ? '1' : '0';
  }
  STRCMP_EQUAL("110", hop_by_hop.c_str());
}
