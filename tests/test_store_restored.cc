// Tests of a store that comes back from a copy some seconds old, so that it has
// lost acknowledged writes and gives out their revisions again.
#include <chrono>
#include <string>
#include <thread>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

// Time within which a change must be in force.
constexpr auto kApplyTime = std::chrono::seconds(2);
constexpr int kLostWrites = 50;

RawServer::Handler AnsweringEngine() {
  return [](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineResponse(*request, "done"));
    }
  };
}

// A platform whose store has lost many writes.
class RestoredPlatform {
 public:
  // Saves the copy, and makes writes that will be lost.
  void LoseFromHere() {
    this->platform.store.SaveCopy();
    for (int i = 0; i < kLostWrites; ++i) {
      this->platform.store.Put("servers/other", std::to_string(i));
    }
  }
  // Returns the status line's code of a request to the service of this path.
  static std::string StatusOf(const RunningGateway& gateway,
                              const std::string& path) {
    const std::string response =
        gateway.SendRequest(PlatformFixture::Request(path, "r"));
    return response.substr(response.find(' ') + 1, 3);
  }

  PlatformFixture platform{AnsweringEngine()};
};

}  // namespace

TEST_GROUP(StoreRestored){};

// Guards against configurations being ignored since their revisions are lower
// than those that the store gave out before it came back from a copy.
TEST(StoreRestored, ConfigurationWrittenAfterwardsIsInForce) {
  RestoredPlatform restored;
  const RunningGateway gateway("a", restored.platform.store.address());
  gateway.AwaitReady();
  restored.LoseFromHere();
  restored.platform.PutConfiguration(2);
  std::this_thread::sleep_for(kApplyTime);
  STRCMP_EQUAL("200", restored.StatusOf(gateway, "/again/x").c_str());
  restored.platform.store.RestoreCopy();
  // The operator writes the lost version again, and one that revokes the key.
  restored.platform.PutConfiguration(2);
  restored.platform.PutConfiguration(3, true);
  std::this_thread::sleep_for(kApplyTime);
  STRCMP_EQUAL("401", restored.StatusOf(gateway, "/again/x").c_str());
}

// Guards against a version that was in force being replaced by the older one
// that the copy has, at any instance.
TEST(StoreRestored, LostConfigurationStaysInForceAndReachesNewInstances) {
  RestoredPlatform restored;
  const RunningGateway first("a", restored.platform.store.address());
  first.AwaitReady();
  restored.LoseFromHere();
  restored.platform.PutConfiguration(2, true);
  std::this_thread::sleep_for(kApplyTime);
  restored.platform.store.RestoreCopy();
  std::this_thread::sleep_for(kApplyTime);
  const RunningGateway second("b", restored.platform.store.address(),
                              {first.peers_address()});
  second.AwaitReady();
  std::this_thread::sleep_for(kApplyTime);
  STRCMP_EQUAL("401", restored.StatusOf(first, "/again/x").c_str());
  STRCMP_EQUAL("401", restored.StatusOf(second, "/again/x").c_str());
}

// Guards against registrations being ignored since their revisions are lower
// than those that the store gave out before.
TEST(StoreRestored, ServerThatDrainsAfterwardsGetsNoRequests) {
  RestoredPlatform restored;
  const RunningGateway gateway("a", restored.platform.store.address());
  gateway.AwaitReady();
  restored.LoseFromHere();
  std::this_thread::sleep_for(kApplyTime);
  restored.platform.store.RestoreCopy();
  restored.platform.AddServer("stock-1", "stock",
                              restored.platform.engine.address(), "draining");
  std::this_thread::sleep_for(kApplyTime);
  STRCMP_EQUAL("503", restored.StatusOf(gateway, "/again/x").c_str());
}

// Guards against a server getting requests again since the store lost that it
// drains, or that it is gone.
TEST(StoreRestored, ServerThatWasSeenToLeaveGetsNoRequestsAgain) {
  RestoredPlatform restored;
  const RunningGateway gateway("a", restored.platform.store.address());
  gateway.AwaitReady();
  restored.LoseFromHere();
  restored.platform.AddServer("stock-1", "stock",
                              restored.platform.engine.address(), "draining");
  restored.platform.store.Remove("servers/orders-1");
  std::this_thread::sleep_for(kApplyTime);
  restored.platform.store.RestoreCopy();
  std::this_thread::sleep_for(kApplyTime);
  STRCMP_EQUAL("503", restored.StatusOf(gateway, "/again/x").c_str());
  STRCMP_EQUAL("503", restored.StatusOf(gateway, "/once/x").c_str());
  // A process that begins afterwards is another one.
  restored.platform.AddServer("stock-1", "stock",
                              restored.platform.engine.address(), "ready", 2);
  std::this_thread::sleep_for(kApplyTime);
  STRCMP_EQUAL("200", restored.StatusOf(gateway, "/again/x").c_str());
}

// Guards against a version that the store has lost being replaced, at any
// instance, by one between it and that of the copy.
TEST(StoreRestored, VersionsBelowTheLostOneDoNotComeIntoForce) {
  RestoredPlatform restored;
  const RunningGateway first("a", restored.platform.store.address());
  first.AwaitReady();
  restored.LoseFromHere();
  restored.platform.PutConfiguration(5, true);
  std::this_thread::sleep_for(kApplyTime);
  restored.platform.store.RestoreCopy();
  const RunningGateway second("b", restored.platform.store.address(),
                              {first.peers_address()});
  second.AwaitReady();
  // The operator writes again what was lost.
  restored.platform.PutConfiguration(4);
  std::this_thread::sleep_for(kApplyTime);
  STRCMP_EQUAL("401", restored.StatusOf(first, "/again/x").c_str());
  STRCMP_EQUAL("401", restored.StatusOf(second, "/again/x").c_str());
  restored.platform.PutConfiguration(5, true);
  restored.platform.PutConfiguration(6);
  std::this_thread::sleep_for(kApplyTime);
  STRCMP_EQUAL("200", restored.StatusOf(first, "/again/x").c_str());
  STRCMP_EQUAL("200", restored.StatusOf(second, "/again/x").c_str());
}

// Guards against an instance that reaches only a part of the store which still
// has the state of before keeping that state, or passing it on.
TEST(StoreRestored, InstanceThatReadsTheLostStateFollowsTheOthers) {
  RestoredPlatform restored;
  PlatformFixture before(AnsweringEngine());
  const RunningGateway first("a", restored.platform.store.address());
  first.AwaitReady();
  restored.platform.store.SaveCopy();
  restored.platform.store.RestoreCopy();
  restored.platform.PutConfiguration(3);
  restored.platform.AddServer("stock-1", "stock",
                              restored.platform.engine.address(), "draining");
  for (int i = 0; i < kLostWrites; ++i) {
    before.store.Put("servers/other", std::to_string(i));
  }
  before.PutConfiguration(2, true);
  const RunningGateway second("b", before.store.address(),
                              {first.peers_address()});
  second.AwaitReady();
  std::this_thread::sleep_for(kApplyTime);
  for (const RunningGateway* gateway : {&first, &second}) {
    STRCMP_EQUAL("503", restored.StatusOf(*gateway, "/again/x").c_str());
    STRCMP_EQUAL("200", restored.StatusOf(*gateway, "/once/x").c_str());
  }
}
