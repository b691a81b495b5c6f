// Tests of requests that reach a gateway while it shuts down: those that would
// not end within the rest of the shutdown grace are refused as not executed.
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// How long the servers take for a request.
constexpr milliseconds kServerTime(700);
// A grace, whose last 500 ms are reserved for the exit, and a time after its
// start at which the rest is too short for a request.
constexpr milliseconds kGrace(1500);
constexpr milliseconds kTooLate(600);
// A request of this size fills most of a server's KV cache.
constexpr char kLargePrompt[] = "Rosemarycove-Token-Count: 60000,100\r\n";

// As the fixture's routes, with targets that allow requests to wait.
constexpr char kConfiguration[] =
    R"({"version":2,"routes":[)"
    R"({"name":"stream","hostname":"site.example","path_prefix":"/stream/",)"
    R"("type":"streaming","timeout_ms":20000,"slo_ms":16000,"priority":1,)"
    R"("service":"model","attempts":2,"public":false,"resumable":true,)"
    R"("gap_target_ms":5000},)"
    R"({"name":"once","hostname":"site.example","path_prefix":"/once/",)"
    R"("type":"unsafe","timeout_ms":20000,"slo_ms":5000,"priority":2,)"
    R"("service":"orders","attempts":2,"public":false},)"
    R"({"name":"again","hostname":"site.example","path_prefix":"/again/",)"
    R"("type":"safe","timeout_ms":20000,"slo_ms":5000,"priority":2,)"
    R"("service":"stock","attempts":2,"public":false}],"services":[)"
    R"({"name":"model","max_conns":64,"engine":{"slots":8,)"
    R"("kv_tokens":100000,"stride":4}},)"
    R"({"name":"orders","max_conns":64},{"name":"stock","max_conns":64}],)"
    R"("limits":{"max_header_bytes":4096,"max_body_bytes":65536,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"customer-1","api_keys":["key-1"]}]})";

// Servers that take kServerTime for each request. A path that ends in
// "/rejected" is rejected after a while, as not executed, by the first server.
class SlowServers {
 public:
  void Serve(RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      const std::string id = HeaderValue(*request, "Rosemarycove-Request-Id");
      int sent = 0;
      {
        const std::lock_guard lock(this->mutex);
        sent = ++this->sent_by_id[id];
      }
      const std::string line = request->substr(0, request->find("\r\n"));
      if (line.find("/rejected ") != std::string::npos && sent == 1) {
        std::this_thread::sleep_for(kTooLate);
        connection.Send(EngineResponse(*request, "no room",
                                       "503 Service Unavailable",
                                       "Rosemarycove-Not-Executed: 1\r\n"));
        continue;
      }
      if (line.find(" /stream/") == std::string::npos) {
        std::this_thread::sleep_for(kServerTime);
        connection.Send(EngineResponse(*request, "finished"));
        continue;
      }
      connection.Send(StreamResponseHead(*request) +
                      Chunk("id: 1\ndata: a\n\n"));
      std::this_thread::sleep_for(kServerTime);
      connection.Send(Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    }
  }
  // Returns how many times the request was sent to a server.
  int SentCount(const std::string& id) {
    const std::lock_guard lock(this->mutex);
    return this->sent_by_id[id];
  }

 private:
  std::mutex mutex;
  std::map<std::string, int> sent_by_id;
};

std::string StatusLine(const std::string& response) {
  return response.substr(0, response.find("\r\n"));
}

// A gateway that has learned how long requests take.
class StoppingGateway {
 public:
  explicit StoppingGateway(Duration grace = kGrace)
      : platform([this](RawConnection& connection) {
          this->servers.Serve(connection);
        }) {
    this->platform.store.Put("op/config", kConfiguration);
    this->gateway = std::make_unique<RunningGateway>(
        "a", this->platform.store.address(), std::vector<std::string>(), grace);
    this->gateway->AwaitReady();
  }

