// Tests of requests whose prompts crash the engines that answer them.
#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

// An engine that crashes, as far as its connection shows, when it begins to
// answer a prompt with the part "dead".
class FragileEngine {
 public:
  RawServer::Handler Handler() {
    return [this](RawConnection& connection) {
      while (const auto request = connection.ReadMessage()) {
        connection.Send(StreamResponseHead(*request));
        if (HeaderValue(*request, "Rosemarycove-Prefix-Hash").find("dead:") !=
            std::string::npos) {
          ++this->crash_count;
          connection.Reset();
          return;
        }
        connection.Send(Chunk("id: 1\ndata: a\n\n") + std::string("0\r\n\r\n"));
      }
    };
  }
  [[nodiscard]] int crashes() const { return this->crash_count; }

 private:
  std::atomic<int> crash_count = 0;
};

// Returns a request whose prompt has these parts and one of its own.
std::string Prompt(int number, const std::string& shared_parts) {
  return PlatformFixture::Request(
      "/stream/x", "r" + std::to_string(number),
      "Rosemarycove-Token-Count: 100,8\r\nRosemarycove-Prefix-Hash: " +
          shared_parts + ",f" + std::to_string(number) + ":10\r\n" +
          "Connection: close\r\n");
}

bool IsComplete(const std::string& response) {
  return response.starts_with("HTTP/1.1 200") &&
         response.ends_with("0\r\n\r\n");
}

// Sends a request and returns all that the caller gets.
std::string SendTo(const RunningGateway& gateway, const std::string& request) {
  const auto caller = gateway.Connect();
  caller->Send(request);
  return caller->ReadToEnd();
}

}  // namespace

TEST_GROUP(CrashingPrompts){};

// Guards against requests with one part in their prompts crashing engines one
// after the other, whatever instance they arrive at, and against sound requests
// being refused because they share the other parts.
TEST(CrashingPrompts, PartThatCrashesEnginesIsKeptFromThemAtAllInstances) {
  constexpr int kRounds = 10;
  // Rounds in which engines may crash: five crashes, and the time in which the
  // instances tell each other.
  constexpr int kFirstRounds = 3;
  FragileEngine engine;
  PlatformFixture platform(engine.Handler());
  std::vector<std::unique_ptr<RawServer>> others;
  for (const char* id : {"engine-2", "engine-3", "engine-4", "engine-5"}) {
    others.push_back(std::make_unique<RawServer>(engine.Handler()));
    platform.AddServer(id, "model", others.back()->address());
  }
  const RunningGateway first("a", platform.store.address());
  first.AwaitReady();
  const RunningGateway second("b", platform.store.address(),
                              {first.peers_address()});
  second.AwaitReady();
  int number = 0;
  int first_crashes = 0;
  for (int round = 0; round < kRounds; ++round) {
    if (round == kFirstRounds) {
      first_crashes = engine.crashes();
    }
    for (const RunningGateway* gateway : {&first, &second}) {
      CHECK(IsComplete(SendTo(*gateway, Prompt(++number, "aa:50,bb:20"))));
      CHECK(!IsComplete(
          SendTo(*gateway, Prompt(++number, "aa:50,bb:20,dead:20"))));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  CHECK_EQUAL(first_crashes, engine.crashes());
  const std::string response =
      SendTo(second, Prompt(++number, "aa:50,dead:20"));
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(std::stod(HeaderValue(response, "Retry-After")) > 1);
}
