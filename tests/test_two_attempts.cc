// Tests of requests that are sent to a second server while the first one is
// silent: the first response under way ends only once the other one has begun.
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

using std::chrono::milliseconds;

// Longer than the silence after which the gateway uses another server, for the
// targets below, and so short that callers still wait.
constexpr milliseconds kSilence(1400);

constexpr char kConfiguration[] =
    R"({"version":2,"routes":[)"
    R"({"name":"stream","hostname":"site.example","path_prefix":"/stream/",)"
    R"("type":"streaming","timeout_ms":5000,"slo_ms":200,"priority":1,)"
    R"("service":"model","attempts":2,"public":false,"resumable":true,)"
    R"("gap_target_ms":200},)"
    R"({"name":"once","hostname":"site.example","path_prefix":"/once/",)"
    R"("type":"unsafe","timeout_ms":5000,"slo_ms":100,"priority":2,)"
    R"("service":"orders","attempts":1,"public":false},)"
    R"({"name":"again","hostname":"site.example","path_prefix":"/again/",)"
    R"("type":"safe","timeout_ms":5000,"slo_ms":100,"priority":2,)"
    R"("service":"stock","attempts":2,"public":false}],"services":[)"
    R"({"name":"model","max_conns":64,"engine":{"slots":8,)"
    R"("kv_tokens":100000,"stride":4}},{"name":"orders","max_conns":64},)"
    R"({"name":"stock","max_conns":64}],)"
    R"("limits":{"max_header_bytes":4096,"max_body_bytes":65536,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"customer-1","api_keys":["key-1"]}]})";

std::string Event(int id, const std::string& server) {
  return Chunk(fmt::format("id: {}\ndata: {}\n\n", id, server));
}

constexpr char kEnd[] = "0\r\n\r\n";

// A gateway with two servers for each service. The first request is handled by
// `first`, the others by `second`.
class TwoServers {
 public:
  using Handler = std::function<void(RawConnection&, const std::string&)>;

  TwoServers(Handler first, Handler second)
      : first(std::move(first)),
        second(std::move(second)),
        platform([this](RawConnection& connection) {
          while (const auto request = connection.ReadMessage()) {
            (this->request_count++ == 0 ? this->first : this->second)(
                connection, *request);
          }
          ++this->closed_count;
        }) {
    for (const std::string service : {"model", "orders", "stock"}) {
      this->platform.AddServer(service + "-2", service,
                               this->platform.engine.address());
    }
    this->platform.store.Put("op/config", kConfiguration);
    this->gateway =
        std::make_unique<RunningGateway>("a", this->platform.store.address());
    this->gateway->AwaitReady();
  }

  // Returns the body of the stream, with all that the caller gets.
  std::string ReadStream() const {
    const auto caller = this->gateway->Connect();
    caller->Send(PlatformFixture::Request("/stream/x", "r1"));
    return caller->ReadUntil(kEnd);
  }

  Handler first;
  Handler second;
  std::atomic<int> request_count = 0;
  // Connections whose other end was closed.
  std::atomic<int> closed_count = 0;
  PlatformFixture platform;
  std::unique_ptr<RunningGateway> gateway;
};

// A stream that is silent after its first event.
void PausingStream(RawConnection& connection, const std::string& request) {
  connection.Send(StreamResponseHead(request) + Event(1, "first"));
  std::this_thread::sleep_for(kSilence);
  connection.Send(Event(2, "first") + kEnd);
}

// A stream that is silent before its head.
void LateStream(RawConnection& connection, const std::string& request) {
  std::this_thread::sleep_for(kSilence);
  connection.Send(StreamResponseHead(request) + Event(1, "first") +
                  Event(2, "first") + kEnd);
}

// Says nothing until the connection is closed.
void Mute(RawConnection& connection, const std::string& /*request*/) {
  connection.ReadToEnd();
}

// Accepts the request and says nothing more.
void OnlyHead(RawConnection& connection, const std::string& request) {
  connection.Send(StreamResponseHead(request));
  connection.ReadToEnd();
}

// Returns the content of the chunks; "broken" if their last one is missing.
std::string JoinChunks(std::string chunks) {
  std::string content;
  while (true) {
    const std::size_t line = chunks.find("\r\n");
    if (line == std::string::npos || line == 0) {
      return "broken";
    }
    const std::size_t size = std::stoul(chunks.substr(0, line), nullptr, 16);
    if (size == 0) {
      return content;
    }
    content += chunks.substr(line + 2, size);
    chunks.erase(0, line + 2 + size + 2);
  }
}

void CheckEvents(const std::string& response, const std::string& events) {
  STRCMP_EQUAL("HTTP/1.1 200 OK",
               response.substr(0, response.find("\r\n")).c_str());
  // The chunks may be others than the server's.
  STRCMP_EQUAL(
      JoinChunks(events + kEnd).c_str(),
      JoinChunks(response.substr(response.find("\r\n\r\n") + 4)).c_str());
}

const std::string kFirstServersEvents = Event(1, "first") + Event(2, "first");

}  // namespace

