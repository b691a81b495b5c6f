// Tests of requests to `serve` whose JSON is nested deeply.
#include <string>

#include "tests/http_fixture.h"
#include "tests/odd_values.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

constexpr int kDeep = 200'000;
constexpr int kMaxBody = 1 << 20;

}  // namespace

TEST_GROUP(NestedRequests){};

// Guards against a caller's request that ends the process, which wrote the
// nested content of a message as text.
TEST(NestedRequests, CallersGetAnErrorAndTheNextRequestRuns) {
  HttpFixture fixture(1, kMaxBody);
  const CallResult nested = fixture.Chat(
      R"({"model":"m","messages":[{"content":)" + Nested(kDeep) + "}]}");
  CHECK_EQUAL(400, nested.status);
  CHECK_EQUAL(200, fixture.Chat(HttpFixture::ChatBody(false, 3)).status);
}

// Guards against a limit that valid requests reach.
TEST(NestedRequests, ContentWithSomeLevelsRuns) {
  HttpFixture fixture(1);
  std::string body = HttpFixture::ChatBody(false, 3);
  body.insert(1, R"("tools":)" + Nested(100) + ",");
  CHECK_EQUAL(200, fixture.Chat(body).status);
}
