// Tests of how long requests take, and of the decision which ones an instance
// that shuts down still handles. Times are virtual.
#include <chrono>
#include <random>

#include "core/request_durations.h"
#include "core/shutdown_schedule.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

Route MakeRoute(const std::string& name, Duration target,
                RouteKind kind = RouteKind::kOnce) {
  Route route;
  route.name = name;
  route.kind = kind;
  route.target = target;
  return route;
}

}  // namespace

TEST_GROUP(ShutdownSchedule){};

TEST(ShutdownSchedule, LimitsNothingBeforeItStarts) {
  const ShutdownSchedule schedule;
  CHECK(!schedule.has_started());
  CHECK(!schedule.IsOver(kStart));
  CHECK(schedule.AcceptsAt(kStart));
  CHECK(schedule.HasTimeFor(std::chrono::hours(1), kStart));
}

// Guards against requests that are sent although the rest of the grace is too
// short, and against refusals of those that end in time.
TEST(ShutdownSchedule, HasTimeForWhatEndsBeforeTheCutOff) {
  ShutdownSchedule schedule;
  schedule.Start(seconds(2), kStart);
  CHECK(schedule.HasTimeFor(milliseconds(700), kStart));
  CHECK(schedule.HasTimeFor(milliseconds(700), kStart + milliseconds(1300)));
  CHECK(!schedule.HasTimeFor(milliseconds(700), kStart + milliseconds(1301)));
  CHECK(!schedule.HasTimeFor(seconds(3), kStart));
}

// Guards against a shutdown that is prolonged by requests that arrive late.
TEST(ShutdownSchedule, AcceptsNothingLateHoweverLongTheGrace) {
  ShutdownSchedule schedule;
  schedule.Start(std::chrono::hours(1), kStart);
  CHECK(schedule.AcceptsAt(kStart + milliseconds(2999)));
  CHECK(!schedule.AcceptsAt(kStart + milliseconds(3000)));
}

TEST(ShutdownSchedule, AcceptsNothingOnceItIsOver) {
  ShutdownSchedule schedule;
  schedule.Start(seconds(1), kStart);
  CHECK(schedule.AcceptsAt(kStart + milliseconds(999)));
  CHECK(!schedule.AcceptsAt(kStart + seconds(1)));
  CHECK(schedule.IsOver(kStart + seconds(1)));
  // A second signal or other settings don't prolong it.
  schedule.Start(seconds(30), kStart + milliseconds(500));
  CHECK(schedule.IsOver(kStart + seconds(1)));
}

TEST_GROUP(RequestDurations){};

TEST(RequestDurations, RouteWithoutObservationsTakesItsTargetWithinABound) {
  const RequestDurations durations;
  CHECK(milliseconds(300) ==
        durations.LongTime(MakeRoute("a", milliseconds(300))));
  CHECK(seconds(2) == durations.LongTime(MakeRoute("a", seconds(20))));
  CHECK(seconds(2) == durations.LongTime(MakeRoute("a", milliseconds(300),
                                                   RouteKind::kStream)));
}

// Guards against a duration that is learned for another route.
TEST(RequestDurations, EachRouteHasItsOwnTime) {
  RequestDurations durations;
  const Route slow = MakeRoute("slow", milliseconds(100));
  const Route quick = MakeRoute("quick", milliseconds(100));
  for (int i = 0; i < 20; ++i) {
    durations.Observe(slow, milliseconds(700));
    durations.Observe(quick, milliseconds(10));
  }
  CHECK(durations.LongTime(slow) > milliseconds(600));
  CHECK(durations.LongTime(slow) < milliseconds(800));
  CHECK(durations.LongTime(quick) < milliseconds(20));
}

// Guards against requests that are cut off because half of them end sooner.
TEST(RequestDurations, NearlyAllEndWithinTheLongTime) {
  RequestDurations durations;
  const Route route = MakeRoute("a", milliseconds(100));
  std::mt19937 random(7);
  std::lognormal_distribution<double> seconds_taken(0.0, 0.7);
  constexpr int kRequests = 2000;
  for (int i = 0; i < kRequests; ++i) {
    durations.Observe(route, FromSeconds(seconds_taken(random)));
  }
  int longer = 0;
  int longer_than_median = 0;
  for (int i = 0; i < kRequests; ++i) {
    const Duration duration = FromSeconds(seconds_taken(random));
    longer += duration > durations.LongTime(route) ? 1 : 0;
    longer_than_median += duration > durations.MedianTime(route) ? 1 : 0;
  }
  CHECK(longer < kRequests / 10);
  CHECK(longer > 0);
  CHECK(longer_than_median > kRequests * 4 / 10);
  CHECK(longer_than_median < kRequests * 6 / 10);
}

// Guards against a time that stays as it was when the servers become slower.
TEST(RequestDurations, TimeFollowsTheServers) {
  RequestDurations durations;
  const Route route = MakeRoute("a", milliseconds(100));
  for (int i = 0; i < 1000; ++i) {
    durations.Observe(route, milliseconds(50));
  }
  for (int i = 0; i < 100; ++i) {
    durations.Observe(route, seconds(3));
  }
  CHECK(durations.LongTime(route) > seconds(2));
}
