// Tests of connections that clients open and don't use.
#include <chrono>

#include "tests/limited_gateway.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

// More than the gateway accepts with its limit on descriptors.
constexpr int kClients = 300;
// Longer than an ordinary caller tries to be served.
constexpr std::chrono::milliseconds kIdleTimeout{600000};

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
