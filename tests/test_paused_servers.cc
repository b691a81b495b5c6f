// Tests of servers that refuse a request with 503 and ask with Retry-After for
// a pause.
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/gateway_fixture.h"
#include "tests/recording_server.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Time within which a change of the directory is known.
constexpr Duration kApplyTime = milliseconds(1500);
// Time after its pause within which a server gets requests again.
constexpr Duration kReturnTime = milliseconds(1500);
constexpr Duration kRound = milliseconds(20);
constexpr int kManyRequests = 30;
constexpr int kMaxTries = 200;

std::string Serve(const std::string& request) {
  return EngineResponse(request, "done");
}

// Returns a responder that refuses requests with these header fields.
RecordingServer::Responder Refuse(const std::string& extra_fields) {
  return [extra_fields](const std::string& request) {
    return EngineResponse(request, "", "503 Service Unavailable",
                          "Rosemarycove-Not-Executed: full\r\n" + extra_fields);
  };
}

RecordingServer::Responder AskForPause(const std::string& pause) {
  return Refuse("Retry-After: " + pause + "\r\n");
}

bool Succeeded(const std::string& response) {
  return response.starts_with("HTTP/1.1 200");
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
  std::string Send(const RunningGateway& gateway) {
    return gateway.SendRequest(PlatformFixture::Request(
        "/again/x", "r" + std::to_string(++this->number)));
  }
  // Sends requests until the first server got one that it had not got before,
  // and returns when.
  TimePoint SendUntilFirstIsAsked(const RunningGateway& gateway) {
    const int before = this->first.count();
    for (int i = 0; i < kMaxTries && this->first.count() == before; ++i) {
      this->Send(gateway);
    }
    CHECK(this->first.count() > before);
    return this->first.arrivals().back();
  }
  // Sends requests until this time; returns how many failed.
  int SendUntil(const RunningGateway& gateway, TimePoint end) {
    int failed = 0;
    while (std::chrono::steady_clock::now() < end) {
      failed += Succeeded(this->Send(gateway)) ? 0 : 1;
      std::this_thread::sleep_for(kRound);
    }
    return failed;
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

TEST_GROUP(PausedServers){};

// Guards against a server getting requests while the pause lasts for which it
// asked, and against their callers being refused while another one is there.
TEST(PausedServers, GetsNothingUntilThePauseEnds) {
  Servers servers(AskForPause("1.5"));
  servers.AddSecond();
  const auto gateway = servers.StartGateway("a");
  const TimePoint asked = servers.SendUntilFirstIsAsked(*gateway);
  servers.first.Respond(Serve);
  CHECK(servers.SendUntil(*gateway, asked + milliseconds(1450)) == 0);
  CHECK_EQUAL(1, servers.first.count());
  CHECK(servers.SendUntil(*gateway, asked + milliseconds(1500) + kReturnTime) ==
        0);
  CHECK(servers.first.count() > 1);
}

// Guards against callers being told to come back before the pause of the only
// server ends, or much later.
TEST(PausedServers, CallersOfTheOnlyServerAreToldTheTrueTime) {
  Servers servers(AskForPause("2"));
  const auto gateway = servers.StartGateway("a");
  const std::string first = servers.Send(*gateway);
  const TimePoint asked = servers.first.arrivals().back();
  servers.first.Respond(Serve);
  CHECK(first.starts_with("HTTP/1.1 503"));
  CHECK(std::stod(HeaderValue(first, "Retry-After")) >= 1.9);
  CHECK(std::stod(HeaderValue(first, "Retry-After")) <= 4.5);
  std::this_thread::sleep_until(asked + seconds(1));
  const std::string second = servers.Send(*gateway);
  CHECK(second.starts_with("HTTP/1.1 503"));
  CHECK(std::stod(HeaderValue(second, "Retry-After")) >= 0.8);
  CHECK(std::stod(HeaderValue(second, "Retry-After")) <= 2.9);
  CHECK_EQUAL(1, servers.first.count());
  std::this_thread::sleep_until(asked + seconds(2) + kReturnTime);
  CHECK(Succeeded(servers.Send(*gateway)));
}

// Guards against pauses that follow each other being taken for failures, or
// only the first one being kept.
TEST(PausedServers, PausesInSeriesAreKept) {
  Servers servers(AskForPause("0.8"));
  servers.AddSecond();
  const auto gateway = servers.StartGateway("a");
  servers.SendUntilFirstIsAsked(*gateway);
  CHECK(servers.SendUntil(*gateway,
                          std::chrono::steady_clock::now() + seconds(4)) == 0);
  const std::vector<TimePoint> arrivals = servers.first.arrivals();
  for (std::size_t i = 1; i < arrivals.size(); ++i) {
    CHECK(arrivals[i] - arrivals[i - 1] >= milliseconds(795));
  }
  CHECK(arrivals.size() >= 3);
  const std::string metrics = gateway->GetStatusPage("/metrics");
  CHECK(metrics.find("rosemarycove_paused_servers") != std::string::npos);
}

// Guards against a pause that can't be read, or that is none, taking the server
// out.
TEST(PausedServers, UnreadablePauseChangesNothing) {
  for (const char* pause :
       {"0", "-1", "soon", "", "nan", "inf", "1e3", "0x10", "2 s",
        "Fri, 04 Dec 2026 10:00:00 GMT", "1,2", "2\r\nRetry-After: 2"}) {
    Servers servers(AskForPause(pause));
    const auto gateway = servers.StartGateway("a");
    servers.Send(*gateway);
    servers.first.Respond(Serve);
    CHECK_TEXT(Succeeded(servers.Send(*gateway)), pause);
  }
}

// Guards against other responses than the server's own 503 to this request
// being taken for the wish for a pause.
TEST(PausedServers, OnlyTheServersOwn503Counts) {
  const RecordingServer::Responder not_from_server =
      [](const std::string& request) {
        return "HTTP/1.1 503 Service Unavailable\r\nRosemarycove-Request-Id: " +
               HeaderValue(request, "Rosemarycove-Request-Id") +
               "\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n";
      };
  const RecordingServer::Responder success = [](const std::string& request) {
    return EngineResponse(request, "done", "200 OK", "Retry-After: 5\r\n");
  };
  const RecordingServer::Responder too_many = [](const std::string& request) {
    return EngineResponse(
        request, "", "429 Too Many Requests",
        "Rosemarycove-Not-Executed: full\r\nRetry-After: 5\r\n");
  };
  const RecordingServer::Responder other_request =
      [](const std::string& request) {
        return EngineResponse(
                   "\r\nRosemarycove-Request-Id: other\r\n\r\n", "",
                   "503 Service Unavailable",
                   "Rosemarycove-Not-Executed: full\r\nRetry-After: 5\r\n") +
               EngineResponse(request, "done");
      };
  for (const auto& responder :
       {not_from_server, success, too_many, other_request}) {
    Servers servers(responder);
    const auto gateway = servers.StartGateway("a");
    servers.Send(*gateway);
    servers.first.Respond(Serve);
    CHECK(Succeeded(servers.Send(*gateway)));
  }
}

// Guards against a server that starts again under its id being kept waiting for
// what the process before it asked.
TEST(PausedServers, RestartUnderTheSameIdEndsThePause) {
  Servers servers(AskForPause("30"));
  const auto gateway = servers.StartGateway("a");
  servers.Send(*gateway);
  servers.first.Respond(Serve);
  CHECK(!Succeeded(servers.Send(*gateway)));
  servers.PutFirst(2);
  std::this_thread::sleep_for(kApplyTime);
  CHECK(Succeeded(servers.Send(*gateway)));
}

// Guards against a pause being lifted by the store being unreadable, or by the
// entry being written again.
TEST(PausedServers, StoreDoesNotLiftThePause) {
  Servers servers(AskForPause("6"));
  servers.AddSecond();
  const auto gateway = servers.StartGateway("a");
  const TimePoint asked = servers.SendUntilFirstIsAsked(*gateway);
  servers.PutFirst();
  std::this_thread::sleep_for(kApplyTime);
  servers.platform.store.SetFault(StoreFault::kUnavailable);
  CHECK(servers.SendUntil(*gateway, asked + seconds(4)) == 0);
  CHECK_EQUAL(1, servers.first.count());
  servers.platform.store.SetFault(StoreFault::kNone);
}

// Guards against an instance that was not asked for a pause keeping one, and
// against one that was asked not keeping it.
TEST(PausedServers, EachInstanceKeepsThePauseThatItWasAskedFor) {
  Servers servers(AskForPause("5"));
  servers.AddSecond();
  const auto first = servers.StartGateway("a");
  const auto second = servers.StartGateway("b");
  servers.SendUntilFirstIsAsked(*first);
  servers.first.Respond(Serve);
  servers.SendUntilFirstIsAsked(*second);
  const int before = servers.first.count();
  for (int i = 0; i < kManyRequests; ++i) {
    CHECK(Succeeded(servers.Send(*first)));
  }
  CHECK_EQUAL(before, servers.first.count());
}
