// Tests of the gateway's shutdown: each request that was read gets an outcome.
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// After this time from the start of a drain, no more connections are accepted.
constexpr milliseconds kAcceptTime(2600);

// As the fixture's routes, with timeouts and targets that don't end a request
// within these tests.
constexpr char kConfiguration[] =
    R"({{"version":{},"routes":[)"
    R"({{"name":"stream","hostname":"site.example","path_prefix":"/stream/",)"
    R"("type":"streaming","timeout_ms":20000,"slo_ms":16000,"priority":1,)"
    R"("service":"model","attempts":2,"public":false,"resumable":true,)"
    R"("gap_target_ms":5000}},)"
    R"({{"name":"once","hostname":"site.example","path_prefix":"/once/",)"
    R"("type":"unsafe","timeout_ms":20000,"slo_ms":5000,"priority":2,)"
    R"("service":"orders","attempts":1,"public":false}},)"
    R"({{"name":"again","hostname":"site.example","path_prefix":"/again/",)"
    R"("type":"safe","timeout_ms":20000,"slo_ms":5000,"priority":2,)"
    R"("service":"stock","attempts":2,"public":false}}],"services":[)"
    R"({{"name":"model","max_conns":64,"engine":{{"slots":8,)"
    R"("kv_tokens":100000,"stride":4}}}},)"
    R"({{"name":"orders","max_conns":64}},{{"name":"stock","max_conns":64}}],)"
    R"("limits":{{"max_header_bytes":4096,"max_body_bytes":65536,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}},)"
    R"("tenants":[{{"name":"customer-1","api_keys":["key-1"]}}]}})";

// Engines whose behaviour depends on the end of the path: "hold" never
// responds, "hold-stream" responds with one event and no end, "slow" responds
// after a while, and all others respond at once.
class Engines {
 public:
  void Serve(RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      {
        const std::lock_guard lock(this->mutex);
        this->ids.insert(HeaderValue(*request, "Rosemarycove-Request-Id"));
      }
      const std::string head = request->substr(0, request->find("\r\n"));
      if (head.find("/hold ") != std::string::npos) {
        connection.ReadToEnd();
        return;
      }
      if (head.find("/hold-stream ") != std::string::npos) {
        connection.Send(StreamResponseHead(*request) +
                        Chunk("id: 1\ndata: a\n\n"));
        connection.ReadToEnd();
        return;
      }
      if (head.find("/slow ") != std::string::npos) {
        std::this_thread::sleep_for(kSlowTime);
      }
      connection.Send(EngineResponse(*request, "finished"));
    }
  }
  // Returns whether a request with this id has arrived.
  bool HasReceived(const std::string& id) {
    const std::lock_guard lock(this->mutex);
    return this->ids.contains(id);
  }

 private:
  static constexpr milliseconds kSlowTime{300};

  std::mutex mutex;
  std::set<std::string> ids;
};

// A gateway with one engine for each route.
class DrainingGateway {
 public:
  explicit DrainingGateway(Duration grace = std::chrono::seconds(8))
      : platform([this](RawConnection& connection) {
          this->engines.Serve(connection);
        }) {
    this->PutConfiguration(2);
    this->gateway = std::make_unique<RunningGateway>(
        "a", this->platform.store.address(), std::vector<std::string>(), grace);
    this->gateway->AwaitReady();
  }

  void PutConfiguration(int version) {
    this->platform.store.Put("op/config", fmt::format(kConfiguration, version));
  }
  void StartDrain() {
    this->drain_started_at = steady_clock::now();
    this->gateway->RunOnEventLoop(
        [](Gateway& running_gateway) { running_gateway.StartDrain(); });
  }
  // Runs the action while the event loop is blocked, from before the moment at
  // which no more connections are accepted until after it.
  void RunAcrossListenerClose(const std::function<void()>& action) {
    this->gateway->RunOnEventLoop([&](Gateway&) {
      std::this_thread::sleep_until(this->drain_started_at + kAcceptTime +
                                    milliseconds(20));
      action();
    });
  }
  // Waits until connections are no longer accepted.
  void AwaitListenerClosed() const {
    std::this_thread::sleep_until(this->drain_started_at + kAcceptTime);
    while (this->gateway->Connect()) {
      std::this_thread::sleep_for(milliseconds(2));
    }
  }

