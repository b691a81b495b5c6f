// Checks the invariants of a node over thousands of random histories.
#include <rapidcheck.h>

#include <string>

#include "tests/node_history.h"
#include "tests/resource_fixtures.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

// A fixed seed makes the result reproducible. RapidCheck prints the parameters
// of a failure.
constexpr char kRapidCheckParameters[] = "seed=20261204 max_success=1500";

ResourceSet ResourcesWithSmallQueues() {
  ResourceSet resources = MakeResources(3);
  resources.limits.max_waiting = 12;
  for (Backend& backend : resources.backends) {
    backend.max_streams = 3;
  }
  return resources;
}

std::string FirstOf(const std::vector<std::string>& lines) {
  return lines.empty() ? "" : lines.front();
}

}  // namespace

TEST_GROUP(Properties){
    void setup() override{setenv("RC_PARAMS", kRapidCheckParameters, 1);
}
}
;

TEST(Properties, InvariantsHoldInRandomHistories) {
  CHECK(rc::check("random histories", [](std::uint32_t seed) {
    NodeHistory history(ResourcesWithSmallQueues(), seed);
    for (int i = 0; i < 200; ++i) {
      history.Step();
    }
    history.Settle();
    RC_ASSERT(FirstOf(history.violations()) == "");
  }));
}

TEST(Properties, LowerClassesGetTheirShareUnderOverload) {
  CHECK(rc::check("overload from a higher tier", [](std::uint32_t seed) {
    NodeHistory history(ResourcesWithSmallQueues(), seed);
    history.Overload(150);
    RC_ASSERT(FirstOf(history.violations()) == "");
  }));
}
