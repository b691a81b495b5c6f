// Tests of servers that name in their responses the rate of requests that they
// accept from all instances together.
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
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

constexpr double kLimit = 2;
constexpr Duration kWindow = seconds(4);
// Requests that the server may get in a window: one and a half times the limit,
// and five more.
constexpr int kMaxInWindow = 17;
constexpr Duration kRound = milliseconds(50);

// Names a limit while it is in need, and records when requests arrive.
class LimitedServer {
 public:
  RawServer::Handler Handler() {
    return [this](RawConnection& connection) {
      while (const auto request = connection.ReadMessage()) {
        {
          const std::lock_guard lock(this->mutex);
          this->times.push_back(std::chrono::steady_clock::now());
        }
        connection.Send(EngineResponse(
            *request, "done", "200 OK",
            this->in_need ? "Server-Limit: " + std::to_string(kLimit) + "\r\n"
                          : ""));
      }
    };
  }
  void SetInNeed(bool value) { this->in_need = value; }
  [[nodiscard]] std::vector<TimePoint> Arrivals() {
    const std::lock_guard lock(this->mutex);
    return this->times;
  }

 private:
  std::atomic<bool> in_need = true;
  std::mutex mutex;
  std::vector<TimePoint> times;
};

// Returns the largest number of arrivals from `start` on within kWindow.
int MaxInWindow(const std::vector<TimePoint>& arrivals, TimePoint start) {
  std::ptrdiff_t most = 0;
  for (const TimePoint begin : arrivals) {
    if (begin >= start) {
      most = std::max(most, std::count_if(arrivals.begin(), arrivals.end(),
                                          [begin](TimePoint at) {
                                            return at >= begin &&
                                                   at < begin + kWindow;
                                          }));
    }
  }
  return static_cast<int>(most);
}

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

  // Sends requests to all gateways for this time; returns their responses.
  std::vector<std::string> SendFor(Duration duration) {
    std::vector<std::string> responses;
    const TimePoint end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
      for (const RunningGateway* gateway : this->gateways) {
        responses.push_back(gateway->SendRequest(PlatformFixture::Request(
            "/again/x", "r" + std::to_string(++this->number))));
      }
      std::this_thread::sleep_for(kRound);
    }
    return responses;
  }

 private:
  RunningGateway first;
  RunningGateway second;
  RunningGateway third;
  std::array<const RunningGateway*, 3> gateways = {&first, &second, &third};
  int number = 0;
};

std::ptrdiff_t CountSucceeded(const std::vector<std::string>& responses) {
  return std::count_if(responses.begin(), responses.end(),
                       [](const std::string& response) {
                         return response.starts_with("HTTP/1.1 200");
                       });
}

}  // namespace

TEST_GROUP(LimitedServers){};

// Guards against a server getting more requests than the limit that it names,
// since instances don't read it or each keep to it alone.
TEST(LimitedServers, InstancesTogetherKeepToTheLimitThatAServerNames) {
  LimitedServer server;
  PlatformFixture platform(server.Handler());
  Fleet fleet(platform);
  const TimePoint start = std::chrono::steady_clock::now();
  const std::vector<std::string> responses = fleet.SendFor(seconds(9));
  const TimePoint told = start + milliseconds(500);
  const std::vector<TimePoint> arrivals = server.Arrivals();
  CHECK(MaxInWindow(arrivals, told) <= kMaxInWindow);
  // The limit is used.
  const auto used = std::count_if(arrivals.begin(), arrivals.end(),
                                  [told](TimePoint at) { return at >= told; });
  CHECK(used >= kLimit * ToSeconds(kWindow));
  for (const std::string& response : responses) {
    if (!response.starts_with("HTTP/1.1 200")) {
      CHECK(response.starts_with("HTTP/1.1 503"));
      CHECK(std::stod(HeaderValue(response, "Retry-After")) > 0);
    }
  }

  server.SetInNeed(false);
  fleet.SendFor(seconds(4));
  const std::vector<std::string> later = fleet.SendFor(seconds(1));
  CHECK_EQUAL(static_cast<std::ptrdiff_t>(later.size()), CountSucceeded(later));
}

// Guards against requests being refused because of a limit that another server
// of the service does not have.
TEST(LimitedServers, RequestsBeyondTheLimitGoToAnotherServer) {
  LimitedServer limited;
  LimitedServer free;
  free.SetInNeed(false);
  PlatformFixture platform(limited.Handler());
  const RawServer other(free.Handler());
  platform.AddServer("stock-2", "stock", other.address());
  Fleet fleet(platform);
  const TimePoint start = std::chrono::steady_clock::now();
  const std::vector<std::string> responses = fleet.SendFor(seconds(6));
  CHECK(MaxInWindow(limited.Arrivals(), start + milliseconds(500)) <=
        kMaxInWindow);
  CHECK_EQUAL(static_cast<std::ptrdiff_t>(responses.size()),
              CountSucceeded(responses));
}
