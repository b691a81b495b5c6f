// Tests of configurations while the store doesn't serve the instances that wait
// for changes there.
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kInstances = 6;
// Time within which a configuration is in force while the store turns
// instances away.
constexpr milliseconds kBound(7000);

// Instances of one data centre, each with its own way to the store.
class Fleet {
 public:
  Fleet()
      : platform([](RawConnection& connection) {
          while (const auto request = connection.ReadMessage()) {
            connection.Send(EngineResponse(*request, "x"));
          }
        }) {
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < kInstances; ++i) {
      this->fronts.push_back(
          std::make_unique<StoreFront>(this->platform.store));
      this->gateways.push_back(std::make_unique<RunningGateway>(
          std::string(1, static_cast<char>('a' + i)),
          this->fronts.back()->address(), seeds));
      seeds = {this->gateways.front()->peers_address()};
    }
    for (const auto& gateway : this->gateways) {
      gateway->AwaitReady();
    }
    // Ends the waits that began before the instances knew each other.
    std::this_thread::sleep_for(milliseconds(1500));
    this->platform.PutConfiguration(2);
    std::this_thread::sleep_for(milliseconds(1500));
  }

  // Disturbs the store for the instances that wait there for configurations.
  // Returns how many there are.
  std::size_t DisturbWatchers(StoreFault fault) {
    std::size_t count = 0;
    for (const auto& front : this->fronts) {
      if (front->open_watches("op/") > 0) {
        front->SetFault(fault);
        ++count;
      }
    }
    return count;
  }

  // Returns whether all instances refuse the customer's key within the bound.
  bool RefuseTheKeyInTime() {
    this->platform.PutConfiguration(3, true);
    const auto end = Clock::now() + kBound;
    for (const auto& gateway : this->gateways) {
      while (!gateway->SendRequest(PlatformFixture::Request("/once/x", "r1"))
                  .starts_with("HTTP/1.1 401")) {
        if (Clock::now() > end) {
          return false;
        }
        std::this_thread::sleep_for(milliseconds(20));
      }
    }
    return true;
  }

  PlatformFixture platform;
  std::vector<std::unique_ptr<StoreFront>> fronts;
  std::vector<std::unique_ptr<RunningGateway>> gateways;
};

// Checks that a dropped key is refused in time by all instances, although the
// store has this fault for those that wait there for changes.
void CheckKeyIsRefused(StoreFault fault) {
  Fleet fleet;
  const std::size_t disturbed = fleet.DisturbWatchers(fault);
  CHECK(disturbed > 0);
  CHECK(disturbed < kInstances);
  CHECK(fleet.RefuseTheKeyInTime());
}

}  // namespace

TEST_GROUP(RefusedWatchers){};

// Guards against a dropped key that stays in force, since the few instances
// that wait for changes of the configuration are turned away by the store.
TEST(RefusedWatchers, DroppedKeyIsRefusedIfTheyAreTurnedAway) {
  CheckKeyIsRefused(StoreFault::kUnavailable);
}

// The same if their connections are reset.
TEST(RefusedWatchers, DroppedKeyIsRefusedIfTheyAreReset) {
  CheckKeyIsRefused(StoreFault::kReset);
}

// The same if their calls hang, which looks like a wait without a change.
TEST(RefusedWatchers, DroppedKeyIsRefusedIfTheirCallsHang) {
  CheckKeyIsRefused(StoreFault::kSilent);
}

// Guards against a takeover that happens once only: the instances that take
// over lose the store in turn.
TEST(RefusedWatchers, DroppedKeyIsRefusedIfTheirSuccessorsAreTurnedAwayToo) {
  Fleet fleet;
  std::size_t disturbed = fleet.DisturbWatchers(StoreFault::kUnavailable);
  std::this_thread::sleep_for(milliseconds(2500));
  for (std::size_t i = 0; i < kInstances && disturbed + 1 < kInstances; ++i) {
    fleet.fronts[i]->SetFault(StoreFault::kUnavailable);
    disturbed = 0;
    for (const auto& front : fleet.fronts) {
      disturbed += front->is_disturbed() ? 1U : 0U;
    }
  }
  CHECK(fleet.RefuseTheKeyInTime());
}

// Guards against instances that stay turned away and take calls without end, or
// others that all read the store afterwards.
TEST(RefusedWatchers, FewInstancesReadTheConfigurationAfterwards) {
  Fleet fleet;
  fleet.DisturbWatchers(StoreFault::kUnavailable);
  CHECK(fleet.RefuseTheKeyInTime());
  for (const auto& front : fleet.fronts) {
    front->SetFault(StoreFault::kNone);
  }
  std::this_thread::sleep_for(milliseconds(4000));
  const auto count = [&fleet] {
    return fleet.platform.store.call_count("/kv-watch", "op/") +
           fleet.platform.store.call_count("/kv-range", "op/");
  };
  const int calls = count();
  std::this_thread::sleep_for(milliseconds(2000));
  // The reader of the directory waits for a second at a time, the other
  // watcher for longer.
  CHECK(count() - calls <= 4);
}
