// Tests of requests whose server falls silent for a while and goes on.
#include <chrono>
#include <thread>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

// Longer than any silence after which the gateway seeks another server, for
// the targets below.
constexpr std::chrono::milliseconds kSilence(1400);

// The fixture's stream route, and a repeatable route with a short target.
constexpr char kConfiguration[] =
    R"({"version":2,"routes":[)"
    R"({"name":"stream","hostname":"site.example","path_prefix":"/stream/",)"
    R"("type":"streaming","timeout_ms":5000,"slo_ms":500,"priority":1,)"
    R"("service":"model","attempts":2,"public":false,"resumable":true,)"
    R"("gap_target_ms":200},)"
    R"({"name":"again","hostname":"site.example","path_prefix":"/again/",)"
    R"("type":"safe","timeout_ms":5000,"slo_ms":100,"priority":2,)"
    R"("service":"stock","attempts":2,"public":false}],"services":[)"
    R"({"name":"model","max_conns":64,"engine":{"slots":8,)"
    R"("kv_tokens":100000,"stride":4}},{"name":"stock","max_conns":64}],)"
    R"("limits":{"max_header_bytes":4096,"max_body_bytes":65536,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"customer-1","api_keys":["key-1"]}]})";

// A gateway with one server for each service.
class Silence {
 public:
  explicit Silence(RawServer::Handler server) : platform(std::move(server)) {
    this->platform.store.Put("op/config", kConfiguration);
    this->gateway =
        std::make_unique<RunningGateway>("a", this->platform.store.address());
    this->gateway->AwaitReady();
  }

  PlatformFixture platform;
  std::unique_ptr<RunningGateway> gateway;
};

}  // namespace

TEST_GROUP(SilentServers){};

// Guards against a request that is ended because its server is silent, although
// no other server can take it.
TEST(SilentServers, AnswerIsAwaitedIfThereIsNoOtherServer) {
  const Silence silence([](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      std::this_thread::sleep_for(kSilence);
      connection.Send(EngineResponse(*request, "late"));
    }
  });
  const std::string response =
      silence.gateway->SendRequest(PlatformFixture::Request("/again/x", "r1"));
  CHECK(response.starts_with("HTTP/1.1 200 OK"));
  CHECK(response.ends_with("late"));
}

// Guards against a stream that is broken off because its server pauses,
// although no other server can resume it.
TEST(SilentServers, StreamGoesOnIfThereIsNoOtherServer) {
  const Silence silence([](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(StreamResponseHead(*request) +
                      Chunk("id: 1\ndata: a\n\n"));
      std::this_thread::sleep_for(kSilence);
      connection.Send(Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    }
  });
  const auto caller = silence.gateway->Connect();
  caller->Send(PlatformFixture::Request("/stream/x", "r1"));
  const std::string response = caller->ReadUntil("0\r\n\r\n");
  CHECK(response.find("data: b") != std::string::npos);
  CHECK(response.ends_with("0\r\n\r\n"));
}

// Guards against a body that is broken off because its server pauses, although
// the request can't be repeated once a part was forwarded.
TEST(SilentServers, BodyThatIsForwardedGoesOn) {
  constexpr std::size_t kHalf = 100000;
  const Silence silence([](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      const std::string response =
          EngineResponse(*request, std::string(2 * kHalf, 'x'));
      connection.Send(response.substr(0, response.size() - kHalf));
      std::this_thread::sleep_for(kSilence);
      connection.Send(response.substr(response.size() - kHalf));
    }
  });
  const std::string response =
      silence.gateway->SendRequest(PlatformFixture::Request("/again/x", "r1"));
  CHECK(response.starts_with("HTTP/1.1 200 OK"));
  CHECK(response.size() > 2 * kHalf);
}