TEST_GROUP(TwoAttempts){};

// Guards against a stream that is broken off since the second server resets.
TEST(TwoAttempts, StreamGoesOnIfTheOtherServerResets) {
  const TwoServers servers(PausingStream, [](RawConnection& connection,
                                             const std::string& /*request*/) {
    connection.Reset();
  });
  CheckEvents(servers.ReadStream(), kFirstServersEvents);
}

// Guards against a stream that is given up for one that was only accepted.
TEST(TwoAttempts, StreamGoesOnIfTheOtherServerSendsOnlyAHead) {
  const TwoServers servers(PausingStream, OnlyHead);
  CheckEvents(servers.ReadStream(), kFirstServersEvents);
  LONGS_EQUAL(2, servers.request_count);
}

TEST(TwoAttempts, StreamGoesOnIfTheOtherServerIsSilentToo) {
  const TwoServers servers(PausingStream, Mute);
  CheckEvents(servers.ReadStream(), kFirstServersEvents);
  LONGS_EQUAL(2, servers.request_count);
}

// Guards against the head of one server before the events of the other.
TEST(TwoAttempts, HeadOfTheOtherServerIsNotForwardedBeforeItsFirstEvent) {
  const TwoServers servers(
      LateStream, [](RawConnection& connection, const std::string& request) {
        std::string head = StreamResponseHead(request);
        head.insert(head.size() - 2, "X-Other: 1\r\n");
        connection.Send(head);
        connection.ReadToEnd();
      });
  const std::string response = servers.ReadStream();
  CheckEvents(response, kFirstServersEvents);
  CHECK(response.find("X-Other") == std::string::npos);
}

