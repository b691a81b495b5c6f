// Tests of gateways with a server that falls over if it has to reject many
// requests within a second.
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// As registered by the fixture.
constexpr int kSlots = 8;
constexpr int kTolerated = 3;
constexpr int kBursts = 6;
constexpr int kRequestsPerGateway = 8;
constexpr Duration kServiceTime = milliseconds(200);

// Runs as many requests as it has slots, rejects all others, and says which
// number of rejections in a second it tolerates.
class BrittleServer {
 public:
  RawServer::Handler Handler() {
    return [this](RawConnection& connection) {
      while (const auto request = connection.ReadMessage()) {
        const std::string field =
            this->says_so
                ? "Server-Brittle: " + std::to_string(kTolerated) + "\r\n"
                : "";
        if (++this->running > kSlots) {
          --this->running;
          {
            const std::lock_guard lock(this->mutex);
            this->rejections.push_back(std::chrono::steady_clock::now());
          }
          connection.Send(
              EngineResponse(*request, "", "503 Service Unavailable",
                             "Rosemarycove-Not-Executed: full\r\n" + field));
          continue;
        }
        std::this_thread::sleep_for(kServiceTime);
        --this->running;
        connection.Send(EngineResponse(*request, "done", "200 OK", field));
      }
    };
  }
  void SetBrittle(bool value) { this->says_so = value; }
  // Returns the largest number of rejections within a second.
  int MaxRejections() {
    const std::lock_guard lock(this->mutex);
    std::ptrdiff_t most = 0;
    for (const TimePoint begin : this->rejections) {
      most = std::max(
          most, std::count_if(this->rejections.begin(), this->rejections.end(),
                              [begin](TimePoint at) {
                                return at >= begin && at < begin + seconds(1);
                              }));
    }
    return static_cast<int>(most);
  }

 private:
  std::atomic<bool> says_so = true;
  std::atomic<int> running = 0;
  std::mutex mutex;
  std::vector<TimePoint> rejections;
};

// Three gateways that know each other.
class Fleet {
 public:
  explicit Fleet(PlatformFixture& platform)
      : first("a", platform.store.address()),
        second("b", platform.store.address(), {this->first.peers_address()}),
        third("c", platform.store.address(), {this->first.peers_address()}) {
    for (const RunningGateway* gateway : this->gateways) {
      gateway->AwaitReady();
    }
    std::this_thread::sleep_for(milliseconds(300));
  }

  std::string Send(const RunningGateway& gateway) {
    return gateway.SendRequest(PlatformFixture::Request(
        "/again/x", "r" + std::to_string(++this->number)));
  }
  // Sends many requests to all gateways at once; returns their responses.
  std::vector<std::string> SendBurst() {
    std::mutex mutex;
    std::vector<std::string> responses;
    std::vector<std::thread> callers;
    for (const RunningGateway* gateway : this->gateways) {
      for (int i = 0; i < kRequestsPerGateway; ++i) {
        callers.emplace_back([&, gateway] {
          std::string response = this->Send(*gateway);
          const std::lock_guard lock(mutex);
          responses.push_back(std::move(response));
        });
      }
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    return responses;
  }
  RunningGateway& one() { return this->first; }

 private:
  RunningGateway first;
  RunningGateway second;
  RunningGateway third;
  std::array<const RunningGateway*, 3> gateways = {&first, &second, &third};
  std::atomic<int> number = 0;
};

bool Succeeded(const std::string& response) {
  return response.starts_with("HTTP/1.1 200");
}

}  // namespace

TEST_GROUP(OverrunServers){};

// Guards against a server that falls over since several instances send it more
// than it has room for.
TEST(OverrunServers, BurstsAtAllInstancesFellNoBrittleServer) {
  BrittleServer server;
  PlatformFixture platform(server.Handler());
  Fleet fleet(platform);
  // One instance learns it and tells the others.
  CHECK(Succeeded(fleet.Send(fleet.one())));
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(fleet.one()
            .GetStatusPage("/metrics")
            .find("rosemarycove_brittle_servers 1") != std::string::npos);
  std::ptrdiff_t served = 0;
  for (int burst = 0; burst < kBursts; ++burst) {
    const std::vector<std::string> responses = fleet.SendBurst();
    served += std::count_if(responses.begin(), responses.end(), Succeeded);
    for (const std::string& response : responses) {
      if (!Succeeded(response)) {
        CHECK(response.starts_with("HTTP/1.1 503"));
        CHECK(std::stod(HeaderValue(response, "Retry-After")) > 0);
      }
    }
  }
  CHECK(server.MaxRejections() <= kTolerated);
  CHECK(served >= kBursts * kSlots / 2);

  server.SetBrittle(false);
  CHECK(Succeeded(fleet.Send(fleet.one())));
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(fleet.one()
            .GetStatusPage("/metrics")
            .find("rosemarycove_brittle_servers 0") != std::string::npos);
}
