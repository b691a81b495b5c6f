// Tests of the gateway's queue over sockets: which requests wait for capacity,
// and which ones are placed while others wait.
#include <fmt/format.h>

#include <atomic>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

constexpr int kSlotsPerEngine = 8;  // As PlatformFixture::AddServer registers.

// Streams of one model service with four engines. The customer of "key-0" has
// tier 0, that of "key-1" tier 1. Routes:
//   /short/   short target, sensitive to pauses
//   /steady/  long target, sensitive to pauses
//   /long/    long target, tolerates pauses
constexpr char kConfiguration[] =
    R"({"version":2,"routes":[)"
    R"({"name":"short","hostname":"site.example","path_prefix":"/short/",)"
    R"("type":"streaming","timeout_ms":20000,"slo_ms":500,"priority":0,)"
    R"("service":"model","attempts":1,"public":false,"gap_target_ms":200},)"
    R"({"name":"steady","hostname":"site.example","path_prefix":"/steady/",)"
    R"("type":"streaming","timeout_ms":20000,"slo_ms":16000,"priority":1,)"
    R"("service":"model","attempts":1,"public":false,"gap_target_ms":200},)"
    R"({"name":"long","hostname":"site.example","path_prefix":"/long/",)"
    R"("type":"streaming","timeout_ms":20000,"slo_ms":10000,"priority":2,)"
    R"("service":"model","attempts":1,"public":false,"gap_target_ms":800}],)"
    R"("services":[{"name":"model","max_conns":64,"engine":{"slots":8,)"
    R"("kv_tokens":100000,"stride":4}}],)"
    R"("limits":{"max_header_bytes":4096,"max_body_bytes":65536,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[)"
    R"({"name":"first","priority":0,"api_keys":["key-0"]},)"
    R"({"name":"second","priority":1,"api_keys":["key-1"]}]})";

std::string StreamRequest(const std::string& path, const std::string& id,
                          const std::string& key, int prompt_tokens,
                          const std::string& parts) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: site.example\r\n"
      "Rosemarycove-Request-Id: {}\r\nAuthorization: Token {}\r\n"
      "Rosemarycove-Deadline-Ms: 20000\r\n"
      "Rosemarycove-Token-Count: {},100\r\n"
      "Rosemarycove-Prefix-Hash: {}\r\nContent-Length: 0\r\n\r\n",
      path, id, key, prompt_tokens, parts);
}

// Engines that keep requests running whose path ends in "hold", and complete
// all others at once.
class HeldEngines {
 public:
  HeldEngines() : platform(Handler()) {
    for (int i = 2; i <= 4; ++i) {
      this->platform.AddServer("engine-" + std::to_string(i), "model",
                               this->platform.engine.address());
    }
    this->platform.store.Put("op/config", kConfiguration);
    this->gateway =
        std::make_unique<RunningGateway>("a", this->platform.store.address());
    this->gateway->AwaitReady();
  }

  // Sends a request that keeps running; returns whether it was placed.
  bool Hold(const std::string& request) {
    this->held.push_back(this->gateway->Connect());
    this->held.back()->Send(request);
    return this->held.back()->ReadUntil("data: a").starts_with(
        "HTTP/1.1 200 OK");
  }
  // Sends a request and returns once it waits for capacity.
  bool SendAndAwaitQueued(const std::string& request) {
    this->held.push_back(this->gateway->Connect());
    this->held.back()->Send(request);
    constexpr int kMaxTries = 20000;
    for (int i = 0; i < kMaxTries; ++i) {
      if (this->gateway->GetStatusPage("/metrics")
              .find("\nrosemarycove_waiting 1\n") != std::string::npos) {
        return true;
      }
    }
    return false;
  }
  // Returns the status line of the response to a request that does not keep
  // running.
  std::string StatusOf(const std::string& request) {
    const auto connection = this->gateway->Connect();
    connection->Send(request);
    return connection->ReadUntil("\r\n");
  }

 private:
  static RawServer::Handler Handler() {
    return [](RawConnection& connection) {
      while (const auto request = connection.ReadMessage()) {
        const std::string head = request->substr(0, request->find("\r\n"));
        connection.Send(StreamResponseHead(*request) +
                        Chunk("id: 1\ndata: a\n\n"));
        if (head.find("/hold ") != std::string::npos) {
          connection.ReadToEnd();
          return;
        }
        connection.Send("0\r\n\r\n");
      }
    };
  }

  PlatformFixture platform;
  std::unique_ptr<RunningGateway> gateway;
  std::vector<std::unique_ptr<RawConnection>> held;
};

}  // namespace

TEST_GROUP(GatewayQueue){};

// Guards against a process that aborts at its end, when the event loop drops
// the connections of requests that are still open.
TEST(GatewayQueue, EndsWithWaitingAndRunningRequests) {
  HeldEngines engines;
  constexpr int kLongPromptTokens = 30000;
  constexpr int kPlaced = 8;
  for (int i = 0; i < kPlaced; ++i) {
    CHECK(engines.Hold(StreamRequest("/long/hold", "l" + std::to_string(i),
                                     "key-0", kLongPromptTokens, "")));
  }
  CHECK(engines.SendAndAwaitQueued(
      StreamRequest("/long/hold", "waiting", "key-0", kLongPromptTokens, "")));
}

// Guards against a queue in which a long request that waits for the reserved
// engines makes the instance refuse shorter ones that don't use these.
TEST(GatewayQueue, WaitingLongRequestDoesNotHoldBackShortOnes) {
  HeldEngines engines;
  // Two of these fill the part of an engine's KV cache that they may use.
  constexpr int kLongPromptTokens = 30000;
  constexpr int kEngines = 4;
  for (int i = 0; i < 2 * kEngines; ++i) {
    CHECK(engines.Hold(StreamRequest("/long/hold", "l" + std::to_string(i),
                                     "key-0", kLongPromptTokens, "")));
  }
  CHECK(engines.SendAndAwaitQueued(
      StreamRequest("/long/hold", "waiting", "key-0", kLongPromptTokens, "")));
  STRCMP_EQUAL(
      "HTTP/1.1 200 OK\r\n",
      engines.StatusOf(StreamRequest("/short/x", "s", "key-1", 500, ""))
          .c_str());
}

// Guards against a queue in which a request that waits for its affinity server,
// although others have capacity, makes the instance refuse less urgent ones.
TEST(GatewayQueue, RequestThatAwaitsItsAffinityServerHoldsBackNobody) {
  HeldEngines engines;
  const std::string parts = "a1:800,b1:200";
  for (int i = 0; i < kSlotsPerEngine; ++i) {
    CHECK(engines.Hold(StreamRequest("/steady/hold", "h" + std::to_string(i),
                                     "key-0", 1000, parts)));
  }
  CHECK(engines.SendAndAwaitQueued(
      StreamRequest("/steady/hold", "waiting", "key-0", 1000, parts)));
  STRCMP_EQUAL(
      "HTTP/1.1 200 OK\r\n",
      engines.StatusOf(StreamRequest("/short/x", "s1", "key-1", 1000, ""))
          .c_str());
  // The same for a request that would wait for the affinity server itself.
  STRCMP_EQUAL(
      "HTTP/1.1 200 OK\r\n",
      engines.StatusOf(StreamRequest("/short/x", "s2", "key-1", 1000, parts))
          .c_str());
}
