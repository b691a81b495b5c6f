// Tests of servers that say in their responses that they are leaving, while
// their entries in the store say that they are ready, or can't be read.
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "tests/gateway_fixture.h"
#include "tests/recording_server.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kLeaving[] = "Server-Leaving: 1\r\n";
// The longest time for which a leaving server may get requests.
constexpr Duration kDrainTime = seconds(2);
// Time within which a change of the directory is known.
constexpr Duration kApplyTime = milliseconds(1500);
constexpr int kManyRequests = 30;
constexpr int kMaxTries = 200;

std::string Leave(const std::string& request) {
  return EngineResponse(request, "done", "200 OK", kLeaving);
}

std::string Serve(const std::string& request) {
  return EngineResponse(request, "done");
}

// Refuses the request, and says that it is leaving.
std::string RefuseAndLeave(const std::string& request) {
  return EngineResponse(
      request, "", "503 Service Unavailable",
      std::string(kLeaving) + "Rosemarycove-Not-Executed: full\r\n");
}

std::string Request(int number, const std::string& path = "/again/x") {
  return PlatformFixture::Request(path, "r" + std::to_string(number));
}

// A platform with one or two servers of the service of /again/, and instances.
class Servers {
 public:
  explicit Servers(const RecordingServer::Responder& first)
      : first(first), platform(this->second.Handler()) {
    this->platform.store.Remove("servers/stock-1");
    this->PutFirst();
  }

  // Registers a lifetime of the first server, which instances "a" and "b"
  // prefer.
  void PutFirst(int born = 1) {
    this->platform.AddServer("stock-5", "stock", this->first_server.address(),
                             "ready", born);
  }
  void RemoveFirst() { this->platform.store.Remove("servers/stock-5"); }
  void AddSecond() {
    this->platform.AddServer("stock-1", "stock",
                             this->platform.engine.address());
  }
  std::unique_ptr<RunningGateway> StartGateway(const std::string& name) {
    auto gateway =
        std::make_unique<RunningGateway>(name, this->platform.store.address());
    gateway->AwaitReady();
    return gateway;
  }
  // Sends requests until the first server got one that it had not got before.
  // Returns whether it did.
  bool SendUntilFirstIsAsked(const RunningGateway& gateway) {
    const int before = this->first.count();
    for (int i = 0; i < kMaxTries && this->first.count() == before; ++i) {
      this->Send(gateway);
    }
    return this->first.count() > before;
  }
  // Returns whether a request succeeded.
  bool Send(const RunningGateway& gateway) {
    return gateway.SendRequest(Request(++this->number))
        .starts_with("HTTP/1.1 200");
  }
  // Returns how many of many requests succeeded.
  int SendMany(const RunningGateway& gateway) {
    int succeeded = 0;
    for (int i = 0; i < kManyRequests; ++i) {
      succeeded += this->Send(gateway) ? 1 : 0;
    }
    return succeeded;
  }

  RecordingServer first;
  RecordingServer second{Serve};

 private:
  RawServer first_server{this->first.Handler()};

 public:
  PlatformFixture platform;

 private:
  int number = 0;
};

}  // namespace

TEST_GROUP(LeavingServers){};

// Guards against a server that says that it is leaving getting requests while
// its entry in the store says that it is ready.
TEST(LeavingServers, OthersArePreferredAtOnce) {
  Servers servers(Leave);
  servers.AddSecond();
  const auto gateway = servers.StartGateway("a");
  CHECK(servers.SendUntilFirstIsAsked(*gateway));
  CHECK(servers.SendMany(*gateway) == kManyRequests);
  CHECK_EQUAL(1, servers.first.count());
}

// Guards against only successful responses being read.
TEST(LeavingServers, RefusalSaysItToo) {
  Servers servers(RefuseAndLeave);
  servers.AddSecond();
  const auto gateway = servers.StartGateway("a");
  CHECK(servers.SendUntilFirstIsAsked(*gateway));
  CHECK(servers.SendMany(*gateway) == kManyRequests);
  CHECK_EQUAL(1, servers.first.count());
}

// Guards against a late response to another request, which is skipped, not
// being read.
TEST(LeavingServers, ResponseToAnotherRequestSaysItToo) {
  Servers servers([](const std::string& request) {
    return EngineResponse("\r\nRosemarycove-Request-Id: other\r\n\r\n", "late",
                          "200 OK", kLeaving) +
           EngineResponse(request, "done");
  });
  servers.AddSecond();
  const auto gateway = servers.StartGateway("a");
  CHECK(servers.SendUntilFirstIsAsked(*gateway));
  CHECK(servers.SendMany(*gateway) == kManyRequests);
  CHECK_EQUAL(1, servers.first.count());
}