  steady_clock::time_point drain_started_at;
  Engines engines;
  PlatformFixture platform;
  std::unique_ptr<RunningGateway> gateway;
};

std::string StatusLine(const std::string& response) {
  return response.substr(0, response.find("\r\n"));
}

// Returns the status line of the next response; empty if the connection ends
// first.
std::string ReadStatusLine(RawConnection& connection) {
  return StatusLine(connection.ReadMessage().value_or(""));
}

}  // namespace

TEST_GROUP(Drain){};

// Guards against a process that ends while it reads a request: the request is
// sent to an engine, and its caller gets neither an answer nor a refusal.
TEST(Drain, RequestThatIsBeingReadWhenTheDrainEndsIsAnswered) {
  DrainingGateway draining;
  const std::string request = PlatformFixture::Request("/once/slow", "r1");
  const auto caller = draining.gateway->Connect();
  draining.StartDrain();
  const std::size_t half = request.size() / 2;
  caller->Send(request.substr(0, half));
  draining.AwaitListenerClosed();
  caller->Send(request.substr(half));
  STRCMP_EQUAL("HTTP/1.1 200 OK", ReadStatusLine(*caller).c_str());
  CHECK(draining.engines.HasReceived("r1"));
  CHECK(draining.gateway->AwaitEnd());
}

// Guards against requests that are started too late to be finished within the
// grace.
TEST(Drain, RequestThatArrivesLateIsRefusedAsNotRun) {
  DrainingGateway draining;
  const std::string request = PlatformFixture::Request("/once/x", "r1");
  const auto caller = draining.gateway->Connect();
  draining.StartDrain();
  // The whole request takes less than the time limit of its head.
  std::this_thread::sleep_until(draining.drain_started_at + milliseconds(1500));
  const std::size_t half = request.size() / 2;
  caller->Send(request.substr(0, half));
  std::this_thread::sleep_until(draining.drain_started_at + milliseconds(3200));
  caller->Send(request.substr(half));
  const std::string refusal = caller->ReadMessage().value_or("");
  STRCMP_EQUAL("HTTP/1.1 503 Service Unavailable", StatusLine(refusal).c_str());
  STRCMP_EQUAL("close", HeaderValue(refusal, "Connection").c_str());
  CHECK(!HeaderValue(refusal, "Retry-After").empty());
  CHECK(!draining.engines.HasReceived("r1"));
  CHECK(draining.gateway->AwaitEnd());
}

// Guards against a kept connection that is closed as idle, at the end of a
// drain, with a request in the kernel's receive buffer.
TEST(Drain, RequestThatArrivedBeforeItsConnectionIsClosedIsAnswered) {
  DrainingGateway draining;
  const auto kept = draining.gateway->Connect();
  kept->Send(PlatformFixture::Request("/again/x", "r1"));
  STRCMP_EQUAL("HTTP/1.1 200 OK", ReadStatusLine(*kept).c_str());
  draining.StartDrain();
  draining.RunAcrossListenerClose(
      [&] { kept->Send(PlatformFixture::Request("/again/x", "r2")); });
  STRCMP_EQUAL("HTTP/1.1 200 OK", ReadStatusLine(*kept).c_str());
  CHECK(draining.gateway->AwaitEnd());
}

// Guards against connections that the kernel has accepted and that are reset
// when the listener closes.
TEST(Drain, ConnectionsThatWaitToBeAcceptedAreServed) {
  DrainingGateway draining;
  draining.StartDrain();
  std::vector<std::unique_ptr<RawConnection>> callers;
  constexpr int kCallers = 5;
  draining.RunAcrossListenerClose([&] {
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(draining.gateway->Connect());
      callers.back()->Send(
          PlatformFixture::Request("/again/x", "r" + std::to_string(i)));
    }
  });
  for (const auto& caller : callers) {
    STRCMP_EQUAL("HTTP/1.1 200 OK", ReadStatusLine(*caller).c_str());
  }
  CHECK(draining.gateway->AwaitEnd());
}

