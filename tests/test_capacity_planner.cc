// Tests of the numbers of engines that are planned, against a platform whose
// engines boot and are taken away, under a virtual clock.
#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>

#include "core/capacity_planner.h"
#include "core/fleet_demand.h"
#include "tests/engine_platform.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::seconds;

namespace {

constexpr int kPlain = 46;
constexpr int kMax = 70;
constexpr double kPi = 3.14159265358979;
constexpr Duration kTrafficStart = seconds(14);

EngineScaling MakeScaling(int max = kMax) {
  return {
      .min_engines = 4,
      .max_engines = max,
      .boot_time = seconds(4),
      .reclaimable_price = 0.22,
      .price_by_data_centre = {{"north", 1.0}, {"south", 1.1}, {"west", 0.9}}};
}

EngineDemand Demand(double urgent, double other, double unserved = 0) {
  return {.urgent = {.busy = urgent},
          .other = {.busy = other, .unserved = unserved}};
}

}  // namespace

TEST_GROUP(CapacityPlanner) {
  PlannedFleet fleet{MakeScaling(), kPlain};

  // Traffic that begins as on the deployment.
  void SetSteady(double urgent, double other) {
    this->fleet.demand = [=](const std::string&, Duration time) {
      return time < kTrafficStart ? EngineDemand{} : Demand(urgent, other);
    };
  }
  int Plain(const std::string& zone) {
    return this->fleet.platform.Count({zone, false});
  }
  int Cheap(const std::string& zone) {
    return this->fleet.platform.Count({zone, true});
  }
};

// Guards against capacity that comes after the traffic, and against early
// orders that cost more than a third of what is there.
TEST(CapacityPlanner, OrdersCheaperEnginesBeforeDemandIsKnown) {
  this->fleet.Run(kTrafficStart);
  double early_cost = 0;
  double present_cost = 0;
  for (const std::string& zone : kZones) {
    const double price = MakeScaling().price_by_data_centre.at(zone);
    LONGS_EQUAL(kPlain, this->Plain(zone));
    CHECK(this->Cheap(zone) >= kMax - kPlain - 1);
    CHECK(this->Cheap(zone) + kPlain <= kMax);
    early_cost += 0.22 * price * this->Cheap(zone);
    present_cost += price * kPlain;
  }
  CHECK(early_cost <= present_cost / 3);
  LONGS_EQUAL(3, this->fleet.platform.accepted);
}

// Guards against the same when there is room for more than the price allows.
TEST(CapacityPlanner, EarlyOrdersCostAtMostAThird) {
  PlannedFleet roomy{MakeScaling(1000), kPlain};
  roomy.Run(kTrafficStart);
  double early_cost = 0;
  double present_cost = 0;
  for (const std::string& zone : kZones) {
    const double price = MakeScaling().price_by_data_centre.at(zone);
    early_cost += 0.22 * price * roomy.platform.Count({zone, true});
    present_cost += price * kPlain;
  }
  CHECK(early_cost <= present_cost / 3);
  CHECK(early_cost >= present_cost / 3 - 1);
}

// Guards against plain engines that stay although cheaper ones do their work,
// and against endless changes under an even load.
TEST(CapacityPlanner, SteadyLoadEndsOnCheaperEngines) {
  this->SetSteady(3, 10);
  this->fleet.Run(seconds(200));
  for (const std::string& zone : kZones) {
    // 2.5 times the urgent demand at a utilisation of 0.8.
    LONGS_EQUAL(10, this->Plain(zone));
    CHECK(this->Plain(zone) + this->Cheap(zone) >= std::ceil(2.5 * 13 / 0.8));
  }
  const TimePoint settled = this->fleet.now;
  this->fleet.Run(seconds(300));
  LONGS_EQUAL(0, this->fleet.platform.OrdersBetween(settled, this->fleet.now));
}

// Guards against plain engines that are sent away before cheaper ones have
// served, or many at a time.
TEST(CapacityPlanner, PlainEnginesLeaveSlowlyAndOnlyForCheaperOnes) {
  this->SetSteady(3, 10);
  std::map<std::string, int> plain_before;
  int lowest_total = 1000;
  this->fleet.check = [&] {
    for (const std::string& zone : kZones) {
      const int plain = this->Plain(zone);
      const auto before = plain_before.find(zone);
      CHECK(before == plain_before.end() || before->second - plain <= 4);
      plain_before[zone] = plain;
      lowest_total = std::min(lowest_total, plain + this->Cheap(zone));
    }
  };
  // The first leave once demand has been known for 20 s.
  this->fleet.Run(kTrafficStart + seconds(20));
  LONGS_EQUAL(3 * kPlain, this->fleet.platform.CountAll(false));
  this->fleet.Run(seconds(200));
  CHECK(this->fleet.platform.CountAll(false) < 3 * kPlain / 2);
  // Never fewer than at the start until the demand needs fewer.
  CHECK(lowest_total >= 41);
}