// Guards against the head of a stream being read only at its end, and against
// the stream that runs there being broken off.
TEST(LeavingServers, StreamSaysItFromItsHeadOnAndIsFinished) {
  std::atomic<bool> may_end = false;
  std::atomic<int> streams = 0;
  PlatformFixture platform([&](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      std::string head = StreamResponseHead(*request);
      head.insert(head.size() - 2, kLeaving);
      connection.Send(head + Chunk("id: 1\ndata: a\n\n"));
      const bool is_first = ++streams == 1;
      int id = 1;
      while (is_first && !may_end && id < kMaxTries) {
        std::this_thread::sleep_for(milliseconds(50));
        connection.Send(Chunk("id: " + std::to_string(++id) + "\ndata: a\n\n"));
      }
      connection.Send(Chunk("id: " + std::to_string(id + 1) + "\ndata: b\n\n") +
                      "0\r\n\r\n");
    }
  });
  std::atomic<int> others = 0;
  const RawServer other([&](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      ++others;
      connection.Send(StreamResponseHead(*request) +
                      Chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n");
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const auto caller = gateway.Connect();
  caller->Send(Request(1, "/stream/x"));
  caller->ReadUntil("data: a\n\n");
  platform.AddServer("engine-4", "model", other.address());
  std::this_thread::sleep_for(kApplyTime);
  for (int i = 0; i < kManyRequests; ++i) {
    const auto next = gateway.Connect();
    next->Send(Request(i + 2, "/stream/x"));
    next->ReadUntil("0\r\n\r\n");
  }
  may_end = true;
  CHECK(caller->ReadUntil("data: b\n\n").ends_with("data: b\n\n"));
  CHECK_EQUAL(1, streams);
  CHECK_EQUAL(kManyRequests, others);
}

// Guards against the only server of a service getting requests after the time
// for which a leaving one may, and against its callers being refused before.
TEST(LeavingServers, LastServerIsUsedOnlyForAWhile) {
  Servers servers(Leave);
  const auto gateway = servers.StartGateway("a");
  const TimePoint start = std::chrono::steady_clock::now();
  CHECK(servers.SendMany(*gateway) == kManyRequests);
  std::this_thread::sleep_until(start + kDrainTime);
  const int before = servers.first.count();
  const std::string response = gateway->SendRequest(Request(1000));
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(std::stod(HeaderValue(response, "Retry-After")) > 0);
  CHECK(servers.SendMany(*gateway) == 0);
  CHECK_EQUAL(before, servers.first.count());
}

// Guards against an entry in the store that says `ready`, written again or back
// after a removal, lifting what the server itself has said.
TEST(LeavingServers, ReadyEntryDoesNotLiftIt) {
  Servers servers(Leave);
  servers.AddSecond();
  const auto gateway = servers.StartGateway("a");
  CHECK(servers.SendUntilFirstIsAsked(*gateway));
  servers.PutFirst();
  std::this_thread::sleep_for(kApplyTime);
  servers.SendMany(*gateway);
  servers.RemoveFirst();
  std::this_thread::sleep_for(kApplyTime);
  servers.PutFirst();
  std::this_thread::sleep_for(kApplyTime);
  CHECK(servers.SendMany(*gateway) == kManyRequests);
  CHECK_EQUAL(1, servers.first.count());
}

// Guards against the server's word depending on the store.
TEST(LeavingServers, StoreNeedNotBeReadable) {
  Servers servers(Serve);
  servers.AddSecond();
  const auto gateway = servers.StartGateway("a");
  servers.platform.store.SetFault(StoreFault::kUnavailable);
  servers.SendMany(*gateway);
  servers.first.Respond(Leave);
  CHECK(servers.SendUntilFirstIsAsked(*gateway));
  const TimePoint told = std::chrono::steady_clock::now();
  CHECK(servers.SendMany(*gateway) == kManyRequests);
  std::this_thread::sleep_until(told + kDrainTime);
  CHECK(servers.SendMany(*gateway) == kManyRequests);
  CHECK_EQUAL(0, servers.first.CountSince(told));
  servers.platform.store.SetFault(StoreFault::kNone);
}

// Guards against a server that starts again under its id, or a later server at
// its address, being bound by what the process before it said.
TEST(LeavingServers, RestartUnderTheSameIdEndsIt) {
  Servers servers(Leave);
  servers.AddSecond();
  const auto gateway = servers.StartGateway("a");
  CHECK(servers.SendUntilFirstIsAsked(*gateway));
  servers.SendMany(*gateway);
  CHECK_EQUAL(1, servers.first.count());
  servers.first.Respond(Serve);
  servers.PutFirst(2);
  std::this_thread::sleep_for(kApplyTime);
  servers.SendMany(*gateway);
  CHECK(servers.first.count() > 1);
}

// Guards against instances needing each other to learn it: each is told by the
// response to its own request.
TEST(LeavingServers, EachInstanceIsToldByItsOwnResponses) {
  Servers servers(Leave);
  servers.AddSecond();
  const auto first = servers.StartGateway("a");
  const auto second = servers.StartGateway("b");
  CHECK(servers.SendUntilFirstIsAsked(*first));
  CHECK(servers.SendUntilFirstIsAsked(*second));
  CHECK(servers.SendMany(*first) == kManyRequests);
  CHECK(servers.SendMany(*second) == kManyRequests);
  CHECK_EQUAL(2, servers.first.count());
}
