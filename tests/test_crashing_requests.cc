// Tests of requests that crash the servers that run them and come again.
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

constexpr char kDeadlyBody[] = "dead";
// Crashes after which a request must not reach servers any more, once the
// instances have told each other.
constexpr int kTellRounds = 3;
constexpr int kRounds = 10;
constexpr Duration kTimeToCrash = std::chrono::milliseconds(20);
// A request that runs for longer before it crashes its server.
constexpr Duration kSlowCrash = std::chrono::seconds(3);
constexpr auto kRound = std::chrono::milliseconds(300);

// A server that crashes, as far as its connection shows, when it begins to run
// the deadly request; each second time after the first bytes of its response.
class FragileServer {
 public:
  RawServer::Handler Handler() {
    return [this](RawConnection& connection) {
      while (const auto request = connection.ReadMessage()) {
        const std::string response = EngineResponse(*request, "done");
        if (request->ends_with(kDeadlyBody)) {
          std::this_thread::sleep_for(kTimeToCrash);
          if (++this->crash_count % 2 == 0) {
            connection.Send(response.substr(0, response.size() - 2));
          }
          connection.Reset();
          return;
        }
        connection.Send(response);
      }
    };
  }
  [[nodiscard]] int crashes() const { return this->crash_count; }

 private:
  std::atomic<int> crash_count = 0;
};

// Two gateways before five servers of the service.
class FragileFleet {
 public:
  explicit FragileFleet(const std::string& service)
      : platform(this->server.Handler()),
        first("a", platform.store.address()),
        second("b", platform.store.address(), {this->first.peers_address()}) {
    for (int i = 2; i <= 5; ++i) {
      this->others.push_back(
          std::make_unique<RawServer>(this->server.Handler()));
      this->platform.AddServer(service + "-" + std::to_string(i), service,
                               this->others.back()->address());
    }
    this->first.AwaitReady();
    this->second.AwaitReady();
    std::this_thread::sleep_for(kRound);
  }

  // Sends a request with this body to one of the gateways.
  std::string Send(const RunningGateway& gateway, const std::string& path,
                   const std::string& body) {
    return gateway.SendRequest(PlatformFixture::Request(
        path, "r" + std::to_string(++this->number), "", body));
  }
  // Sends sound and deadly requests to both; returns the number of crashes
  // after the first rounds.
  int CrashesAfterTelling(const std::string& path) {
    int first_crashes = 0;
    for (int round = 0; round < kRounds; ++round) {
      if (round == kTellRounds) {
        first_crashes = this->server.crashes();
      }
      for (const RunningGateway* gateway : {&this->first, &this->second}) {
        CHECK(this->Send(*gateway, path, "sound").starts_with("HTTP/1.1 200"));
        CHECK(!this->Send(*gateway, path, kDeadlyBody)
                   .starts_with("HTTP/1.1 200"));
      }
      std::this_thread::sleep_for(kRound);
    }
    return this->server.crashes() - first_crashes;
  }
  [[nodiscard]] const RunningGateway& second_gateway() const {
    return this->second;
  }

 private:
  FragileServer server;
  PlatformFixture platform;
  std::vector<std::unique_ptr<RawServer>> others;
  RunningGateway first;
  RunningGateway second;
  int number = 0;
};

void CheckIsRefused(const std::string& response) {
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(std::stod(HeaderValue(response, "Retry-After")) > 1);
}

}  // namespace

TEST_GROUP(CrashingRequests){};

// Guards against a request that crashes servers, and comes again at any
// instance, reaching one server after the other.
TEST(CrashingRequests, RequestThatCrashesServersIsKeptFromThemAtAllInstances) {
  FragileFleet fleet("stock");
  const int later_crashes = fleet.CrashesAfterTelling("/again/x");
  CHECK_EQUAL(0, later_crashes);
  CheckIsRefused(fleet.Send(fleet.second_gateway(), "/again/x", kDeadlyBody));
  // Another path or body is another request.
  CHECK(fleet.Send(fleet.second_gateway(), "/again/x", "other")
            .starts_with("HTTP/1.1 200"));
}

// The same for requests that must not be repeated, each of which crashes one
// server.
TEST(CrashingRequests, RequestThatMustNotRunTwiceIsKeptFromServersToo) {
  FragileFleet fleet("orders");
  const int later_crashes = fleet.CrashesAfterTelling("/once/x");
  CHECK_EQUAL(0, later_crashes);
  CheckIsRefused(fleet.Send(fleet.second_gateway(), "/once/x", kDeadlyBody));
}

// Guards against a server being crashed by an attempt that was already under
// way when the request was quarantined.
TEST(CrashingRequests, AttemptUnderWayEndsWhenItsRequestIsQuarantined) {
  std::atomic<int> requests = 0;
  const RawServer::Handler handler = [&requests](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      std::this_thread::sleep_for(++requests == 1 ? kSlowCrash : kTimeToCrash);
      connection.Reset();
      return;
    }
  };
  PlatformFixture platform(handler);
  std::vector<std::unique_ptr<RawServer>> others;
  for (const char* id : {"stock-2", "stock-3", "stock-4", "stock-5"}) {
    others.push_back(std::make_unique<RawServer>(handler));
    platform.AddServer(id, "stock", others.back()->address());
  }
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const auto slow = gateway.Connect();
  const auto start = std::chrono::steady_clock::now();
  slow->Send(PlatformFixture::Request("/again/x", "slow", "", kDeadlyBody));
  while (requests == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  for (const char* id : {"r1", "r2"}) {
    const std::string response = gateway.SendRequest(
        PlatformFixture::Request("/again/x", id, "", kDeadlyBody));
    CHECK(!response.starts_with("HTTP/1.1 200"));
  }
  const std::string response = slow->ReadMessage().value_or("");
  CHECK(response.starts_with("HTTP/1.1 502"));
  CHECK(std::chrono::steady_clock::now() - start < kSlowCrash / 2);
}