// Guards against a connection that is closed after a response whose head, sent
// before the drain, announced that it stays open: the next request is lost.
TEST(Drain, RequestBehindAResponseFromBeforeTheDrainIsAnswered) {
  std::atomic<bool> may_end = false;
  PlatformFixture platform([&](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(StreamResponseHead(*request) +
                      Chunk("id: 1\ndata: a\n\n"));
      while (!may_end) {
        std::this_thread::sleep_for(milliseconds(1));
      }
      connection.Send("0\r\n\r\n");
    }
  });
  RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const auto caller = gateway.Connect();
  caller->Send(PlatformFixture::Request("/stream/x", "r1"));
  const std::string head = caller->ReadUntil("data: a\n\n");
  STRCMP_EQUAL("", HeaderValue(head, "Connection").c_str());
  gateway.RunOnEventLoop(
      [](Gateway& running_gateway) { running_gateway.StartDrain(); });
  caller->Send(PlatformFixture::Request("/stream/x", "r2"));
  // Time for the request to be read.
  std::this_thread::sleep_for(milliseconds(50));
  may_end = true;
  caller->ReadUntil("0\r\n\r\n");
  STRCMP_EQUAL("HTTP/1.1 200 OK",
               StatusLine(caller->ReadUntil("0\r\n\r\n")).c_str());
  CHECK(gateway.AwaitEnd());
}

// Guards against requests that are dropped without a response, or without an
// outcome in the log, at the end of the shutdown grace.
TEST(Drain, RequestsThatAreOpenAtTheEndOfTheGraceGetTheirOutcome) {
  DrainingGateway draining(std::chrono::milliseconds(1500));
  const auto unsafe = draining.gateway->Connect();
  unsafe->Send(PlatformFixture::Request("/once/hold", "r1"));
  const auto stream = draining.gateway->Connect();
  stream->Send(PlatformFixture::Request("/stream/hold-stream", "r2"));
  const auto half_read = draining.gateway->Connect();
  half_read->Send(PlatformFixture::Request("/once/x", "r3").substr(0, 60));
  CHECK(!stream->ReadUntil("data: a\n\n").empty());
  draining.StartDrain();
  const std::string sent = unsafe->ReadMessage().value_or("");
  STRCMP_EQUAL("HTTP/1.1 502 Bad Gateway", StatusLine(sent).c_str());
  STRCMP_EQUAL("close", HeaderValue(sent, "Connection").c_str());
  const std::string rest = stream->ReadToEnd();
  CHECK(rest.find("0\r\n\r\n") == std::string::npos);
  const std::string not_run = half_read->ReadMessage().value_or("");
  STRCMP_EQUAL("HTTP/1.1 503 Service Unavailable", StatusLine(not_run).c_str());
  CHECK(!HeaderValue(not_run, "Retry-After").empty());
  CHECK(!draining.gateway->AwaitEnd());
  const RequestCounts counts = draining.gateway->request_counts();
  LONGS_EQUAL(2, counts.read);
  LONGS_EQUAL(2, counts.ended);
  LONGS_EQUAL(0, counts.unanswered);
}

// Guards against requests that are dropped because the event loop is late: no
// tick comes between the cut-off and the end of the process.
TEST(Drain, RequestsGetTheirOutcomeIfTheLoopIsLateAtTheCutOff) {
  DrainingGateway draining(milliseconds(1500));
  const auto caller = draining.gateway->Connect();
  caller->Send(PlatformFixture::Request("/once/hold", "r1"));
  while (!draining.engines.HasReceived("r1")) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  draining.StartDrain();
  draining.gateway->RunOnEventLoop([&](Gateway&) {
    std::this_thread::sleep_until(draining.drain_started_at +
                                  milliseconds(1400));
  });
  STRCMP_EQUAL("HTTP/1.1 502 Bad Gateway", ReadStatusLine(*caller).c_str());
  CHECK_FALSE(draining.gateway->AwaitEnd());
  const RequestCounts& counts = draining.gateway->request_counts();
  LONGS_EQUAL(1, counts.read);
  LONGS_EQUAL(1, counts.ended);
}

