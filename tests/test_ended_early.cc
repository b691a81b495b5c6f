// Tests of requests that end early beside a silence, a configuration or a
// shutdown.
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

// Longer than the silence after which the gateway seeks another server, for the
// targets below.
constexpr milliseconds kSilence(2000);

constexpr char kConfiguration[] =
    R"({{"version":{},"routes":[)"
    R"({{"name":"stream","hostname":"site.example","path_prefix":"/stream/",)"
    R"("type":"streaming","timeout_ms":5000,"slo_ms":200,"priority":1,)"
    R"("service":"model","attempts":2,"public":false,"resumable":true,)"
    R"("gap_target_ms":200}},)"
    R"({{"name":"again","hostname":"site.example","path_prefix":"/again/",)"
    R"("type":"safe","timeout_ms":5000,"slo_ms":100,"priority":2,)"
    R"("service":"stock","attempts":2,"public":false}}],"services":[)"
    R"({{"name":"model","max_conns":64,"engine":{{"slots":8,)"
    R"("kv_tokens":100000,"stride":4}}}},{{"name":"stock","max_conns":64}}],)"
    R"("limits":{{"max_header_bytes":4096,"max_body_bytes":65536,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":{}}},)"
    R"("tenants":[{{"name":"customer-1","api_keys":["key-1"]}}]}})";
constexpr int kIdleTimeout = 15000;

std::string Refusal(const std::string& request) {
  return EngineResponse(request, "full", "503 Service Unavailable",
                        "Rosemarycove-Not-Executed: 1\r\n");
}

// A gateway with two servers for each service. The first request is handled by
// `first`; the other server rejects the request as not executed.
class TwoServers {
 public:
  using Handler = std::function<void(RawConnection&, const std::string&)>;

  explicit TwoServers(Handler first)
      : first(std::move(first)), platform([this](RawConnection& connection) {
          while (const auto request = connection.ReadMessage()) {
            if (this->request_count++ == 0) {
              this->first(connection, *request);
            } else {
              connection.Send(Refusal(*request));
            }
          }
        }) {
    this->platform.AddServer("engine-2", "model",
                             this->platform.engine.address());
    this->platform.AddServer("stock-2", "stock",
                             this->platform.engine.address());
    this->platform.store.Put("op/config",
                             fmt::format(kConfiguration, 2, kIdleTimeout));
    this->gateway =
        std::make_unique<RunningGateway>("a", this->platform.store.address());
    this->gateway->AwaitReady();
  }

  Handler first;
  std::atomic<int> request_count = 0;
  PlatformFixture platform;
  std::unique_ptr<RunningGateway> gateway;
};

}  // namespace

TEST_GROUP(EndedEarly){};

// Guards against a request that is taken from a silent server, which goes on,
// and then ends since the other server rejects it.
TEST(EndedEarly, SilentServerIsAwaitedIfTheOtherOneRejects) {
  const TwoServers servers(
      [](RawConnection& connection, const std::string& request) {
        std::this_thread::sleep_for(kSilence);
        connection.Send(EngineResponse(request, "late"));
      });
  const std::string response =
      servers.gateway->SendRequest(PlatformFixture::Request("/again/x", "r1"));
  STRCMP_EQUAL("HTTP/1.1 200 OK",
               response.substr(0, response.find("\r\n")).c_str());
}

// Guards against the same with a stream, which is then broken off.
TEST(EndedEarly, StreamGoesOnAfterASilenceIfTheOtherServerRejects) {
  const TwoServers servers([](RawConnection& connection,
                              const std::string& request) {
    connection.Send(StreamResponseHead(request) + Chunk("id: 1\ndata: a\n\n"));
    std::this_thread::sleep_for(kSilence);
    connection.Send(Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  });
  const auto caller = servers.gateway->Connect();
  caller->Send(PlatformFixture::Request("/stream/x", "r1"));
  CHECK(caller->ReadUntil("0\r\n\r\n").ends_with("0\r\n\r\n"));
}

// Guards against a response that is cut off by a configuration with a shorter
// idle timeout, which was written after the request.
TEST(EndedEarly, ConfigurationDoesNotCutOffAResponseThatIsReadSlowly) {
  // More than the system buffers for a connection.
  constexpr std::size_t kBodyBytes = std::size_t{32} << 20U;
  constexpr milliseconds kPause(1500);
  PlatformFixture platform([](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineResponse(*request, std::string(kBodyBytes, 'x')));
    }
  });
  platform.store.Put("op/config", fmt::format(kConfiguration, 2, kIdleTimeout));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const auto caller = gateway.Connect();
  caller->Send(
      PlatformFixture::Request("/again/x", "r1", "Connection: close\r\n"));
  CHECK(!caller->ReadUntil("\r\n\r\n").empty());
  std::this_thread::sleep_for(milliseconds(200));
  platform.store.Put("op/config", fmt::format(kConfiguration, 3, 500));
  std::this_thread::sleep_for(kPause);
  LONGS_EQUAL(kBodyBytes, caller->ReadToEnd().size());
}

// Guards against a request that crosses the close of an idle connection and is
// read and dropped: its caller can't know that it has not been read.
TEST(EndedEarly, RequestThatCrossesTheCloseOfAnIdleConnectionIsNotRead) {
  PlatformFixture platform([](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineResponse(*request, "finished"));
    }
  });
  RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const auto kept = gateway.Connect();
  kept->Send(PlatformFixture::Request("/once/x", "r1"));
  CHECK(kept->ReadMessage().has_value());
  gateway.RunOnEventLoop(
      [](Gateway& running_gateway) { running_gateway.StartDrain(); });
  // The end of the connection.
  STRCMP_EQUAL("", kept->ReadToEnd().c_str());
  kept->Send(PlatformFixture::Request("/once/x", "r2"));
  // Time for the system to reset the connection.
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(!kept->Send("x"));
}
