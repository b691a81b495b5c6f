// Tests of the pattern "hot shared prefixes on cold caches under a burst": long
// requests with many shared prompt parts arrive in a burst at engines that have
// nothing cached, beside short and more urgent ones.
#include <array>
#include <chrono>
#include <cstdint>

#include "tests/engine_fleet.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kChat = 0;
constexpr std::size_t kDraft = 1;
constexpr Duration kBurstEnd = seconds(9);

RequestKind Chat() {
  return {.route = {.name = "chat",
                    .kind = RouteKind::kStream,
                    .target = milliseconds(300),
                    .gap_target = milliseconds(300),
                    .tier = 0},
          .common_tokens = 120,
          .subject_tokens = 80,
          .own_tokens = 630,
          .subjects = 130,
          .output_tokens = 290,
          .rate = [](Duration) { return 39.0; }};
}

RequestKind Draft(int subjects) {
  return {.route = {.name = "draft",
                    .kind = RouteKind::kStream,
                    .target = milliseconds(600),
                    .gap_target = milliseconds(500),
                    .tier = 1},
          .tolerates_pauses = true,
          .common_tokens = 2520,
          .subject_tokens = 3780,
          .own_tokens = 2890,
          .subjects = subjects,
          .output_tokens = 50,
          .rate = [](Duration at) { return at < kBurstEnd ? 180.0 : 90.0; }};
}

EngineFleetOptions FastReaders(std::uint32_t seed) {
  return {.engine = {.token_time_base = milliseconds(2),
                     .token_time_per_stream = microseconds(30),
                     .prefill_rate = 120000},
          .seed = seed};
}

constexpr int kSubjects = 550;
constexpr std::array<std::uint32_t, 3> kSeeds = {1, 2, 3};

}  // namespace

TEST_GROUP(ColdCaches){};

// Guards against urgent requests that are refused while less urgent ones of
// more than twice their size begin.
TEST(ColdCaches, UrgentRequestsAreServedBesideABurst) {
  for (const std::uint32_t seed : kSeeds) {
    EngineFleet fleet(FastReaders(seed), {Chat(), Draft(kSubjects)});
    fleet.Run(seconds(16));
    for (int from = 0; from < 9; ++from) {
      const RequestCounts chats =
          fleet.Counts(kChat, seconds(from), seconds(from + 5));
      CHECK(chats.refused * 12 <= chats.asked);
    }
  }
}

// Guards against shared parts that an instance has read again at another engine
// although others sent them to their affinity server, and against an overload
// that lasts because of it.
TEST(ColdCaches, SharedPartsAreRarelyReadAgain) {
  RequestCounts after_burst;
  for (const std::uint32_t seed : kSeeds) {
    EngineFleet fleet(FastReaders(seed), {Chat(), Draft(kSubjects)});
    fleet.Run(seconds(16));
    CHECK(fleet.ReadAgainShare() <= 0.2);
    const RequestCounts counts =
        fleet.Counts(kDraft, kBurstEnd + seconds(2), seconds(14));
    after_burst.asked += counts.asked;
    after_burst.on_time += counts.on_time;
    after_burst.refused += counts.refused;
  }
  // After the burst, the engines have room for all requests.
  CHECK(after_burst.refused == 0);
  CHECK(after_burst.on_time * 10 >= after_burst.asked * 9);
}