// Guards against an attempt that goes on at a server although its response is
// not needed.
TEST(TwoAttempts, OtherServersConnectionIsClosedWhenTheFirstGoesOn) {
  const TwoServers servers(
      [](RawConnection& connection, const std::string& request) {
        PausingStream(connection, request);
      },
      OnlyHead);
  CheckEvents(servers.ReadStream(), kFirstServersEvents);
  for (int i = 0; i < 200 && servers.closed_count == 0; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  LONGS_EQUAL(1, servers.closed_count);
}

// Guards against a connection that is kept for an exchange that has ended: the
// silent response ends without further bytes of its body.
TEST(TwoAttempts, ConnectionIsUsedAgainAfterAResponseThatEndsInSilence) {
  const TwoServers servers(
      [](RawConnection& connection, const std::string& request) {
        connection.Send(StreamResponseHead(request) + Event(1, "first"));
        std::this_thread::sleep_for(kSilence);
        connection.Send(kEnd);
      },
      [&](RawConnection& connection, const std::string& request) {
        // The second one beside the silent one, and the one after it.
        if (HeaderValue(request, "Rosemarycove-Request-Id") == "r1") {
          connection.ReadToEnd();
        } else {
          connection.Send(StreamResponseHead(request) + Event(1, "again") +
                          kEnd);
        }
      });
  CheckEvents(servers.ReadStream(), Event(1, "first"));
  const int connections = servers.platform.engine.connection_count();
  for (int i = 0; i < 8; ++i) {
    const auto caller = servers.gateway->Connect();
    caller->Send(
        PlatformFixture::Request("/stream/x", "again-" + std::to_string(i)));
    CheckEvents(caller->ReadUntil(kEnd), Event(1, "again"));
  }
  // One more for the server that has no open connection.
  CHECK(servers.platform.engine.connection_count() <= connections + 1);
}

// Guards against events that come twice or from two servers in turn, and
// against a silent server that works on.
TEST(TwoAttempts, OtherServersEventsReplaceTheSilentStream) {
  std::atomic<bool> first_closed = false;
  const TwoServers servers(
      [&](RawConnection& connection, const std::string& request) {
        connection.Send(StreamResponseHead(request) + Event(1, "first"));
        connection.ReadToEnd();
        first_closed = true;
      },
      [&](RawConnection& connection, const std::string& request) {
        CHECK(HeaderValue(request, "Last-Event-Id") == "1");
        connection.Send(StreamResponseHead(request) + Event(2, "second"));
        for (int i = 0; i < 80 && !first_closed; ++i) {
          std::this_thread::sleep_for(milliseconds(5));
        }
        connection.Send(Event(3, "second") + kEnd);
      });
  CheckEvents(servers.ReadStream(),
              Event(1, "first") + Event(2, "second") + Event(3, "second"));
  CHECK(first_closed);
}

// Guards against a request that ends with the silent attempt, while the other
// one is under way.
TEST(TwoAttempts, OtherServerGoesOnIfTheSilentOneEndsItsConnection) {
  const TwoServers servers(
      [](RawConnection& connection, const std::string& request) {
        connection.Send(StreamResponseHead(request) + Event(1, "first"));
        std::this_thread::sleep_for(milliseconds(1000));
        connection.Reset();
      },
      [](RawConnection& connection, const std::string& request) {
        std::this_thread::sleep_for(milliseconds(500));
        connection.Send(StreamResponseHead(request) + Event(2, "second") +
                        kEnd);
      });
  CheckEvents(servers.ReadStream(), Event(1, "first") + Event(2, "second"));
}

// The same if the silent server says that it did not run the request.
TEST(TwoAttempts, OtherServerGoesOnIfTheSilentOneRejects) {
  const TwoServers servers(
      [](RawConnection& connection, const std::string& request) {
        std::this_thread::sleep_for(milliseconds(1000));
        connection.Send(EngineResponse(request, "full",
                                       "503 Service Unavailable",
                                       "Rosemarycove-Not-Executed: 1\r\n"));
      },
      [](RawConnection& connection, const std::string& request) {
        std::this_thread::sleep_for(milliseconds(500));
        connection.Send(EngineResponse(request, "second"));
      });
  const std::string response =
      servers.gateway->SendRequest(PlatformFixture::Request("/again/x", "r1"));
  CHECK(response.ends_with("second"));
}

// Guards against a complete answer that waits for a silent one.
TEST(TwoAttempts, FirstCompleteResponseIsForwarded) {
  const TwoServers servers(
      Mute, [](RawConnection& connection, const std::string& request) {
        connection.Send(EngineResponse(request, "second"));
      });
  const std::string response =
      servers.gateway->SendRequest(PlatformFixture::Request("/again/x", "r1"));
  CHECK(response.ends_with("second"));
}

// Guards against an error of the other server in place of the answer.
TEST(TwoAttempts, ErrorOfTheOtherServerIsNotForwarded) {
  const TwoServers servers(
      [](RawConnection& connection, const std::string& request) {
        std::this_thread::sleep_for(kSilence);
        connection.Send(EngineResponse(request, "late"));
      },
      [](RawConnection& connection, const std::string& request) {
        connection.Send(
            EngineResponse(request, "error", "500 Internal Server Error"));
      });
  const std::string response =
      servers.gateway->SendRequest(PlatformFixture::Request("/again/x", "r1"));
  CHECK(response.ends_with("late"));
}

// Guards against a second run of what must not run twice.
TEST(TwoAttempts, RequestThatMustNotRunTwiceIsAwaited) {
  const TwoServers servers(
      [](RawConnection& connection, const std::string& request) {
        std::this_thread::sleep_for(kSilence);
        connection.Send(EngineResponse(request, "late"));
      },
      Mute);
  const std::string response =
      servers.gateway->SendRequest(PlatformFixture::Request("/once/x", "r1"));
  CHECK(response.ends_with("late"));
  LONGS_EQUAL(1, servers.request_count);
}

// Guards against attempts that go on after the caller has left.
TEST(TwoAttempts, BothConnectionsAreClosedWhenTheCallerLeaves) {
  const TwoServers servers(OnlyHead, OnlyHead);
  const auto caller = servers.gateway->Connect();
  caller->Send(PlatformFixture::Request("/stream/x", "r1"));
  for (int i = 0; i < 400 && servers.request_count < 2; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  LONGS_EQUAL(2, servers.request_count);
  caller->Close();
  for (int i = 0; i < 200 && servers.closed_count < 2; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  LONGS_EQUAL(2, servers.closed_count);
}

// Guards against streams that are cut at the end of an orderly stop, since they
// were moved to a server where they take longer.
TEST(TwoAttempts, StreamStaysInADrainWhileItsCallerWaits) {
  TwoServers servers(PausingStream, OnlyHead);
  const auto caller = servers.gateway->Connect();
  caller->Send(PlatformFixture::Request("/stream/x", "r1"));
  CHECK(!caller->ReadUntil("data: first").empty());
  servers.gateway->RunOnEventLoop(
      [](Gateway& running_gateway) { running_gateway.StartDrain(); });
  CHECK(caller->ReadUntil(kEnd).ends_with(kEnd));
  LONGS_EQUAL(1, servers.request_count);
}

// Guards against callers that leave, since a dead server is awaited in a drain.
TEST(TwoAttempts, StreamMovesInADrainBeforeItsCallerLeaves) {
  TwoServers servers(
      [](RawConnection& connection, const std::string& request) {
        connection.Send(StreamResponseHead(request) + Event(1, "first"));
        connection.ReadToEnd();
      },
      [](RawConnection& connection, const std::string& request) {
        connection.Send(StreamResponseHead(request) + Event(2, "second") +
                        kEnd);
      });
  const auto caller = servers.gateway->Connect();
  caller->Send(PlatformFixture::Request("/stream/x", "r1"));
  CHECK(!caller->ReadUntil("data: first").empty());
  const auto silent_since = std::chrono::steady_clock::now();
  servers.gateway->RunOnEventLoop(
      [](Gateway& running_gateway) { running_gateway.StartDrain(); });
  CHECK(caller->ReadUntil(kEnd).ends_with(kEnd));
  CHECK(std::chrono::steady_clock::now() - silent_since <
        std::chrono::seconds(2));
}