// Guards against plain engines that leave though no cheaper ones can be had.
TEST(CapacityPlanner, NothingLeavesWithoutCheaperEngines) {
  for (const std::string& zone : kZones) {
    this->fleet.platform.unavailable[{zone, true}] = true;
  }
  this->SetSteady(3, 10);
  this->fleet.Run(seconds(120));
  LONGS_EQUAL(3 * kPlain, this->fleet.platform.CountAll(false));
  // A pause that doubles from 2 to 10 s: about 14 tries per data centre.
  CHECK(this->fleet.platform.rejected >= 3 * 8);
  CHECK(this->fleet.platform.rejected <= 3 * 16);
}

// Guards against plain engines that leave as soon as cheaper ones register:
// these have cold caches, and may fail at once.
TEST(CapacityPlanner, CheaperEnginesServeForAWhileFirst) {
  for (const std::string& zone : kZones) {
    this->fleet.platform.unavailable[{zone, true}] = true;
  }
  this->SetSteady(3, 10);
  this->fleet.Run(seconds(80));
  this->fleet.platform.unavailable.clear();
  while (this->fleet.platform.CountAll(true) == 0) {
    this->fleet.Run(seconds(1));
    CHECK(this->fleet.elapsed() < seconds(100));
  }
  this->fleet.Run(seconds(8));
  LONGS_EQUAL(3 * kPlain, this->fleet.platform.CountAll(false));
  this->fleet.Run(seconds(30));
  CHECK(this->fleet.platform.CountAll(false) < 3 * kPlain);
}

// Guards against missing engines when the platform is without cheaper ones and
// the demand exceeds what is there.
TEST(CapacityPlanner, PlainEnginesAreOrderedIfNoOthersAreToBeHad) {
  PlannedFleet small{MakeScaling(), 10};
  for (const std::string& zone : kZones) {
    small.platform.unavailable[{zone, true}] = true;
  }
  small.demand = [](const std::string&, Duration time) {
    return time < kTrafficStart ? EngineDemand{} : Demand(2, 14, 4);
  };
  small.Run(seconds(60));
  CHECK(small.orders_by_reason[OrderReason::kSubstitute] > 0);
  CHECK(small.platform.CountAll(false) >= 3 * 1.25 * 20 / 0.8 - 1);
}

// Guards against an order for fewer engines that is sent again at once: while
// the platform has none of the kind, it rejects each order above what is left.
TEST(CapacityPlanner, ARejectedReductionWaits) {
  PlannedFleet full{MakeScaling(50), kPlain};
  full.demand = [](const std::string&, Duration time) {
    return time < kTrafficStart ? EngineDemand{} : Demand(2, 6);
  };
  full.Run(seconds(20));
  for (const std::string& zone : kZones) {
    full.platform.unavailable[{zone, true}] = true;
    full.platform.Reclaim(zone, full.now);
  }
  full.demand = [](const std::string&, Duration) { return Demand(40, 30); };
  full.platform.rejected = 0;
  full.Run(seconds(30));
  // Pauses of 2, 4, 8 and 10 s in each of three data centres.
  CHECK(full.platform.rejected <= 3 * 5);
}

// Guards against a data centre's demand that nobody serves since the cheaper
// engines there are not to be had.
TEST(CapacityPlanner, OtherDataCentresGetTheEnginesThatOneLacks) {
  PlannedFleet small{MakeScaling(), 16};
  small.platform.unavailable[{"north", true}] = true;
  small.demand = [](const std::string&, Duration time) {
    return time < kTrafficStart ? EngineDemand{} : Demand(2, 13);
  };
  small.Run(seconds(60));
  LONGS_EQUAL(0, small.platform.Count({"north", true}));
  CHECK(small.platform.CountAll(true) + small.platform.CountAll(false) >=
        3 * 2.5 * 15 / 0.8);
}

// Guards against orders for demand that is over when the engines come.
TEST(CapacityPlanner, AShortBurstOrdersNothing) {
  this->SetSteady(3, 10);
  this->fleet.Run(seconds(200));
  const TimePoint settled = this->fleet.now;
  const Duration burst_at = this->fleet.elapsed() + seconds(5);
  this->fleet.demand = [=](const std::string&, Duration time) {
    const bool in_burst = time >= burst_at && time < burst_at + seconds(5);
    return in_burst ? Demand(7, 27, 5) : Demand(3, 10);
  };
  this->fleet.Run(seconds(100));
  LONGS_EQUAL(0, this->fleet.platform.OrdersBetween(settled, this->fleet.now));
}

