// Tests of streams that break off while the server that should go on with them
// answers with something else.
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

// Occurs in each answer that is not the rest of the stream.
constexpr char kErrorText[] = "oops-error";

// What a server answers when it should go on with a stream.
struct Answer {
  std::string name;
  // The status line and the header, without the request's id.
  std::string head;
  std::string body;
  bool has_request_id = true;
};

std::vector<Answer> OtherAnswers() {
  const std::string seal = "Rosemarycove-Server-Seal: seal\r\n";
  const std::string text = "Content-Type: text/plain\r\n";
  const std::string events = "Content-Type: text/event-stream\r\n";
  const std::string event = fmt::format("id: 3\ndata: {}\n\n", kErrorText);
  const std::string plain = fmt::format("{}\n\n", kErrorText);
  return {
      {"500", "HTTP/1.1 500 Error\r\n" + seal + text, plain},
      {"500 as events", "HTTP/1.1 500 Error\r\n" + seal + events, event},
      {"500 without an id", "HTTP/1.1 500 Error\r\n" + seal + text, plain,
       false},
      {"502", "HTTP/1.1 502 Bad Gateway\r\n" + text, plain},
      {"503 to come back",
       "HTTP/1.1 503 Full\r\nRosemarycove-Not-Executed: 1\r\n"
       "Retry-After: 1\r\n",
       plain},
      {"404", "HTTP/1.1 404 Not Found\r\n" + seal + text, plain},
      {"400 as events", "HTTP/1.1 400 Bad Request\r\n" + seal + events, event},
      {"302", "HTTP/1.1 302 Found\r\nLocation: /x\r\n" + seal, plain},
      {"200 with JSON",
       "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + seal,
       fmt::format("{{\"error\":\"{}\"}}\n\n", kErrorText)},
      {"200 with HTML", "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n" + seal,
       fmt::format("<html>{}</html>\r\n\r\n", kErrorText)},
      {"200 without a type", "HTTP/1.1 200 OK\r\n" + seal, plain},
      {"200 of another program", "HTTP/1.1 200 OK\r\n" + events, event},
      {"no HTTP", "", plain},
  };
}

std::string Format(const Answer& answer, const std::string& request) {
  if (answer.head.empty()) {
    return answer.body;
  }
  return answer.head +
         (answer.has_request_id
              ? "Rosemarycove-Request-Id: " +
                    HeaderValue(request, "Rosemarycove-Request-Id") + "\r\n"
              : "") +
         fmt::format("Content-Length: {}\r\n\r\n{}", answer.body.size(),
                     answer.body);
}

// Begins a stream and breaks it off after two events; answers with something
// else when it should go on with one.
RawServer::Handler BreakOffThenAnswer(const Answer& answer) {
  return [answer](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      if (!HeaderValue(*request, "Last-Event-Id").empty()) {
        connection.Send(Format(answer, *request));
        if (answer.head.empty()) {
          connection.Close();
          return;
        }
        continue;
      }
      connection.Send(StreamResponseHead(*request) +
                      Chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
      // Separates the last bytes from the reset.
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      connection.Reset();
      return;
    }
  };
}

}  // namespace

TEST_GROUP(BrokenStreams){};

// Guards against an error's text or head within a caller's stream, and against
// a stream that ends as if it were complete.
TEST(BrokenStreams, NoByteOfAnotherAnswerReachesTheStream) {
  for (const Answer& answer : OtherAnswers()) {
    PlatformFixture platform(BreakOffThenAnswer(answer));
    RawServer second(BreakOffThenAnswer(answer));
    platform.AddServer("engine-2", "model", second.address());
    const RunningGateway gateway("a", platform.store.address());
    gateway.AwaitReady();
    const auto caller = gateway.Connect();
    caller->Send(
        PlatformFixture::Request("/stream/x", "r1", "Connection: close\r\n"));
    const std::string response = caller->ReadToEnd();
    const char* name = answer.name.c_str();
    CHECK_TEXT(response.starts_with("HTTP/1.1 200"), name);
    CHECK_TEXT(response.find("data: b") != std::string::npos, name);
    CHECK_TEXT(response.find(kErrorText) == std::string::npos, name);
    CHECK_TEXT(response.find("HTTP/1.1", 1) == std::string::npos, name);
    CHECK_TEXT(!response.ends_with("0\r\n\r\n"), name);
  }
}
