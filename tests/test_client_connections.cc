// Tests of connections that clients open and don't use, and of requests whose
// callers have left.
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "tests/gateway_fixture.h"
#include "tests/limited_gateway.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

// More than the gateway accepts with its limit on descriptors.
constexpr int kClients = 300;
constexpr int kCallersThatLeave = 30;
// Longer than an ordinary caller tries to be served.
constexpr std::chrono::milliseconds kIdleTimeout{600000};
// A few requests may cross the end of their connection.
constexpr int kMaxRunAfterLeaving = 5;
constexpr char kLeftId[] = "left-";

// Counts the requests of callers that have left, and answers all.
RawServer::Handler CountLeft(std::atomic<int>& count) {
  return [&count](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      if (request->find(kLeftId) != std::string::npos) {
        ++count;
      }
      connection.Send(EngineResponse(*request, "done"));
    }
  };
}

// Sends requests with bodies of this size whose callers leave at once.
void SendAndLeave(const LimitedGateway& gateway, std::size_t body_bytes) {
  std::vector<std::unique_ptr<RawConnection>> callers;
  for (int i = 0; i < kCallersThatLeave; ++i) {
    callers.push_back(gateway.Connect());
    callers.back()->Send(
        PlatformFixture::Request("/ordinary/", kLeftId + std::to_string(i), "",
                                 std::string(body_bytes, 'x')));
  }
}

}  // namespace

TEST_GROUP(ClientConnections){};

// Idle connections kept all others out until their idle timeout.
TEST(ClientConnections, IdleOnes) {
  LimitedGateway gateway(AnswerRequests, {.idle_timeout = kIdleTimeout});
  gateway.CheckSurvives({.clients = kClients, .is_silent = true});
}

// The same for connections on which a head has begun.
TEST(ClientConnections, OnesWithIncompleteHeads) {
  LimitedGateway gateway(AnswerRequests);
  gateway.CheckSurvives({.fields = "X-Field: ", .clients = kClients});
}

// The same where other instances relay requests.
TEST(ClientConnections, IdleOnesOfInstances) {
  LimitedGateway gateway(AnswerRequests, {.idle_timeout = kIdleTimeout});
  const Crowd crowd = gateway.SendCrowd(
      {.clients = kClients, .through_relay = true, .is_silent = true});
  const Crowd first_caller =
      gateway.SendCrowd({.clients = 1, .is_silent = true});
  gateway.CheckServes();
}

// Requests that waited in the listen queue ran after their callers had left.
TEST(ClientConnections, CallersThatLeaveTheListenQueue) {
  std::atomic<int> run_after_leaving = 0;
  std::atomic<bool> is_released = false;
  LimitedGateway gateway(AnswerWhen(is_released), {},
                         CountLeft(run_after_leaving));
  const FlagOnExit end(is_released);
  // All connections have a request that a server works on.
  const Crowd crowd = gateway.SendCrowd({.fields = LengthField(1),
                                         .body = "x",
                                         .clients = kClients,
                                         .all_whole = true});
  SendAndLeave(gateway, 1);
  is_released = true;
  gateway.CheckServes();
  CHECK_COMPARE(run_after_leaving.load(), <=, kMaxRunAfterLeaving);
}

// The same for requests that waited for memory.
TEST(ClientConnections, CallersThatLeaveWhileTheyWaitForMemory) {
  constexpr int kLargeBodies = 20;
  constexpr int kSmallerBodies = 15;
  constexpr std::size_t kSmallerBytes = 100 * kKilobyte;
  std::atomic<int> run_after_leaving = 0;
  std::atomic<bool> is_released = false;
  LimitedGateway gateway(AnswerWhen(is_released), {},
                         CountLeft(run_after_leaving));
  const FlagOnExit end(is_released);
  // The server works on as many large bodies as there is memory for, and on
  // smaller ones that use the rest.
  const Crowd large = gateway.SendCrowd({.fields = LengthField(kMegabyte),
                                         .body = std::string(kMegabyte, 'x'),
                                         .clients = kLargeBodies,
                                         .all_whole = true});
  const Crowd smaller =
      gateway.SendCrowd({.fields = LengthField(kSmallerBytes),
                         .body = std::string(kSmallerBytes, 'x'),
                         .clients = kSmallerBodies,
                         .all_whole = true});
  SendAndLeave(gateway, kSmallerBytes);
  is_released = true;
  gateway.CheckServes();
  CHECK_COMPARE(run_after_leaving.load(), <=, kMaxRunAfterLeaving);
}
