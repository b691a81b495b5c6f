// Tests of how an instance knows whether its configuration is the latest one.
#include "core/configuration_freshness.h"
// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
// Within this time a configuration is in force while the store turns instances
// away.
constexpr seconds kBound(7);
constexpr int kManyInstances = 300;

}  // namespace

TEST_GROUP(ConfigurationFreshness) { ConfigurationFreshness freshness; };

TEST(ConfigurationFreshness, KnowsNothingBeforeTheFirstRead) {
  CHECK(!this->freshness.Age(kStart));
  CHECK(this->freshness.MustRead(0, kStart));
}

TEST(ConfigurationFreshness, AgeCountsFromTheStartOfTheRead) {
  this->freshness.RecordRead(kStart, true);
  CHECK(this->freshness.Age(kStart + seconds(1)) == seconds(1));
  CHECK(!this->freshness.MustRead(0, kStart + seconds(2)));
}

// Guards against instances that rely on others without limit: whoever reaches
// the store reads it in time, at any rank.
TEST(ConfigurationFreshness, EveryRankReadsWellWithinTheBound) {
  this->freshness.RecordRead(kStart, true);
  for (int rank = 0; rank < kManyInstances; ++rank) {
    CHECK(this->freshness.MustRead(rank, kStart + kBound - seconds(2)));
  }
}

// Guards against a herd at the store: the ranks read one after the other.
TEST(ConfigurationFreshness, FirstRankReadsAloneForAWhile) {
  this->freshness.RecordRead(kStart, true);
  milliseconds after{};
  while (!this->freshness.MustRead(0, kStart + after)) {
    after += milliseconds(1);
  }
  CHECK(!this->freshness.MustRead(1, kStart + after + milliseconds(100)));
}

TEST(ConfigurationFreshness, ReportsOfOthersKeepTheAgeLow) {
  this->freshness.RecordRead(kStart, true);
  const TimePoint later = kStart + seconds(20);
  this->freshness.RecordReport({.version = 7, .age = seconds(1)}, 7, later);
  CHECK(this->freshness.Age(later) == seconds(1));
  CHECK(!this->freshness.MustRead(0, later));
}

// Guards against an instance that takes a peer's knowledge of a version that it
// doesn't have for its own.
TEST(ConfigurationFreshness, ReportOfALaterVersionShowsNothing) {
  this->freshness.RecordRead(kStart, true);
  const TimePoint later = kStart + seconds(20);
  this->freshness.RecordReport({.version = 8, .age = Duration{}}, 7, later);
  CHECK(this->freshness.MustRead(0, later));
}

// Guards against the absence of the field, in reports of earlier releases, that
// is taken for knowledge.
TEST(ConfigurationFreshness, ReportWithoutAgeShowsNothing) {
  this->freshness.RecordRead(kStart, true);
  const TimePoint later = kStart + seconds(20);
  this->freshness.RecordReport({.version = 7}, 7, later);
  CHECK(this->freshness.MustRead(0, later));
}

// An instance that refuses the store's document doesn't read it in a loop, and
// doesn't vouch for the older one.
TEST(ConfigurationFreshness, UnusableReadIsNotReported) {
  this->freshness.RecordRead(kStart, true);
  this->freshness.RecordRead(kStart + seconds(20), false);
  CHECK(this->freshness.Age(kStart + seconds(20)) == seconds(20));
  CHECK(!this->freshness.MustRead(0, kStart + seconds(21)));
}

TEST(ConfigurationFreshness, LateReportDoesNotMakeTheAgeHigher) {
  this->freshness.RecordRead(kStart, true);
  this->freshness.RecordReport({.version = 7, .age = seconds(9)}, 7,
                               kStart + seconds(1));
  CHECK(this->freshness.Age(kStart + seconds(1)) == seconds(1));
}
