// Tests of refusals and other responses that a backend server writes at the
// wrong time: a refusal counts only if it is certainly of the request.
#include <fmt/format.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <future>

#include "http/attempt_runner.h"
#include "proxy/backend_connection.h"
#include "proxy/endpoint.h"
#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

// The refusals that servers write: a status line and fields.
struct RefusalKind {
  std::string status;
  std::string fields;
};

const std::string kNotExecuted = "Rosemarycove-Not-Executed: 1\r\n";
const std::vector<RefusalKind> kRefusalKinds = {
    {"503 Full", kNotExecuted + "Retry-After: 0.1\r\n"},
    {"429 Limit", kNotExecuted},
    {"421 Misdirected", ""},
    {"400 No Id", kNotExecuted},
    {"408 Late", kNotExecuted}};

// Returns a refusal; without an id if `id` is empty.
std::string Refusal(const RefusalKind& kind, const std::string& id) {
  const std::string id_field =
      id.empty() ? "" : "Rosemarycove-Request-Id: " + id + "\r\n";
  return fmt::format("HTTP/1.1 {}\r\n{}{}Content-Length: 4\r\n\r\nfull",
                     kind.status, id_field, kind.fields);
}

std::string IdOf(const std::string& request) {
  return HeaderValue(request, "Rosemarycove-Request-Id");
}

using ExtraBytes = std::function<std::string(
    const std::string& request, const std::string& earlier_request)>;

// Answers the requests of a connection. `extra` returns the bytes that are
// written before the answer to each request but the first.
RawServer::Handler RespondAfter(ExtraBytes extra) {
  return [extra = std::move(extra)](RawConnection& connection) {
    std::string earlier;
    while (const auto request = connection.ReadMessage()) {
      if (!earlier.empty()) {
        connection.Send(extra(*request, earlier));
      }
      connection.Send(EngineResponse(*request, "own"));
      earlier = *request;
    }
  };
}

// Sends requests with these ids one after the other to a server that writes
// extra bytes before each answer but the first on a connection. Checks that all
// get their own answer, over this many connections.
void CheckOwnAnswers(const ExtraBytes& extra,
                     const std::vector<std::string>& requests,
                     int connections) {
  PlatformFixture platform(RespondAfter(extra));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  for (const std::string& request : requests) {
    CHECK(gateway.SendRequest(request).ends_with("\r\n\r\nown"));
  }
  CHECK_EQUAL(connections, platform.engine.connection_count());
}

const std::vector<std::string> kThreeRequests = {
    PlatformFixture::Request("/once/x", "r1"),
    PlatformFixture::Request("/once/x", "r2"),
    PlatformFixture::Request("/once/x", "r3")};

}  // namespace

TEST_GROUP(LateRefusals){};

// Guards against a refusal without an id, written before the answer on a kept
// connection, being taken for the answer to a request that ran.
TEST(LateRefusals, RefusalWithoutIdOnAKeptConnectionIsNotOfTheRequest) {
  for (const RefusalKind& kind : kRefusalKinds) {
    CheckOwnAnswers([&](const std::string&,
                        const std::string&) { return Refusal(kind, ""); },
                    kThreeRequests, 2);
  }
}

// Guards against an answer without an id that belongs to an earlier request
// being passed to the caller.
TEST(LateRefusals, AnswerWithoutIdOnAKeptConnectionIsNotOfTheRequest) {
  CheckOwnAnswers(
      [](const std::string&, const std::string&) {
        return std::string(
            "HTTP/1.1 200 OK\r\nRosemarycove-Server-Seal: seal\r\n"
            "Content-Length: 5\r\n\r\nother");
      },
      kThreeRequests, 2);
}

TEST(LateRefusals, RefusalOfAnEarlierRequestIsSkipped) {
  for (const RefusalKind& kind : kRefusalKinds) {
    CheckOwnAnswers(
        [&](const std::string&, const std::string& earlier) {
          return Refusal(kind, IdOf(earlier)) + Refusal(kind, IdOf(earlier));
        },
        kThreeRequests, 2);
  }
}

// A server that refuses the first request of a connection without its id is
// believed: no earlier response can exist.
TEST(LateRefusals, RefusalWithoutIdOnANewConnectionIsBelieved) {
  for (const RefusalKind& kind : kRefusalKinds) {
    PlatformFixture platform([&](RawConnection& connection) {
      if (connection.ReadMessage()) {
        connection.Send(Refusal(kind, ""));
        connection.ReadToEnd();
      }
    });
    const RunningGateway gateway("a", platform.store.address());
    gateway.AwaitReady();
    CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", "r1"))
              .starts_with("HTTP/1.1 503"));
  }
}