// Guards against demand that grew for good and is not followed.
TEST(CapacityPlanner, GrowthIsFollowedWithinSeconds) {
  this->SetSteady(3, 8);
  this->fleet.Run(seconds(200));
  const int before = this->fleet.platform.CountAll(true);
  this->SetSteady(4, 16);
  this->fleet.Run(seconds(30));
  CHECK(this->fleet.platform.CountAll(true) +
            this->fleet.platform.CountAll(false) >=
        3 * 2.5 * 17 / 0.8);
  CHECK(this->fleet.platform.CountAll(true) > before);
}

// Guards against a zone that stays without its cheaper engines, whether or not
// the platform counts engines that are about to go as present.
TEST(CapacityPlanner, ReclaimedEnginesAreReplacedAtOnce) {
  for (const bool counts_leaving : {false, true}) {
    PlannedFleet taken{MakeScaling(), kPlain};
    taken.platform.counts_leaving = counts_leaving;
    taken.demand = [](const std::string&, Duration time) {
      return time < kTrafficStart ? EngineDemand{} : Demand(3, 10);
    };
    taken.Run(seconds(200));
    const int cheap = taken.platform.Count({"west", true});
    taken.platform.Reclaim("west", taken.now);
    taken.Run(seconds(9));
    CHECK(taken.platform.Count({"west", true}) >= cheap);
    CHECK(taken.platform.OrdersBetween(taken.now - seconds(9), taken.now) <= 4);
  }
}

// Guards against plain engines that leave while cheaper ones are taken away.
TEST(CapacityPlanner, NoPlainEngineLeavesWithin20SecondsOfAReclaim) {
  this->SetSteady(3, 10);
  this->fleet.Run(seconds(50));
  this->fleet.platform.Reclaim("north", this->fleet.now);
  this->fleet.Run(seconds(1));
  const int plain = this->fleet.platform.CountAll(false);
  CHECK(plain > 3 * 12);
  this->fleet.Run(seconds(18));
  LONGS_EQUAL(plain, this->fleet.platform.CountAll(false));
}

// Guards against an order for an engine that comes back by itself, and against
// one that never does.
TEST(CapacityPlanner, ACrashedEngineGetsTimeToComeBack) {
  this->SetSteady(3, 10);
  this->fleet.Run(seconds(200));
  const int orders = this->fleet.platform.accepted;
  this->fleet.platform.Crash({"south", true}, seconds(6), this->fleet.now);
  this->fleet.Run(seconds(30));
  LONGS_EQUAL(orders, this->fleet.platform.accepted);
  const int cheap = this->Cheap("south");
  this->fleet.platform.Crash({"south", true}, std::nullopt, this->fleet.now);
  this->fleet.Run(seconds(30));
  LONGS_EQUAL(orders + 1, this->fleet.platform.accepted);
  LONGS_EQUAL(cheap, this->Cheap("south"));
}

// Guards against a new holder that undoes what the former one did, or orders
// what is there already.
TEST(CapacityPlanner, ANewHolderStartsFromWhatIsRegistered) {
  this->SetSteady(3, 10);
  this->fleet.Run(seconds(300));
  const int plain = this->fleet.platform.CountAll(false);
  this->fleet.orders_by_reason.clear();
  this->fleet.ChangeHolder();
  this->fleet.Run(seconds(59));
  CHECK(this->fleet.orders_by_reason.empty());
  // It doesn't know the engines of the start, so it keeps what demand needs.
  this->fleet.Run(seconds(120));
  LONGS_EQUAL(plain, this->fleet.platform.CountAll(false));
  for (const std::string& zone : kZones) {
    CHECK(this->Plain(zone) + this->Cheap(zone) >= std::ceil(2.5 * 13 / 0.8));
  }
  CHECK(this->fleet.orders_by_reason[OrderReason::kLessDemand] <= 9);
  LONGS_EQUAL(1, this->fleet.orders_by_reason.size());
}

// Guards against the demand of a zone that is cut off being taken for zero, and
// against its engines being forgotten.
TEST(CapacityPlanner, ACutZoneKeepsItsEngines) {
  this->SetSteady(3, 10);
  this->fleet.Run(seconds(100));
  const int plain = this->Plain("west");
  const int cheap = this->Cheap("west");
  this->fleet.cut_zones["west"] = true;
  this->fleet.Run(seconds(10));
  // Its cheaper engines are taken away during the cut.
  this->fleet.platform.Reclaim("west", this->fleet.now);
  this->fleet.Run(seconds(60));
  CHECK(this->Plain("west") >= plain - 3);
  CHECK(this->Cheap("west") >= cheap);
}

// Guards against engines that are sent away since instances of a former release
// don't report their demand.
TEST(CapacityPlanner, InstancesWithoutTheFieldKeepTheirEngines) {
  this->SetSteady(3, 10);
  this->fleet.old_zones["north"] = true;
  this->fleet.Run(seconds(200));
  LONGS_EQUAL(kPlain, this->Plain("north"));
  CHECK(this->Plain("south") < kPlain);
}

