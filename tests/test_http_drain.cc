// Tests of the shutdown of `serve`: each request that was read is answered.
#include <chrono>
#include <thread>

#include "tests/http_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

TEST_GROUP(HttpDrain){};

// Guards against requests that get no response when the time for the shutdown
// runs out, or one that says "not run" although they may have run.
TEST(HttpDrain, RequestThatIsCutOffIsAnswered) {
  HttpFixture fixture(1);
  constexpr int kManyTokens = 20000;
  CallResult result;
  std::thread caller([&] {
    result = fixture.Chat(HttpFixture::ChatBody(false, kManyTokens));
  });
  CHECK(fixture.AwaitCounter("arrived", 1));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(!fixture.instance->Drain([] { return true; }));
  caller.join();
  CHECK(!result.transport_failed);
  LONGS_EQUAL(502, result.status);
  STRCMP_EQUAL("unknown", result.Header("X-Outcome").c_str());
}