// Guards against a request that is lost without a reset: its bytes have been
// received when its connection is closed as idle, and not yet been parsed.
TEST(Drain, RequestThatArrivesAsIdleConnectionsAreClosedIsAnswered) {
  DrainingGateway draining;
  draining.StartDrain();
  std::unique_ptr<RawConnection> caller;
  // The event loop then accepts the connection, and closes idle ones at once.
  draining.gateway->RunOnEventLoop([&](Gateway&) {
    std::this_thread::sleep_until(draining.drain_started_at +
                                  milliseconds(2450));
    caller = draining.gateway->Connect();
    caller->Send(PlatformFixture::Request("/once/x", "r1"));
    std::this_thread::sleep_until(draining.drain_started_at +
                                  milliseconds(3060));
  });
  STRCMP_EQUAL("HTTP/1.1 503 Service Unavailable",
               ReadStatusLine(*caller).c_str());
  draining.gateway->AwaitEnd();
}

// Guards against a drain that goes on after the grace that the platform allows,
// since SIGHUP came meanwhile.
TEST(Drain, ReloadedSettingsDoNotLengthenADrain) {
  DrainingGateway draining(milliseconds(1500));
  const auto caller = draining.gateway->Connect();
  caller->Send(PlatformFixture::Request("/once/hold", "r1"));
  // Time for the request to be read.
  std::this_thread::sleep_for(milliseconds(100));
  draining.StartDrain();
  draining.gateway->ReloadGrace(std::chrono::seconds(30));
  CHECK(!draining.gateway->AwaitEnd());
  CHECK(steady_clock::now() - draining.drain_started_at < milliseconds(1500));
}

// Guards against refusals at the end of the grace that are not true: requests
// that wait for capacity have not been executed.
TEST(Drain, RequestsThatWaitInADrainAreRefusedAsNotRun) {
  DrainingGateway draining(milliseconds(1500));
  // A few of these fill the engine's KV cache.
  constexpr int kRequests = 8;
  const std::string fields = "Rosemarycove-Token-Count: 30000,100\r\n";
  std::vector<std::unique_ptr<RawConnection>> callers;
  for (int i = 0; i < kRequests; ++i) {
    callers.push_back(draining.gateway->Connect());
    callers.back()->Send(PlatformFixture::Request(
        "/stream/hold-stream", "r" + std::to_string(i), fields));
  }
  while (!draining.engines.HasReceived("r0")) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  // Time for the other requests to be read.
  std::this_thread::sleep_for(milliseconds(100));
  draining.StartDrain();
  int refused = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string response =
        callers[static_cast<std::size_t>(i)]->ReadToEnd();
    if (draining.engines.HasReceived("r" + std::to_string(i))) {
      STRCMP_EQUAL("HTTP/1.1 200 OK", StatusLine(response).c_str());
      CHECK(!response.ends_with("0\r\n\r\n"));
      continue;
    }
    STRCMP_EQUAL("HTTP/1.1 503 Service Unavailable",
                 StatusLine(response).c_str());
    CHECK(!HeaderValue(response, "Retry-After").empty());
    refused += response.ends_with("draining\n") ? 1 : 0;
  }
  CHECK(refused > 0);
  CHECK(!draining.gateway->AwaitEnd());
  LONGS_EQUAL(kRequests, draining.gateway->request_counts().read);
  LONGS_EQUAL(kRequests, draining.gateway->request_counts().ended);
}

namespace {

// A caller with a kept connection that sends requests, in parts and at random
// times, until the gateway accepts no more connections.
class BusyCaller {
 public:
  BusyCaller(int port, std::string name, unsigned seed)
      : port(port), name(std::move(name)), random(seed) {}

  void Run() {
    while (auto connection = RawConnection::Connect(this->port)) {
      while (this->SendOne(*connection)) {
        this->SleepUpTo(kMaxPause);
      }
    }
  }
  // The ids of requests without a complete response whose connection was closed
  // and not reset. The system resets connections that it has established and
  // that were not accepted.
  [[nodiscard]] const std::vector<std::string>& unanswered() const {
    return this->unanswered_ids;
  }
  [[nodiscard]] int answered() const { return this->answered_count; }