// Guards against all cheaper engines in one data centre, which may lose them
// all at once.
TEST(CapacityPlanner, NoDataCentreHasMostOfTheCheaperEngines) {
  PlannedFleet uneven{MakeScaling(200), 20};
  uneven.demand = [](const std::string& zone, Duration time) {
    return time < kTrafficStart ? EngineDemand{}
           : zone == "north"    ? Demand(2, 40)
                                : Demand(0.5, 1);
  };
  uneven.Run(seconds(60));
  const int north = uneven.platform.Count({"north", true});
  CHECK(north <= 1 + uneven.platform.CountAll(true) / 2);
  CHECK(uneven.platform.CountAll(true) + uneven.platform.CountAll(false) >=
        2.5 * 45 / 0.8);
}

// Guards against a service without a cheaper kind that is never scaled up, or
// loses engines that were there at the start.
TEST(CapacityPlanner, WithoutACheaperKindPlainEnginesFollowDemand) {
  EngineScaling scaling = MakeScaling();
  scaling.reclaimable_price.reset();
  PlannedFleet plain{scaling, 10};
  plain.demand = [](const std::string&, Duration time) {
    return time < seconds(60) ? Demand(2, 10) : Demand(0.5, 1);
  };
  plain.Run(seconds(60));
  LONGS_EQUAL(0, plain.platform.CountAll(true));
  CHECK(plain.platform.CountAll(false) >= 3 * 2 * 10);
  plain.Run(seconds(200));
  LONGS_EQUAL(30, plain.platform.CountAll(false));
}

// Waves out of phase, bursts, reclaims, times without cheaper engines, crashes,
// cuts and changes of the holder. Guards against urgent demand that plain
// engines alone can't serve, more engines than the maximum, and oscillation.
TEST(CapacityPlanner, PropertiesHoldInChangingTimes) {
  for (unsigned seed = 1; seed <= 30; ++seed) {
    std::mt19937 random(seed);
    const auto chance = [&](double probability) {
      return std::uniform_real_distribution<>(0, 1)(random) < probability;
    };
    const int max = 50 + static_cast<int>(random() % 60);
    PlannedFleet varied{MakeScaling(max), 30 + static_cast<int>(random() % 17)};
    varied.platform.counts_leaving = chance(0.5);
    const double period = 40 + random() % 60;
    const double level = 3 + random() % 8;
    Duration burst_at = seconds(30);
    varied.demand = [&](const std::string& zone, Duration time) {
      if (time < kTrafficStart) {
        return EngineDemand{};
      }
      const double phase = zone == "north" ? 0 : zone == "south" ? 2 : 4;
      const double wave =
          1 + 0.4 * std::sin(2 * kPi * ToSeconds(time) / period + phase);
      const double noise = std::uniform_real_distribution<>(0.9, 1.1)(random);
      const bool in_burst = time >= burst_at && time < burst_at + seconds(5);
      return Demand(0.25 * level * wave * noise * (in_burst ? 2.5 : 1),
                    level * wave * noise * (in_burst ? 2.8 : 1));
    };
    varied.check = [&] {
      for (const std::string& zone : kZones) {
        CHECK_TEXT(varied.platform.Desired({zone, false}) +
                           varied.platform.Desired({zone, true}) <=
                       max,
                   "more than the maximum is ordered");
        const double urgent = 0.25 * level * 1.4 * 1.1;
        CHECK_TEXT(varied.platform.Count({zone, false}) >= urgent,
                   "plain engines don't carry the urgent demand");
      }
    };
    for (int i = 0; i < 30; ++i) {
      if (chance(0.3)) {
        burst_at = varied.elapsed() + seconds(2);
      }
      if (chance(0.1)) {
        varied.platform.Reclaim(kZones[random() % 3], varied.now);
      }
      if (chance(0.1)) {
        varied.ChangeHolder();
      }
      if (chance(0.1)) {
        varied.platform.Crash({kZones[random() % 3], chance(0.5)},
                              seconds(random() % 8 + 1), varied.now);
      }
      varied.platform.unavailable.clear();
      if (chance(0.15)) {
        varied.platform.unavailable[{kZones[random() % 3], true}] = true;
      }
      varied.cut_zones.clear();
      if (chance(0.1)) {
        varied.cut_zones[kZones[random() % 3]] = true;
      }
      varied.Run(seconds(10));
    }
    const TimePoint start = kPlatformStart + seconds(60);
    for (TimePoint from = start; from < varied.now; from += seconds(60)) {
      CHECK_TEXT(varied.platform.OrdersBetween(from, from + seconds(60)) <= 54,
                 "too many orders in a minute");
    }
  }
}
