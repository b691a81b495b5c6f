// Tests of leaving the data centre when it pays.
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <numbers>
#include <vector>

#include "core/data_centre_choice.h"
#include "tests/uneven_fleet.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr std::array<std::uint32_t, 2> kSeeds = {1, 2};

struct FleetCounts {
  int asked = 0;
  int drafts = 0;
  int late_drafts = 0;
  int left = 0;
  double kilobytes = 0;
};

// Runs the fleet with several seeds and adds up the counts from 4 s to 12 s.
FleetCounts RunFleet(double load, bool states_slowdown,
                     const std::function<double(Duration, int)>& centre_share,
                     const std::function<int(Duration)>& cut_centre = {}) {
  FleetCounts sum;
  for (const std::uint32_t seed : kSeeds) {
    EngineFleetOptions options = UnevenFleetOptions(seed);
    options.states_slowdown = states_slowdown;
    options.cut_centre = cut_centre;
    std::vector<RequestKind> kinds = UnevenFleetRequests(load);
    for (RequestKind& kind : kinds) {
      kind.centre_share = centre_share;
    }
    EngineFleet fleet(options, kinds);
    fleet.Run(seconds(14));
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
      const RequestCounts counts = fleet.Counts(kind, seconds(4), seconds(12));
      sum.asked += counts.asked;
      sum.left += counts.left;
      sum.kilobytes += counts.left_kilobytes;
      if (kind == kUrgentDraft) {
        sum.drafts += counts.asked;
        sum.late_drafts += counts.late + counts.refused;
      }
    }
    CHECK(fleet.MaxMemoryShare() < 1);
  }
  return sum;
}

}  // namespace

TEST_GROUP(DataCentreChoice){};

// Guards against all instances sending to the engines that all of them see
// free, and against a share that jumps.
TEST(DataCentreChoice, HundredsOfInstancesShareSpareCapacity) {
  constexpr int kInstances = 300;
  constexpr double kSlots = 60;
  constexpr Duration kUnreported = milliseconds(600);
  DataCentreChoice choice;
  double previous = 1;
  for (int i = 0; i < 40; ++i) {
    const TimePoint now = kStart + i * milliseconds(100);
    choice.RecordOverload("model", static_cast<std::uint64_t>(i), now);
    choice.Update("model", "away", {.slots = kSlots}, kInstances, kUnreported,
                  now);
    int allowed = 0;
    for (int draw = 0; draw < 100; ++draw) {
      allowed += choice.MayLeave("model", "away", draw / 100.0) ? 1 : 0;
    }
    const double share = allowed / 100.0;
    CHECK(i == 0 || std::abs(share - previous) <= 0.42);
    previous = share;
    if (i >= 20) {
      CHECK(share * choice.OverloadRate("model", now) * kInstances *
                ToSeconds(kUnreported) <=
            kSlots);
    }
  }
  CHECK(previous > 0);
}

// Guards against old knowledge of free engines that counts like fresh one, and
// against requests that count again at each attempt to place them.
TEST(DataCentreChoice, OldKnowledgeAndRepeatedAttemptsCountLess) {
  DataCentreChoice choice;
  for (int i = 0; i < 20; ++i) {
    choice.RecordOverload("model", 7, kStart);
  }
  DOUBLES_EQUAL(1, choice.OverloadRate("model", kStart), 1e-9);
  const auto may_leave = [](Duration age) {
    DataCentreChoice aged;
    aged.RecordOverload("model", 1, kStart);
    aged.Update("model", "away", {.slots = 40, .age = age}, 100,
                milliseconds(500), kStart);
    return aged.MayLeave("model", "away", 0.2);
  };
  CHECK(may_leave(Duration{}));
  CHECK(!may_leave(milliseconds(1400)));
}

// Guards against parts that are read at home for a single request, and against
// parts in frequent use that never are.
TEST(DataCentreChoice, FrequentPartsAreSoonReadAtHome) {
  constexpr double kReadTokens = 5382;
  const double leave_tokens = DataCentreChoice::TokensWorthBytes(
      {.prompt_tokens = 12000, .expected_output_tokens = 400});
  const auto share_after = [&](int uses) {
    return 1 - std::pow(1 - leave_tokens / kReadTokens, uses);
  };
  int read = 0;
  for (int i = 0; i < 1000; ++i) {
    read += DataCentreChoice::ShouldReadAtHome(kReadTokens, leave_tokens,
                                               i / 1000.0)
                ? 1
                : 0;
  }
  DOUBLES_EQUAL(share_after(1), read / 1000.0, 0.01);
  CHECK(share_after(2) < 0.3);
  CHECK(share_after(20) > 0.7);
  CHECK(DataCentreChoice::ShouldReadAtHome(198, leave_tokens, 0.99));
}

// Guards against requests that leave although there is room at home.
TEST(DataCentreChoice, MostRequestsStayAtHome) {
  const FleetCounts before = RunFleet(1, false, {});
  const FleetCounts after = RunFleet(1, true, {});
  CHECK(after.kilobytes * 2 < before.kilobytes);
  CHECK(after.left * 4 < after.asked);
}

// Guards against requests that are late at home while another data centre has
// room: waves out of phase, and demand that moves to one data centre.
TEST(DataCentreChoice, RequestsLeaveAnOverloadedDataCentre) {
  const auto wave = [](Duration at, int centre) {
    constexpr double kAmplitude = 0.8;
    constexpr double kPeriod = 12;
    return 1 + kAmplitude * std::sin(2 * std::numbers::pi *
                                     (ToSeconds(at) / kPeriod + centre / 3.0));
  };
  const auto moved = [](Duration at, int centre) {
    constexpr double kMoved = 3;
    return centre == 0 && at > seconds(6) ? kMoved : 1;
  };
  for (const std::function<double(Duration, int)>& share :
       {std::function<double(Duration, int)>(wave),
        std::function<double(Duration, int)>(moved)}) {
    const FleetCounts counts = RunFleet(1, true, share);
    CHECK(counts.left > 0);
    CHECK(10 * counts.late_drafts <= counts.drafts);
  }
}

// Guards against requests that leave for a data centre that is cut off.
TEST(DataCentreChoice, ACutDataCentreServesItself) {
  const FleetCounts counts = RunFleet(1, true, {}, [](Duration at) {
    return at > seconds(6) && at < seconds(9) ? 1 : -1;
  });
  CHECK(10 * counts.late_drafts <= counts.drafts);
}
