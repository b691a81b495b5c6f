// Tests of admission control in a fleet, in the load patterns of deployment A:
// what it changes, and what must hold in each of them.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

#include "tests/admission_patterns.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;                      // NOLINT
using namespace rosemarycove::admission_patterns;  // NOLINT
using std::chrono::seconds;
using Who = AdmissionFleet::Who;

namespace {

// What happened in a pattern, over some seeds.
struct PatternCounts {
  std::array<ClassCounts, 3> all;
  std::array<ClassCounts, 3> heavy;
  std::array<ClassCounts, 3> others;
  std::array<ClassCounts, 3> patient;
  std::array<ClassCounts, 3> afterwards;
};

void Add(ClassCounts& sum, const ClassCounts& counts) {
  sum.asked += counts.asked;
  sum.on_time += counts.on_time;
  sum.on_time_of_attempt += counts.on_time_of_attempt;
  sum.lost += counts.lost;
  sum.refusals += counts.refusals;
  sum.late_refusals += counts.late_refusals;
  sum.refused_again += counts.refused_again;
  sum.returns += counts.returns;
}

PatternCounts Run(Pattern pattern, int engines, bool has_admission) {
  PatternCounts outcome;
  for (const std::uint32_t seed : {1U, 2U, 3U}) {
    AdmissionFleet fleet(Options(has_admission, engines, seed),
                         Classes(pattern));
    fleet.Run(kEnd);
    for (const std::size_t index : {kUrgent, kDraft, kReview}) {
      Add(outcome.all[index], fleet.Counts(index, kFrom, kTo));
      Add(outcome.heavy[index],
          fleet.Counts(index, kFrom, kTo, Who::kFirstCustomer));
      Add(outcome.others[index], fleet.Counts(index, kFrom, kTo, Who::kOthers));
      Add(outcome.patient[index],
          fleet.Counts(index, kFrom, kTo, Who::kPatient));
      Add(outcome.afterwards[index],
          fleet.Counts(index, kTo + seconds(6), kEnd));
    }
  }
  return outcome;
}

double OnTime(const ClassCounts& counts) {
  return static_cast<double>(counts.on_time) / counts.asked;
}

double OnTimeOfAttempt(const ClassCounts& counts) {
  return static_cast<double>(counts.on_time_of_attempt) / counts.asked;
}

double Served(const ClassCounts& counts) {
  return 1 - static_cast<double>(counts.lost) / counts.asked;
}

double RefusedAgain(const ClassCounts& counts) {
  return static_cast<double>(counts.refused_again) /
         std::max(1, counts.returns);
}

double LateRefusals(const ClassCounts& counts) {
  return static_cast<double>(counts.late_refusals) / counts.asked;
}

// Holds in every pattern.
void CheckAllAreServed(const PatternCounts& outcome) {
  // While the pattern lasts, no class is without service, and the most urgent
  // one is served whole.
  CHECK(Served(outcome.all[kUrgent]) > 0.99);
  CHECK(Served(outcome.all[kReview]) > 0.7);
  CHECK(Served(outcome.all[kDraft]) > 0.25);
  // Afterwards too, though the engines are nearly full without the pattern.
  CHECK(Served(outcome.afterwards[kUrgent]) > 0.99);
  CHECK(Served(outcome.afterwards[kReview]) > 0.97);
  CHECK(Served(outcome.afterwards[kDraft]) > 0.75);
  // More urgent requests are refused less often. Reviews and drafts compete for
  // different engines.
  const auto refusals = [&](std::size_t index) {
    return static_cast<double>(outcome.all[index].refusals) /
           outcome.all[index].asked;
  };
  CHECK(refusals(kUrgent) <= refusals(kReview));
  CHECK(refusals(kUrgent) <= refusals(kDraft));
  // Refusals come at once.
  for (const std::size_t index : {kUrgent, kDraft, kReview}) {
    CHECK(LateRefusals(outcome.all[index]) < 0.4);
  }
}

}  // namespace

TEST_GROUP(AdmissionPatterns){};

// Guards against urgent streams that start late in their own burst, since the
// engines are full of long prefills on cold caches.
TEST(AdmissionPatterns, UrgentBurstAfterALongOne) {
  const PatternCounts before = Run(Pattern::kBursts, 20, false);
  const PatternCounts after = Run(Pattern::kBursts, 20, true);
  CHECK(OnTime(after.all[kUrgent]) >= OnTime(before.all[kUrgent]) + 0.15);
  CHECK(OnTime(after.all[kReview]) >= OnTime(before.all[kReview]) - 0.1);
  CHECK(OnTimeOfAttempt(after.all[kReview]) >=
        OnTimeOfAttempt(before.all[kReview]));
  CHECK(RefusedAgain(after.all[kUrgent]) <
        RefusedAgain(before.all[kUrgent]) / 2);
  CHECK(RefusedAgain(after.all[kReview]) <
        0.75 * RefusedAgain(before.all[kReview]));
  CheckAllAreServed(after);
}

// Guards against attempts that are repeated at once and displace the first
// attempts of patient callers, and against returning callers that are refused
// again.
TEST(AdmissionPatterns, CallersThatRepeatAtOnce) {
  const PatternCounts before = Run(Pattern::kOverload, 20, false);
  const PatternCounts after = Run(Pattern::kOverload, 20, true);
  CHECK(OnTime(after.patient[kUrgent]) >=
        OnTime(before.patient[kUrgent]) + 0.08);
  CHECK(OnTime(after.patient[kReview]) >=
        OnTime(before.patient[kReview]) - 0.1);
  CHECK(OnTimeOfAttempt(after.patient[kReview]) >=
        OnTimeOfAttempt(before.patient[kReview]));
  CHECK(RefusedAgain(after.all[kReview]) <
        0.6 * RefusedAgain(before.all[kReview]));
  CheckAllAreServed(after);
}

// Guards against a customer that sends many times its usual rate and takes the
// room of others of its tier.
TEST(AdmissionPatterns, OneCustomerSendsTooMuch) {
  const PatternCounts before = Run(Pattern::kHeavyCustomer, 18, false);
  const PatternCounts after = Run(Pattern::kHeavyCustomer, 18, true);
  CHECK(OnTime(after.others[kUrgent]) >= OnTime(before.others[kUrgent]) + 0.03);
  CHECK(OnTime(after.others[kReview]) >= OnTime(before.others[kReview]) - 0.03);
  CHECK(OnTime(after.heavy[kReview]) <= OnTime(after.others[kReview]) - 0.08);
  // It still gets its share.
  CHECK(Served(after.heavy[kReview]) > 0.75);
  CheckAllAreServed(after);
}