 private:
  static constexpr int kMaxPause = 150;

  void SleepUpTo(int maximum) {
    std::this_thread::sleep_for(
        milliseconds(this->random() % static_cast<unsigned>(maximum + 1)));
  }
  // Returns whether the connection may be used again.
  bool SendOne(RawConnection& connection) {
    constexpr const char* kPaths[] = {"/once/x", "/again/x", "/again/slow",
                                      "/once/slow"};
    const std::string id = this->name + "-" + std::to_string(this->count++);
    const std::string request = PlatformFixture::Request(
        kPaths[this->random() % std::size(kPaths)], id, "", "body");
    const std::size_t part = this->random() % request.size();
    bool sent = connection.Send(request.substr(0, part));
    if (this->random() % 2 == 0) {
      this->SleepUpTo(kMaxPause);
    }
    sent = connection.Send(request.substr(part)) && sent;
    const auto response = connection.ReadMessage();
    if (!response) {
      bool reset = false;
      connection.ReadToEnd(&reset);
      if (!reset) {
        this->unanswered_ids.push_back(id);
      }
      return false;
    }
    ++this->answered_count;
    return HeaderValue(*response, "Connection") != "close";
  }

  int port;
  std::string name;
  std::mt19937 random;
  int count = 0;
  int answered_count = 0;
  std::vector<std::string> unanswered_ids;
};

// Runs a gateway with a few callers, with seeded changes of the configuration
// and signals, until it has drained. Returns what is wrong; empty if nothing.
std::string RunPlannedWork(unsigned seed) {
  constexpr unsigned kCallers = 2;
  constexpr int kChanges = 6;
  constexpr unsigned kMaxPause = 150;
  DrainingGateway draining;
  std::vector<std::unique_ptr<BusyCaller>> callers;
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<BusyCaller>(draining.gateway->port(),
                                                   "c" + std::to_string(i),
                                                   seed * kCallers + i));
    threads.emplace_back([&caller = *callers.back()] { caller.Run(); });
  }
  std::mt19937 random(seed);
  int version = 2;
  const auto change_configurations = [&] {
    for (int i = 0; i < kChanges; ++i) {
      draining.PutConfiguration(++version);
      if (random() % 2 == 0) {
        std::raise(SIGHUP);
      }
      std::this_thread::sleep_for(milliseconds(random() % kMaxPause));
    }
  };
  change_configurations();
  draining.StartDrain();
  change_configurations();
  const bool is_clean = draining.gateway->AwaitEnd();
  const RequestCounts counts = draining.gateway->request_counts();
  // The end of the process closes the connections.
  draining.gateway.reset();
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::uint64_t answered = 0;
  std::string faults = is_clean ? "" : "requests were cut off; ";
  for (const auto& caller : callers) {
    answered += static_cast<std::uint64_t>(caller->answered());
    for (const std::string& id : caller->unanswered()) {
      faults += fmt::format(
          "{} was not answered{}; ", id,
          draining.engines.HasReceived(id) ? " and reached an engine" : "");
    }
  }
  if (counts.read != counts.ended || counts.read != answered ||
      counts.unanswered != 0) {
    faults +=
        fmt::format("read {}, ended {}, answered {}, unanswered {}; ",
                    counts.read, counts.ended, answered, counts.unanswered);
  }
  return faults.empty() ? "" : fmt::format("seed {}: {}", seed, faults);
}

}  // namespace

// Guards against requests without an answer or an outcome beside planned work.
TEST(Drain, EachReadRequestEndsBesidePlannedWork) {
  constexpr unsigned kSeeds = 24;
  std::vector<std::string> faults(kSeeds);
  std::vector<std::thread> runs;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    runs.emplace_back([&, seed] { faults[seed] = RunPlannedWork(seed); });
  }
  for (std::thread& run : runs) {
    run.join();
  }
  for (const std::string& fault : faults) {
    STRCMP_EQUAL("", fault.c_str());
  }
}