// Of a new connection's responses, only the first one is certainly to its
// request if it has no id.
TEST(LateRefusals, RefusalWithoutIdAfterASkippedResponseIsNotBelieved) {
  PlatformFixture platform([](RawConnection& connection) {
    if (const auto request = connection.ReadMessage()) {
      connection.Send(Refusal(kRefusalKinds.front(), "another") +
                      Refusal(kRefusalKinds.front(), "") +
                      EngineResponse(*request, "own"));
      connection.ReadToEnd();
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", "r1"))
            .ends_with("\r\n\r\nown"));
}

// What a server writes instead of an answer leaves open whether the request
// ran.
TEST(LateRefusals, RefusalWithoutIdInsteadOfAnAnswerMayMeanThatItRan) {
  PlatformFixture platform([](RawConnection& connection) {
    const auto first = connection.ReadMessage();
    connection.Send(EngineResponse(first.value_or(""), "own"));
    if (connection.ReadMessage()) {
      connection.Send(Refusal(kRefusalKinds.front(), ""));
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", "r1"))
            .ends_with("\r\n\r\nown"));
  CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", "r2"))
            .starts_with("HTTP/1.1 502"));
}

// Guards against an earlier refusal that breaks off within its head being
// joined with the answer, whose id then made it a refusal of the request.
TEST(LateRefusals, RefusalThatBreaksOffInItsHeadIsNotOfTheRequest) {
  for (const char* part :
       {"HTTP/1.1 503 Full\r\nRosemarycove-Not-Executed: 1\r\nRetry-After: 0.",
        "HTTP/1.1 421 Misdi"}) {
    PlatformFixture platform(
        RespondAfter([&](const std::string&, const std::string&) {
          return std::string(part);
        }));
    const RunningGateway gateway("a", platform.store.address());
    gateway.AwaitReady();
    CHECK(gateway.SendRequest(kThreeRequests[0]).ends_with("\r\n\r\nown"));
    CHECK(gateway.SendRequest(kThreeRequests[1]).starts_with("HTTP/1.1 502"));
  }
}

// Guards against a failure being passed on as a success, after an earlier
// success that breaks off within its head.
TEST(LateRefusals, SuccessThatBreaksOffInItsHeadDoesNotHideAFailure) {
  PlatformFixture platform([&](RawConnection& connection) {
    const auto first = connection.ReadMessage();
    connection.Send(EngineResponse(first.value_or(""), "own"));
    if (const auto second = connection.ReadMessage()) {
      connection.Send("HTTP/1.1 200 OK\r\nRosemarycove-Server-Seal: se" +
                      EngineResponse(*second, "own", "500 Failed"));
      connection.ReadToEnd();
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.SendRequest(kThreeRequests[0]).ends_with("\r\n\r\nown"));
  CHECK(gateway.SendRequest(kThreeRequests[1]).starts_with("HTTP/1.1 502"));
}

// A field may name the protocol, as Via does.
TEST(LateRefusals, FieldThatNamesTheProtocolIsNoOtherResponse) {
  PlatformFixture platform([&](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineResponse(*request, "own", "200 OK",
                                     "Via: HTTP/1.1 proxy, HTTP/1.1\r\n"));
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.SendRequest(kThreeRequests[0]).ends_with("\r\n\r\nown"));
}

// All that follows a response without length is part of it.
TEST(LateRefusals, EarlierRefusalWithoutLengthMayMeanThatTheRequestRan) {
  for (const char* id : {"", "Rosemarycove-Request-Id: r1\r\n"}) {
    PlatformFixture platform([&](RawConnection& connection) {
      const auto first = connection.ReadMessage();
      connection.Send(EngineResponse(first.value_or(""), "own"));
      if (const auto second = connection.ReadMessage()) {
        connection.Send(fmt::format("HTTP/1.1 503 Full\r\n{}{}\r\n{}", id,
                                    kNotExecuted,
                                    EngineResponse(*second, "own")));
      }
    });
    const RunningGateway gateway("a", platform.store.address());
    gateway.AwaitReady();
    CHECK(gateway.SendRequest(kThreeRequests[0]).ends_with("\r\n\r\nown"));
    CHECK(gateway.SendRequest(kThreeRequests[1]).starts_with("HTTP/1.1 502"));
  }
}

// Refusals without the field that states them promise nothing.
TEST(LateRefusals, StatusAloneDoesNotMeanThatTheRequestDidNotRun) {
  for (const char* status : {"503 Full", "429 Limit", "408 Late"}) {
    PlatformFixture platform([&](RawConnection& connection) {
      while (const auto request = connection.ReadMessage()) {
        connection.Send(EngineResponse(*request, "", status));
      }
    });
    const RunningGateway gateway("a", platform.store.address());
    gateway.AwaitReady();
    CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", "r1"))
              .starts_with("HTTP/1.1 502"));
  }
}

// Guards against a refusal that the same caller's id names, but that was the
// answer to an earlier request, being believed.
TEST(LateRefusals, RequestsWithTheSameIdDoNotShareAConnection) {
  for (const RefusalKind& kind : kRefusalKinds) {
    const std::string request = PlatformFixture::Request("/once/x", "r1");
    CheckOwnAnswers(
        [&](const std::string&, const std::string& earlier) {
          return Refusal(kind, IdOf(earlier));
        },
        {request, request, request}, 3);
  }
}

// Guards against a refusal of an earlier request being believed, and against
// the answer being waited for in vain, if neither has an id.
TEST(LateRefusals, RequestWithoutIdGetsANewConnection) {
  const std::string request =
      "POST /once/x HTTP/1.1\r\nHost: site.example\r\n"
      "Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n";
  CheckOwnAnswers(
      [](const std::string&, const std::string&) {
        return Refusal(kRefusalKinds.front(), "");
      },
      {request, request, request}, 3);
}

// The list of the ids that a connection served is bounded.
TEST(LateRefusals, ConnectionIsClosedAfterManyRequests) {
  PlatformFixture platform(RespondAfter(
      [](const std::string&, const std::string&) { return std::string(); }));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const auto caller = gateway.Connect();
  for (int i = 0; i <= 500; ++i) {
    CHECK_EQUAL(1, std::max(1, platform.engine.connection_count()));
    caller->Send(PlatformFixture::Request("/once/x", fmt::format("r{}", i)));
    CHECK(caller->ReadMessage().value_or("").ends_with("\r\n\r\nown"));
  }
  CHECK_EQUAL(2, platform.engine.connection_count());
}

TEST(LateRefusals, RefusalInOneSegmentWithAnAnswerClosesTheConnection) {
  PlatformFixture platform([](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineResponse(*request, "own") +
                      Refusal(kRefusalKinds.front(), ""));
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  for (const std::string& request : kThreeRequests) {
    CHECK(gateway.SendRequest(request).ends_with("\r\n\r\nown"));
  }
  CHECK_EQUAL(3, platform.engine.connection_count());
}

// The server writes a refusal, or half of it, while the connection is idle.
TEST(LateRefusals, RefusalOnAnIdleConnectionClosesIt) {
  const std::string refusal = Refusal(kRefusalKinds.front(), "");
  for (const std::size_t size : {refusal.size(), refusal.size() / 2}) {
    std::promise<void> is_idle;
    std::promise<void> refusal_sent;
    std::atomic<int> connections = 0;
    PlatformFixture platform([&](RawConnection& connection) {
      const bool is_first = ++connections == 1;
      while (const auto request = connection.ReadMessage()) {
        connection.Send(EngineResponse(*request, "own"));
        if (is_first) {
          is_idle.get_future().wait();
          connection.Send(refusal.substr(0, size));
          refusal_sent.set_value();
          connection.ReadToEnd();
        }
      }
    });
    const RunningGateway gateway("a", platform.store.address());
    gateway.AwaitReady();
    CHECK(gateway.SendRequest(kThreeRequests[0]).ends_with("\r\n\r\nown"));
    is_idle.set_value();
    refusal_sent.get_future().wait();
    CHECK(gateway.SendRequest(kThreeRequests[1]).ends_with("\r\n\r\nown"));
    CHECK_EQUAL(2, connections.load());
  }
}

namespace {

// Records the last response on a connection.
class ResponseRecorder : public ResponseListener {
 public:
  explicit ResponseRecorder(BackendConnection& connection)
      : connection(connection) {}

  void OnSendStarted() override {}
  HeadDecision OnHead(const ResponseHead& head) override {
    this->status = head.status;
    return HeadDecision::kAccept;
  }
  void OnBody(std::string /*bytes*/) override {
    if (this->pauses) {
      this->connection.PauseReading();
    }
  }
  void OnComplete() override {
    ++this->complete_responses;
    if (this->on_complete) {
      this->on_complete();
    }
  }
  void OnFailed(FailureKind kind, const std::string& /*reason*/) override {
    this->failure = kind;
  }

  bool pauses = false;
  int status = 0;
  int complete_responses = 0;
  std::optional<FailureKind> failure;
  std::function<void()> on_complete;

 private:
  BackendConnection& connection;
};

const std::string kRawRequest =
    "POST /x HTTP/1.1\r\nHost: site.example\r\n"
    "Rosemarycove-Request-Id: r1\r\nContent-Length: 0\r\n\r\n";

}  // namespace

// Guards against bytes that arrive right after an answer being read as the
// answer to the next request: they were taken from the socket, where
// IsReusable looks for them, before the connection was handed out.
TEST(LateRefusals, BytesThatWereReadMeanwhileMakeAConnectionUnusable) {
  std::promise<void> answer_received;
  std::promise<void> refusal_sent;
  const RawServer server([&](RawConnection& connection) {
    connection.Send(EngineResponse(connection.ReadMessage().value_or(""), "x"));
    answer_received.get_future().wait();
    connection.Send(Refusal(kRefusalKinds.front(), ""));
    refusal_sent.set_value();
    connection.ReadToEnd();
  });
  boost::asio::io_context io;
  const auto connection = std::make_shared<BackendConnection>(
      io, *ParseTcpEndpoint(server.address()));
  ResponseRecorder recorder(*connection);
  bool is_reusable = true;
  recorder.on_complete = [&] {
    answer_received.set_value();
    refusal_sent.get_future().wait();
    boost::asio::post(io, [&] {
      is_reusable = connection->IsReusable();
      connection->Abort();
    });
  };
  connection->Send(kRawRequest, false, recorder);
  io.run_for(std::chrono::seconds(5));
  CHECK_EQUAL(1, recorder.complete_responses);
  CHECK(!is_reusable);
}

// Guards against a connection being kept for other requests whose reading was
// paused for a slow caller: their answers were never read.
TEST(LateRefusals, PauseEndsWithTheResponse) {
  const RawServer server([&](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineResponse(*request, "x"));
    }
  });
  boost::asio::io_context io;
  const auto connection = std::make_shared<BackendConnection>(
      io, *ParseTcpEndpoint(server.address()));
  ResponseRecorder recorder(*connection);
  recorder.pauses = true;
  recorder.on_complete = [&] {
    if (recorder.complete_responses > 1) {
      connection->Abort();
      return;
    }
    boost::asio::post(io,
                      [&] { connection->Send(kRawRequest, false, recorder); });
  };
  connection->Send(kRawRequest, false, recorder);
  io.run_for(std::chrono::seconds(2));
  CHECK_EQUAL(2, recorder.complete_responses);
  connection->Abort();
}

// A request of which a part was written may have been executed.
TEST(LateRefusals, ResetWithinTheRequestMayMeanThatItRan) {
  constexpr std::size_t kBodyBytes = std::size_t{64} << 20U;
  const RawServer server([&](RawConnection& connection) {
    connection.ReadUntil("\r\n\r\n");
    connection.Reset();
  });
  boost::asio::io_context io;
  const auto connection = std::make_shared<BackendConnection>(
      io, *ParseTcpEndpoint(server.address()));
  ResponseRecorder recorder(*connection);
  connection->Send(
      fmt::format("POST /x HTTP/1.1\r\nHost: site.example\r\nContent-Length: {}"
                  "\r\n\r\n{}",
                  kBodyBytes, std::string(kBodyBytes, 'b')),
      false, recorder);
  io.run_for(std::chrono::seconds(5));
  CHECK(recorder.failure == FailureKind::kNoResponse);
}

// How `serve` takes refusals at the wrong time.
TEST_GROUP(ServeLateRefusals){};

namespace {

class ResultRecorder : public AttemptListener {
 public:
  void OnProgress(const AttemptProgress& /*progress*/) override {}
  void OnEnded(const AttemptEnded& ended) override {
    this->results.emplace_back(ToString(ended.result));
  }

  std::vector<std::string> results;
};

std::string ServeResponse(const std::string& status, const std::string& id,
                          const std::string& fields) {
  return fmt::format("HTTP/1.1 {}\r\n{}{}Content-Length: 3\r\n\r\nown", status,
                     id.empty() ? "" : "X-Request-Id: " + id + "\r\n", fields);
}

const std::string kServeNotExecuted = "X-Ran: no\r\n";

// What is written after the request that has this number on its connection.
using ServeAnswers = std::function<std::string(
    int number, const std::string& request_id, const std::string& earlier_id)>;

struct ServeRun {
  std::vector<std::string> results;
  int connections = 0;
};

// Runs this many attempts, one after the other.
ServeRun RunAttempts(int count, bool repeatable, const ServeAnswers& answers) {
  const RawServer server([&](RawConnection& connection) {
    std::string earlier_id;
    int number = 0;
    while (const auto request = connection.ReadMessage()) {
      const std::string id = HeaderValue(*request, "X-Request-Id");
      connection.Send(answers(++number, id, earlier_id));
      earlier_id = id;
    }
  });
  ClientPool clients({.stall_timeout = std::chrono::seconds(2)});
  ResultRecorder recorder;
  AttemptRunner runner(clients, recorder, "p");
  for (int i = 1; i <= count; ++i) {
    const auto id = static_cast<RequestId>(i);
    PendingRequest pending(id, {.path = "/orders",
                                .content_type = "text/plain",
                                .repeatable = repeatable,
                                .is_model = false});
    runner.Run(pending, {.id = id, .attempt = 1, .address = server.address()});
  }
  return {.results = recorder.results,
          .connections = server.connection_count()};
}

std::string Name(AttemptResult result) { return std::string(ToString(result)); }

}  // namespace

// On a kept connection, a refusal of an earlier request, or of none, doesn't
// mean that the request was not executed, and the connection isn't used again.
TEST(ServeLateRefusals, EarlierRefusalOnAKeptConnectionIsOfAnotherRequest) {
  for (const bool has_id : {false, true}) {
    const ServeRun run = RunAttempts(
        3, true,
        [&](int number, const std::string& id, const std::string& earlier_id) {
          const std::string own = ServeResponse("200 OK", id, "");
          return number == 1
                     ? own
                     : ServeResponse("503 Full", has_id ? earlier_id : "",
                                     kServeNotExecuted) +
                           own;
        });
    CHECK((run.results == std::vector{Name(AttemptResult::kCompleted),
                                      Name(AttemptResult::kWrongId),
                                      Name(AttemptResult::kCompleted)}));
    CHECK_EQUAL(2, run.connections);
  }
}

// The HTTP client may drop bytes that it reads together with an answer, so the
// next request may get its own answer or the earlier refusal.
TEST(ServeLateRefusals, RefusalAfterAnAnswerIsNotOfTheNextRequest) {
  const ServeRun run = RunAttempts(
      2, true,
      [](int number, const std::string& id, const std::string& /*earlier*/) {
        const std::string own = ServeResponse("200 OK", id, "");
        return number == 1
                   ? own + ServeResponse("503 Full", id, kServeNotExecuted)
                   : own;
      });
  STRCMP_EQUAL(Name(AttemptResult::kCompleted).c_str(),
               run.results.at(0).c_str());
  CHECK(run.results.at(1) == Name(AttemptResult::kCompleted) ||
        run.results.at(1) == Name(AttemptResult::kWrongId));
}

// No earlier response can exist on a new connection.
TEST(ServeLateRefusals, RequestThatMustNotRunTwiceGetsANewConnection) {
  const ServeRun run =
      RunAttempts(3, false,
                  [](int /*number*/, const std::string& id,
                     const std::string& /*earlier*/) {
                    return ServeResponse("200 OK", id, "") +
                           ServeResponse("503 Full", id, kServeNotExecuted);
                  });
  CHECK((run.results == std::vector(3, Name(AttemptResult::kCompleted))));
  CHECK_EQUAL(3, run.connections);
}

TEST(ServeLateRefusals, OnlyAStatedRefusalOfTheRequestMeansThatItDidNotRun) {
  for (const char* status : {"503 Full", "429 Limit"}) {
    for (const bool repeatable : {false, true}) {
      const auto result_of = [&](bool has_id, const std::string& fields) {
        return RunAttempts(1, repeatable,
                           [&](int, const std::string& id, const std::string&) {
                             return ServeResponse(status, has_id ? id : "",
                                                  fields);
                           })
            .results.at(0);
      };
      STRCMP_EQUAL(Name(AttemptResult::kNotExecuted).c_str(),
                   result_of(true, kServeNotExecuted).c_str());
      STRCMP_EQUAL(Name(AttemptResult::kAnsweredError).c_str(),
                   result_of(true, "").c_str());
      STRCMP_EQUAL(Name(AttemptResult::kWrongId).c_str(),
                   result_of(false, kServeNotExecuted).c_str());
    }
  }
}
