// Tests of event streams that backend servers end in different ways.
#include <optional>
#include <string>

#include "proxy/event_splitter.h"
#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

constexpr char kEventStream[] = "Content-Type: text/event-stream\r\n";

// Returns a response whose body ends with the connection.
std::string CloseDelimited(const std::string& request, const std::string& body,
                           const std::string& extra_fields = kEventStream) {
  return "HTTP/1.1 200 OK\r\nRosemarycove-Request-Id: " +
         HeaderValue(request, "Rosemarycove-Request-Id") +
         "\r\nRosemarycove-Server-Seal: seal\r\n" + extra_fields + "\r\n" +
         body;
}

// Returns a handler that answers one request with what `respond` returns and
// then closes the connection in order.
RawServer::Handler RespondAndClose(
    std::function<std::string(const std::string& request)> respond) {
  return [respond = std::move(respond)](RawConnection& connection) {
    if (const auto request = connection.ReadMessage()) {
      connection.Send(respond(*request));
      connection.Close();
    }
  };
}

// A gateway with one engine, or two if the address of another one is given.
class StreamFixture {
 public:
  explicit StreamFixture(RawServer::Handler handler,
                         const std::string& second_engine = "")
      : platform(std::move(handler)) {
    if (!second_engine.empty()) {
      this->platform.AddServer("engine-2", "model", second_engine);
    }
    this->gateway.emplace("a", this->platform.store.address());
    this->gateway->AwaitReady();
  }
  // Returns all bytes that a caller gets until its connection ends.
  std::string Send(const std::string& path = "/stream/x",
                   const std::string& version = "1.1", bool* reset = nullptr) {
    const auto caller = this->gateway->Connect();
    std::string request =
        PlatformFixture::Request(path, "r1", "Connection: close\r\n");
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/" + version);
    caller->Send(request);
    return caller->ReadToEnd(reset);
  }

