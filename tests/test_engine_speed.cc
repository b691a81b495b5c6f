// Tests of placement on engines of uneven speed.
#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

#include "core/engine_speed.h"
#include "tests/uneven_fleet.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr double kNoise = 2.5;
constexpr std::array<std::uint32_t, 3> kSeeds = {1, 2, 3};

// Lets an engine with this usual slowdown state what it does and take that
// time, every second; one response in seven comes in a noisy period. Returns
// the time after the last response, which was not in one.
TimePoint Respond(EngineSpeed& speed, double slowdown, bool states_speed) {
  constexpr int kResponses = 20;
  constexpr int kNoisyOneIn = 7;
  TimePoint now = kStart;
  for (int i = 0; i < kResponses; ++i) {
    now += seconds(1);
    const double noise = i % kNoisyOneIn == 3 ? kNoise : 1;
    speed.ObserveStated("model", "e", noise * (states_speed ? slowdown : 1),
                        now);
    speed.Observe("e", noise * slowdown, 1, now);
  }
  return now;
}

}  // namespace

TEST_GROUP(EngineSpeed){};

// Guards against a slow engine that counts as usual, whether or not what it
// states includes its speed.
TEST(EngineSpeed, IsLearnedFromTimesWhateverTheStatedFigureIncludes) {
  for (const double slowdown : {1 / 0.7, 1 / 1.7}) {
    for (const bool states_speed : {false, true}) {
      EngineSpeed speed;
      Respond(speed, slowdown, states_speed);
      DOUBLES_EQUAL(slowdown, speed.UsualSlowdown("e"), 0.25 * slowdown);
    }
  }
}

// Guards against a figure that is believed when the state it describes is over,
// and against instances that all run to the engine that just said 100.
TEST(EngineSpeed, AStatedFigureCountsForAMoment) {
  EngineSpeed speed;
  const TimePoint now = Respond(speed, 1, false) + seconds(1);
  const double usual = speed.Slowdown("e", now);
  speed.ObserveStated("model", "e", kNoise, now);
  CHECK(speed.Slowdown("e", now) > 1.6 * usual);
  DOUBLES_EQUAL(usual, speed.Slowdown("e", now + seconds(3)), 0.05);
  speed.ObserveStated("model", "e", 1, now + seconds(4));
  CHECK(speed.Slowdown("e", now + seconds(4)) > 0.6 * usual);
  DOUBLES_EQUAL(usual, speed.Slowdown("e", now + seconds(7)), 0.05);
}

// Guards against an instance that has to find out itself what others know, and
// against reports that repeat it.
TEST(EngineSpeed, SamplesOfUnknownEnginesAreTold) {
  EngineSpeed speed;
  EngineSpeed other;
  speed.Observe("e", 2, 3, kStart);
  other.Merge(speed.Untold(), kStart);
  DOUBLES_EQUAL(speed.UsualSlowdown("e"), other.UsualSlowdown("e"), 1e-9);
  speed.MarkTold();
  CHECK(speed.Untold().empty());
  for (int i = 0; i < 10; ++i) {
    speed.Observe("e", 2, 3, kStart);
    speed.MarkTold();
  }
  speed.Observe("e", 2, 3, kStart);
  CHECK(speed.Untold().empty());
  speed.Forget("e");
  DOUBLES_EQUAL(1, speed.UsualSlowdown("e"), 0);
}

// Guards against placements that change although no engine of the service
// states its slowdown.
TEST(EngineSpeed, ServicesWithoutTheFigureArePlacedAsBefore) {
  EngineFleetOptions options = UnevenFleetOptions(1);
  options.states_slowdown = false;
  EngineFleet without(options, UnevenFleetRequests(1));
  without.Run(seconds(5));
  options.others_state_slowdown = true;
  EngineFleet with(options, UnevenFleetRequests(1));
  with.Run(seconds(5));
  CHECK_EQUAL(without.PlacementHash(), with.PlacementHash());
}

// Guards against urgent streams on slow engines, where they are late.
TEST(EngineSpeed, UrgentRequestsRunOnFastEngines) {
  for (const bool states_speed : {false, true}) {
    int urgent = 0;
    int late = 0;
    for (const std::uint32_t seed : kSeeds) {
      EngineFleetOptions options = UnevenFleetOptions(seed);
      options.states_speed = states_speed;
      EngineFleet fleet(options, UnevenFleetRequests(1));
      fleet.Run(seconds(12));
      const RequestCounts drafts =
          fleet.Counts(kUrgentDraft, seconds(4), seconds(10));
      urgent += drafts.asked;
      late += drafts.late + drafts.refused;
      CHECK(drafts.per_fast_engine > 3 * drafts.per_slow_engine);
      const RequestCounts reviews =
          fleet.Counts(kReview, seconds(4), seconds(10));
      CHECK(10 * (reviews.late + reviews.refused) <= reviews.asked);
      CHECK(fleet.MaxMemoryShare() < 1);
    }
    // Without the figure, 0.2 are late.
    CHECK(20 * late <= urgent);
  }
}

// Guards against all instances using an engine at once, also while they learn
// the speeds.
TEST(EngineSpeed, FewRequestsQueueAtAnEngine) {
  for (const bool states_speed : {false, true}) {
    for (const std::uint32_t seed : kSeeds) {
      EngineFleetOptions options = UnevenFleetOptions(seed);
      options.states_speed = states_speed;
      EngineFleet fleet(options, UnevenFleetRequests(1));
      fleet.Run(seconds(12));
      CHECK(fleet.MaxLoad() <= options.slots + options.slots / 4);
    }
  }
}
