// Tests of several nodes that share backend servers, under link losses, crashes
// and pauses.
#include <rapidcheck.h>

#include <string>

#include "core/scheduler_assignment.h"
#include "tests/fleet_history.h"
#include "tests/resource_fixtures.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

// A fixed seed makes the result reproducible. RapidCheck prints the parameters
// of a failure.
constexpr char kRapidCheckParameters[] = "seed=20261204 max_success=1500";

ResourceSet ResourcesWithFewSlots() {
  ResourceSet resources = MakeResources(3);
  resources.limits.max_waiting = 20;
  for (Backend& backend : resources.backends) {
    backend.max_streams = 4;
  }
  return resources;
}

// Runs histories with these faults. Returns true if no invariant was violated.
bool InvariantsHold(const std::string& what, FleetFaults faults) {
  return rc::check(what, [faults](std::uint32_t seed) {
    FleetHistory history(ResourcesWithFewSlots(), 4, faults, seed);
    for (int i = 0; i < 300; ++i) {
      history.Step();
    }
    history.Settle();
    const std::string first =
        history.violations().empty() ? "" : history.violations().front();
    RC_ASSERT(first == "");
  });
}

}  // namespace

TEST_GROUP(Fleet){void setup()
                      override{setenv("RC_PARAMS", kRapidCheckParameters, 1);
}
}
;

TEST(Fleet, InvariantsHoldWithoutFaults) {
  CHECK(InvariantsHold("no faults", {}));
}

TEST(Fleet, InvariantsHoldUnderLinkLosses) {
  CHECK(InvariantsHold("link losses", {.link_losses = true}));
}

TEST(Fleet, InvariantsHoldUnderCrashes) {
  CHECK(InvariantsHold("crashes", {.crashes = true}));
}

TEST(Fleet, InvariantsHoldUnderPauses) {
  CHECK(InvariantsHold("pauses", {.pauses = true}));
}

TEST(Fleet, InvariantsHoldUnderAllFaults) {
  CHECK(InvariantsHold("all",
                       {.link_losses = true, .crashes = true, .pauses = true}));
}

TEST(Fleet, RemovedInstanceMovesOnlyItsOwnGroups) {
  SchedulerAssignment before("a");
  SchedulerAssignment after("a");
  for (const char* peer : {"b", "c", "d"}) {
    before.AddPeer(peer);
    after.AddPeer(peer);
  }
  after.RemovePeer("d");
  int moved = 0;
  for (std::uint32_t group = 0; group < 100; ++group) {
    const std::string was = before.SchedulerOf("models/m", group);
    if (was != "d") {
      STRCMP_EQUAL(was.c_str(), after.SchedulerOf("models/m", group).c_str());
    } else {
      ++moved;
    }
  }
  CHECK(moved > 10 && moved < 45);
}
