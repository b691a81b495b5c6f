// Several nodes that share backend servers, under cuts, kills and pauses.
#include <rapidcheck.h>

#include <string>

#include "core/scheduler_assignment.h"
#include "tests/fleet_history.h"
#include "tests/resource_fixtures.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

// Fixed for the same verdict every time; printed with a failure by RapidCheck.
constexpr char kParameters[] = "seed=20261204 max_success=1500";

ResourceSet FewSlots() {
  ResourceSet resources = MakeResources(3);
  resources.limits.max_waiting = 20;
  for (Backend& backend : resources.backends) {
    backend.max_streams = 4;
  }
  return resources;
}

// Runs histories with the faults given; true when nothing broke.
bool Holds(const std::string& what, FleetFaults faults) {
  return rc::check(what, [faults](std::uint32_t seed) {
    FleetHistory history(FewSlots(), 4, faults, seed);
    for (int i = 0; i < 300; ++i) {
      history.Step();
    }
    history.Settle();
    const std::string first =
        history.breaches().empty() ? "" : history.breaches().front();
    RC_ASSERT(first == "");
  });
}

}  // namespace

TEST_GROUP(Fleet){void setup() override{setenv("RC_PARAMS", kParameters, 1);
}
}
;

TEST(Fleet, SharesEnginesWithoutFaults) { CHECK(Holds("no faults", {})); }

TEST(Fleet, HoldsUnderCuts) { CHECK(Holds("cuts", {.cuts = true})); }

TEST(Fleet, HoldsUnderKills) { CHECK(Holds("kills", {.kills = true})); }

TEST(Fleet, HoldsUnderPauses) { CHECK(Holds("pauses", {.pauses = true})); }

TEST(Fleet, HoldsUnderAllTogether) {
  CHECK(Holds("all", {.cuts = true, .kills = true, .pauses = true}));
}

TEST(Fleet, ALeavingInstanceMovesOnlyItsOwnGroups) {
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