  // Has each route serve a few requests at the same time.
  void LearnDurations() {
    std::vector<std::thread> callers;
    for (const char* path : {"/once/x", "/again/x", "/stream/x"}) {
      for (int i = 0; i < 3; ++i) {
        callers.emplace_back([this, path, i] {
          const std::string id = std::string(path) + std::to_string(i);
          STRCMP_EQUAL("HTTP/1.1 200 OK",
                       StatusLine(this->gateway->SendRequest(
                                      PlatformFixture::Request(path, id)))
                           .c_str());
        });
      }
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }
  void StartDrain() {
    this->drain_started_at = steady_clock::now();
    this->gateway->RunOnEventLoop(
        [](Gateway& running_gateway) { running_gateway.StartDrain(); });
  }
  void SleepUntil(Duration after_drain_start) const {
    std::this_thread::sleep_until(this->drain_started_at + after_drain_start);
  }
  // Checks that the response is a refusal as not executed, and that it is true.
  void CheckRefused(const std::string& response, const std::string& id) {
    STRCMP_EQUAL("HTTP/1.1 503 Service Unavailable",
                 StatusLine(response).c_str());
    CHECK(!HeaderValue(response, "Retry-After").empty());
    CHECK(response.ends_with("draining\n"));
    LONGS_EQUAL(0, this->servers.SentCount(id));
  }

  steady_clock::time_point drain_started_at;
  SlowServers servers;
  PlatformFixture platform;
  std::unique_ptr<RunningGateway> gateway;
};

// The status lines that callers got, and how often; an empty one stands for a
// connection that ended without a response.
using StatusCounts = std::map<std::string, int>;

// Runs callers with kept connections, which send one request after another,
// from before a shutdown with this grace until its end.
StatusCounts RunCallersAcrossShutdown(Duration grace, bool& is_clean) {
  constexpr int kCallers = 6;
  constexpr milliseconds kTimeBefore(2500);
  StoppingGateway stopping(grace);
  const int port = stopping.gateway->port();
  StatusCounts counts;
  std::mutex mutex;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      // Spreads the callers over the time that a request takes.
      std::this_thread::sleep_for(i * kServerTime / kCallers);
      int count = 0;
      while (const auto connection = RawConnection::Connect(port)) {
        bool is_kept = true;
        while (is_kept) {
          const std::string id =
              "r" + std::to_string(i) + "-" + std::to_string(count++);
          connection->Send(PlatformFixture::Request("/once/x", id));
          const std::string response = connection->ReadMessage().value_or("");
          is_kept =
              !response.empty() && HeaderValue(response, "Connection").empty();
          const std::lock_guard lock(mutex);
          ++counts[StatusLine(response)];
        }
        // Callers wait before they send a refused request once more.
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
  }
  std::this_thread::sleep_for(kTimeBefore);
  stopping.StartDrain();
  is_clean = stopping.gateway->AwaitEnd();
  // The end of the process closes the connections.
  stopping.gateway.reset();
  for (std::thread& caller : callers) {
    caller.join();
  }
  return counts;
}

}  // namespace

TEST_GROUP(LateInTheGrace){};

// Guards against requests that may not be repeated and are cut off at the end
// of the grace, since they were sent to a server too late.
TEST(LateInTheGrace, NoRequestThatMayNotRunTwiceIsCutOff) {
  for (const Duration grace : {milliseconds(1500), milliseconds(2500)}) {
    bool is_clean = false;
    StatusCounts counts = RunCallersAcrossShutdown(grace, is_clean);
    CHECK(is_clean);
    LONGS_EQUAL(0, counts["HTTP/1.1 502 Bad Gateway"]);
    CHECK(counts["HTTP/1.1 503 Service Unavailable"] > 0);
    CHECK(counts["HTTP/1.1 200 OK"] > 0);
  }
}

// Guards against a request that is sent to a server although the rest of the
// grace is shorter than such requests take.
TEST(LateInTheGrace, RequestThatArrivesTooLateIsRefused) {
  StoppingGateway stopping;
  stopping.LearnDurations();
  const auto once = stopping.gateway->Connect();
  const auto again = stopping.gateway->Connect();
  stopping.StartDrain();
  stopping.SleepUntil(kTooLate);
  once->Send(PlatformFixture::Request("/once/x", "r1"));
  again->Send(PlatformFixture::Request("/again/x", "r2"));
  stopping.CheckRefused(once->ReadMessage().value_or(""), "r1");
  stopping.CheckRefused(again->ReadMessage().value_or(""), "r2");
  CHECK(stopping.gateway->AwaitEnd());
}

