// Tests of the measured demand for engines, of one instance and of the fleet.
#include <string>
#include <vector>

#include "core/capacity_demand.h"
#include "core/fleet_demand.h"
#include "core/load_ledger.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr Duration kStep = milliseconds(100);
const std::uint64_t kModel = IdHash("model");

// A prompt whose prefill takes 137 ms at 48.2 tokens per ms.
constexpr double kLongPrompt = 6610;

AttemptWork LongAttempt(bool is_urgent) {
  return {.is_urgent = is_urgent,
          .slots = 12,
          .inputs = {.prefill_tokens = kLongPrompt},
          .first_event = milliseconds(140),
          .running = milliseconds(740)};
}

std::vector<EngineDemand> Reported(double busy, double unserved = 0) {
  return {
      {.service_hash = kModel, .other = {.busy = busy, .unserved = unserved}}};
}

}  // namespace

TEST_GROUP(CapacityDemand) {
  CapacityDemand demand;
  TimePoint now = kStart;
};

// Guards against a demand that counts slots only: one engine prefills at most
// seven such prompts per second, though they keep few of its slots.
TEST(CapacityDemand, PrefillCountsBesidesSlots) {
  // 10 per second.
  for (int i = 0; i < 200; ++i) {
    this->now += kStep;
    this->demand.RecordAttempt("model", LongAttempt(i % 2 == 0), this->now);
  }
  const EngineDemand measured = this->demand.Measure("model", {}, this->now);
  const double expected = 10 * (0.137 + 0.6 / 12);
  DOUBLES_EQUAL(expected, measured.urgent.busy + measured.other.busy,
                0.1 * expected);
  DOUBLES_EQUAL(0, measured.urgent.unserved, 1e-9);
  // It fades once requests stop.
  const EngineDemand later =
      this->demand.Measure("model", {}, this->now + seconds(5));
  CHECK(later.urgent.busy + later.other.busy < 0.01);
}

// Guards against refusals and waiting requests that cause no demand.
TEST(CapacityDemand, RefusedAndWaitingRequestsCount) {
  for (int i = 0; i < 200; ++i) {
    this->now += kStep;
    this->demand.RecordAttempt("model", LongAttempt(false), this->now);
    this->demand.RecordRefusal("model", false, 6610, this->now);
  }
  const EngineDemand measured = this->demand.Measure("model", {}, this->now);
  DOUBLES_EQUAL(measured.other.busy, measured.other.unserved,
                0.1 * measured.other.busy);
  DOUBLES_EQUAL(0, measured.urgent.Total(), 1e-9);
  const EngineDemand waiting =
      this->demand.Measure("model", {.other = 4}, this->now);
  const double share = (0.137 + 0.6 / 12) / 0.74;
  DOUBLES_EQUAL(4 * share, waiting.other.unserved - measured.other.unserved,
                0.1 * 4 * share);
}

// Guards against attempts that never began to respond being counted with the
// whole time for which they waited.
TEST(CapacityDemand, AnAttemptWithoutAFirstEventCountsItsPrefillOnly) {
  this->demand.RecordAttempt(
      "model",
      {.slots = 12, .inputs = {.prefill_tokens = 1000}, .running = seconds(12)},
      this->now);
  const EngineDemand measured = this->demand.Measure("model", {}, this->now);
  CHECK(measured.other.busy < 0.1);
}

TEST_GROUP(FleetDemand) {
  FleetDemand fleet;
  TimePoint now = kStart;

  void Run(Duration time, double busy, double unserved = 0) {
    for (const TimePoint end = this->now + time; this->now < end;
         this->now += milliseconds(250)) {
      this->fleet.SetFleet({{"a", "north"}, {"b", "south"}});
      this->fleet.Record("a", "north", Reported(busy, unserved), this->now);
      this->fleet.Record("b", "south", Reported(1), this->now);
      this->fleet.Tick(this->now);
    }
  }
  DataCentreDemand Of(const std::string& data_centre) {
    return this->fleet.Summarize(kModel, seconds(7), this->now)
        .data_centres[data_centre];
  }
};

// Guards against the time before traffic counting as a time of little demand.
TEST(FleetDemand, DemandIsUnknownBeforeTraffic) {
  this->Run(seconds(10), 0);
  // The other zone has demand already.
  CHECK(this->fleet.Summarize(kModel, seconds(7), this->now).known_for >
        seconds(9));
  FleetDemand quiet;
  quiet.SetFleet({{"a", "north"}});
  quiet.Record("a", "north", Reported(0), kStart);
  quiet.Tick(kStart);
  CHECK(quiet.Summarize(kModel, seconds(7), kStart + seconds(9)).known_for ==
        Duration{});
}

// Guards against a burst that raises the mean though it is over before a new
// engine serves, and against one that lasts and doesn't.
TEST(FleetDemand, OnlyDemandThatLastsRaisesTheMean) {
  this->Run(seconds(20), 10);
  this->Run(seconds(5), 28);
  this->Run(seconds(5), 10);
  DOUBLES_EQUAL(10, this->Of("north").other, 0.01);
  this->Run(seconds(10), 28);
  CHECK(this->Of("north").other > 18);
  DOUBLES_EQUAL(1, this->Of("south").other, 0.01);
}

// Guards against refused callers that return at once and make the demand look
// many times as large.
TEST(FleetDemand, RefusalsCountAtMostAsMuchAsWhatIsServed) {
  this->Run(seconds(30), 10, 500);
  DOUBLES_EQUAL(20, this->Of("north").other, 0.01);
  DOUBLES_EQUAL(10, this->Of("north").unserved, 0.01);
}

// Guards against demand that is taken for zero while an instance is silent, and
// that is kept for ever.
TEST(FleetDemand, ASilentInstanceKeepsItsDemandForAWhile) {
  this->Run(seconds(30), 10);
  CHECK(this->Of("north").is_complete);
  const auto tick = [&](Duration time) {
    for (const TimePoint end = this->now + time; this->now < end;
         this->now += milliseconds(250)) {
      this->fleet.Record("b", "south", Reported(1), this->now);
      this->fleet.Tick(this->now);
    }
  };
  tick(seconds(30));
  DOUBLES_EQUAL(10, this->Of("north").other, 0.01);
  CHECK(!this->Of("north").is_complete);
  CHECK(this->Of("south").is_complete);
  tick(seconds(150));
  DOUBLES_EQUAL(0, this->Of("north").other, 0.01);
}

// Guards against a double count when the callers of an ended instance go to
// others.
TEST(FleetDemand, AnEndedInstanceHasNoDemand) {
  this->Run(seconds(30), 10);
  this->fleet.Remove("a");
  for (int i = 0; i < 90; ++i) {
    this->now += milliseconds(250);
    this->fleet.SetFleet({{"b", "south"}});
    this->fleet.Record("b", "south", Reported(1), this->now);
    this->fleet.Tick(this->now);
  }
  DOUBLES_EQUAL(0, this->Of("north").other, 0.01);
}
