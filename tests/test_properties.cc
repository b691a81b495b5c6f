// What must hold in every history, over thousands of random ones.
#include <rapidcheck.h>

#include <string>

#include "tests/node_history.h"
#include "tests/resource_fixtures.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

// Fixed for the same verdict every time; printed with a failure by RapidCheck.
constexpr char kParameters[] = "seed=20261204 max_success=1500";

ResourceSet SmallRooms() {
  ResourceSet resources = MakeResources(3);
  resources.limits.max_waiting = 12;
  for (Backend& backend : resources.backends) {
    backend.max_streams = 3;
  }
  return resources;
}

std::string Join(const std::vector<std::string>& lines) {
  return lines.empty() ? "" : lines.front();
}

}  // namespace

TEST_GROUP(Properties){void setup()
                           override{setenv("RC_PARAMS", kParameters, 1);
}
}
;

TEST(Properties, HoldInRandomHistories) {
  CHECK(rc::check("random histories", [](std::uint32_t seed) {
    NodeHistory history(SmallRooms(), seed);
    for (int i = 0; i < 200; ++i) {
      history.Step();
    }
    history.Settle();
    RC_ASSERT(Join(history.breaches()) == "");
  }));
}

TEST(Properties, LowerClassesProgressUnderOverload) {
  CHECK(rc::check("overload from above", [](std::uint32_t seed) {
    NodeHistory history(SmallRooms(), seed);
    history.Overload(150);
    RC_ASSERT(Join(history.breaches()) == "");
  }));
}