// Guards against a stream that is broken off midway although its caller could
// have had all of it from another instance.
TEST(LateInTheGrace, StreamThatWouldBeBrokenOffIsRefused) {
  StoppingGateway stopping;
  stopping.LearnDurations();
  const auto caller = stopping.gateway->Connect();
  stopping.StartDrain();
  stopping.SleepUntil(kTooLate);
  caller->Send(PlatformFixture::Request("/stream/x", "r1"));
  stopping.CheckRefused(caller->ReadToEnd(), "r1");
  CHECK(stopping.gateway->AwaitEnd());
}

// Guards against refusals of requests for which the rest of the grace suffices.
TEST(LateInTheGrace, RequestThatArrivesInTimeIsAnswered) {
  StoppingGateway stopping;
  stopping.LearnDurations();
  stopping.StartDrain();
  stopping.SleepUntil(milliseconds(50));
  const std::string response =
      stopping.gateway->SendRequest(PlatformFixture::Request("/once/x", "r1"));
  STRCMP_EQUAL("HTTP/1.1 200 OK", StatusLine(response).c_str());
  CHECK(stopping.gateway->AwaitEnd());
}

// Guards against a request that waits for capacity, gets it too late, and is
// cut off.
TEST(LateInTheGrace, RequestThatGetsCapacityTooLateIsRefused) {
  StoppingGateway stopping;
  stopping.LearnDurations();
  const auto first = stopping.gateway->Connect();
  const auto second = stopping.gateway->Connect();
  first->Send(PlatformFixture::Request("/stream/x", "r1", kLargePrompt));
  CHECK(!first->ReadUntil("data: a\n\n").empty());
  stopping.StartDrain();
  second->Send(PlatformFixture::Request("/stream/x", "r2", kLargePrompt));
  stopping.CheckRefused(second->ReadToEnd(), "r2");
  CHECK(first->ReadToEnd().ends_with("0\r\n\r\n"));
  CHECK(stopping.gateway->AwaitEnd());
}

// Guards against a request that one server rejects and that another one gets
// too late.
TEST(LateInTheGrace, RejectedRequestIsNotRetriedTooLate) {
  StoppingGateway stopping;
  stopping.platform.AddServer("second", "orders",
                              stopping.platform.engine.address());
  stopping.LearnDurations();
  stopping.StartDrain();
  const std::string response = stopping.gateway->SendRequest(
      PlatformFixture::Request("/once/rejected", "r1"));
  STRCMP_EQUAL("HTTP/1.1 503 Service Unavailable",
               StatusLine(response).c_str());
  CHECK(response.ends_with("draining\n"));
  LONGS_EQUAL(1, stopping.servers.SentCount("r1"));
  CHECK(stopping.gateway->AwaitEnd());
}

// Guards against connections that are closed at the end of the grace while
// their callers' requests are on their way.
TEST(LateInTheGrace, RequestsThatCrossTheCutOffAreRefused) {
  constexpr milliseconds kAfterCutOff(1100);
  StoppingGateway stopping;
  const auto used = stopping.gateway->Connect();
  used->Send(PlatformFixture::Request("/again/x", "r1"));
  STRCMP_EQUAL("HTTP/1.1 200 OK",
               StatusLine(used->ReadMessage().value_or("")).c_str());
  const auto unused = stopping.gateway->Connect();
  stopping.StartDrain();
  stopping.SleepUntil(kAfterCutOff);
  used->Send(PlatformFixture::Request("/once/x", "r2"));
  unused->Send(PlatformFixture::Request("/once/x", "r3"));
  const std::string refusal = used->ReadMessage().value_or("");
  stopping.CheckRefused(refusal, "r2");
  STRCMP_EQUAL("close", HeaderValue(refusal, "Connection").c_str());
  stopping.CheckRefused(unused->ReadMessage().value_or(""), "r3");
  CHECK(stopping.gateway->AwaitEnd());
}

// Guards against connections of busy callers that end without a response.
TEST(LateInTheGrace, EachRequestOfABusyCallerGetsAResponse) {
  for (const Duration grace : {milliseconds(1500), milliseconds(2500)}) {
    bool is_clean = false;
    LONGS_EQUAL(0, RunCallersAcrossShutdown(grace, is_clean)[""]);
  }
}