  PlatformFixture platform;
  std::optional<RunningGateway> gateway;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_GROUP(EventStreams){};

// Guards against a stream that its server breaks off within an event, by
// closing the connection in order, being framed as complete for the caller.
TEST(EventStreams, CloseWithinAnEventDoesNotCompleteTheStream) {
  StreamFixture fixture(RespondAndClose([](const std::string& request) {
    return CloseDelimited(request, "id: 1\ndata: a\n\nid: 2\nda");
  }));
  const std::string response = fixture.Send();
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(Contains(response, "id: 1\ndata: a\n\n"));
  CHECK(!Contains(response, "id: 2"));
  CHECK(!response.ends_with(kLastChunk));
}

// Guards against the same with a server that frames the rest properly.
TEST(EventStreams, LastChunkWithinAnEventDoesNotCompleteTheStream) {
  StreamFixture fixture(RespondAndClose([](const std::string& request) {
    return StreamResponseHead(request) +
           Chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n") +
           std::string(kLastChunk);
  }));
  const std::string response = fixture.Send();
  CHECK(Contains(response, "id: 1\ndata: a\n\n"));
  CHECK(!Contains(response, "id: 2"));
  CHECK(!response.ends_with(kLastChunk));
}

// Guards against a stream that its server breaks off before the first event
// being framed as a complete, empty stream.
TEST(EventStreams, CloseBeforeTheFirstEventDoesNotCompleteTheStream) {
  StreamFixture fixture(RespondAndClose(
      [](const std::string& request) { return CloseDelimited(request, ""); }));
  CHECK(!fixture.Send().ends_with(kLastChunk));
}

// Guards against a broken-off stream looking complete to a caller for which the
// end of the connection is the end of the stream.
TEST(EventStreams, BrokenStreamResetsTheConnectionOfAnHttp10Caller) {
  StreamFixture fixture(RespondAndClose([](const std::string& request) {
    return CloseDelimited(request, "id: 1\ndata: a\n\nid: 2\nda");
  }));
  bool reset = false;
  const std::string response = fixture.Send("/stream/x", "1.0", &reset);
  CHECK(Contains(response, "id: 1\ndata: a\n\n"));
  CHECK(!Contains(response, "id: 2"));
  CHECK(reset);
}

// Guards against a resumable stream that is broken off by an orderly close
// being ended instead of resumed.
TEST(EventStreams, CloseWithinAnEventResumesTheStreamAtAnotherServer) {
  const auto handler = RespondAndClose([](const std::string& request) {
    return HeaderValue(request, "Last-Event-Id") == "1"
               ? CloseDelimited(request, "id: 2\ndata: b\n\n")
               : CloseDelimited(request, "id: 1\ndata: a\n\nid: 2\nda");
  });
  const RawServer other(handler);
  StreamFixture fixture(handler, other.address());
  const std::string response = fixture.Send();
  CHECK(Contains(response, "id: 1\ndata: a\n\n"));
  CHECK(Contains(response, "id: 2\ndata: b\n\n"));
  CHECK(!Contains(response, "id: 2\nda\r\n"));
  CHECK(response.ends_with(kLastChunk));
}

// Guards against the answer of the server that is asked to resume a stream
// being written, with its head, into the middle of the stream.
TEST(EventStreams, AnswerThatIsNoStreamDoesNotContinueAStream) {
  for (const std::string status : {"404 Not Found", "200 OK"}) {
    const auto handler = RespondAndClose([&](const std::string& request) {
      return HeaderValue(request, "Last-Event-Id") == "1"
                 ? EngineResponse(request, "{}", status,
                                  "Content-Type: application/json\r\n")
                 : CloseDelimited(request, "id: 1\ndata: a\n\nid: 2\nda");
    });
    const RawServer other(handler);
    StreamFixture fixture(handler, other.address());
    const std::string response = fixture.Send();
    CHECK(Contains(response, "id: 1\ndata: a\n\n"));
    CHECK(!Contains(response.substr(1), "HTTP/1.1"));
    CHECK(!response.ends_with(kLastChunk));
  }
}

TEST(EventStreams, CloseAfterAnEventCompletesTheStream) {
  StreamFixture fixture(RespondAndClose([](const std::string& request) {
    return CloseDelimited(request, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  }));
  const std::string response = fixture.Send();
  CHECK(Contains(response, "id: 2\ndata: b\n\n"));
  CHECK(response.ends_with(kLastChunk));
}

// Guards against a body that is no event stream being taken for a stream that
// ends within an event.
TEST(EventStreams, OtherBodiesOfAStreamRouteAreCompleteAtTheirEnd) {
  StreamFixture fixture(RespondAndClose([](const std::string& request) {
    return CloseDelimited(request, "{}", "Content-Type: application/json\r\n");
  }));
  CHECK(fixture.Send().ends_with("\r\n\r\n{}"));
}

// Guards against an event stream of another route being framed as complete
// although it ends within an event.
TEST(EventStreams, EventStreamsOfOtherRoutesEndWithACompleteEvent) {
  StreamFixture fixture(RespondAndClose([](const std::string& request) {
    return CloseDelimited(request, "data: a\n\nda",
                          "Content-Type: Text/Event-Stream; charset=utf-8\r\n");
  }));
  const std::string response = fixture.Send("/once/x");
  CHECK(Contains(response, "data: a\n\n"));
  CHECK(!response.ends_with(kLastChunk));
}

TEST_GROUP(EventSplitter){};

// Guards against events whose lines end with CR, which server-sent events
// allow, being held back to the end of the stream.
TEST(EventSplitter, LinesEndWithAnyOfTheLineEndsAtAnyChunkBoundary) {
  for (const std::string line_end : {"\n", "\r\n", "\r"}) {
    const std::string first = "id: 1" + line_end + "data: a" + line_end;
    const std::string second = "id: 2" + line_end + "data: b" + line_end;
    const std::string stream = first + line_end + second + line_end;
    for (std::size_t split = 0; split <= stream.size(); ++split) {
      EventSplitter splitter;
      std::string events = splitter.Feed(stream.substr(0, split));
      CHECK(split < first.size() + 1 || events.starts_with(first));
      events += splitter.Feed(stream.substr(split));
      STRCMP_EQUAL(stream.c_str(), events.c_str());
      CHECK(splitter.partial_event().empty());
      CHECK_EQUAL(2, splitter.event_count());
      STRCMP_EQUAL("2", splitter.last_id().c_str());
    }
  }
}

TEST(EventSplitter, IncompleteEventIsKeptBack) {
  EventSplitter splitter;
  STRCMP_EQUAL("data: a\r\n\r\n",
               splitter.Feed("data: a\r\n\r\ndata: b\r\n").c_str());
  STRCMP_EQUAL("data: b\r\n", splitter.partial_event().c_str());
  splitter.DiscardPartialEvent();
  STRCMP_EQUAL("data: c\n\n", splitter.Feed("data: c\n\n").c_str());
}
